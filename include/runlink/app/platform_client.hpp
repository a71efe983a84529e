/// \file
/// Client of the platform's instance list and rating service.
///
/// `GET /v1/instances` answers `{"instances": [{"name", "state", "incarnation"}]}`, where the state
/// is `live` or `leaving`; the list can be out of date. `POST /v1/ratings` with
/// `{"request", "version", "answer"}` answers `{"good": bool}` as soon as the answer is rated.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "runlink/app/settings.hpp"
#include "runlink/net/http_client.hpp"

namespace runlink::app
{

/// One entry of the platform's instance list.
struct listed_endpoint
{
    core::endpoint_id id;
    core::endpoint_incarnation incarnation{};
    bool leaving = false;
};

/// Queries the platform and ignores malformed answers.
class platform_client
{
public:
    platform_client(net::http_client& client, host_port address);

    /// Reads the list and calls `visit` for each valid entry; does nothing while another read is in flight.
    void poll(std::function<void(const listed_endpoint&)> visit);
    /// Sends an answer to the rating service. Drops the answer when 64 ratings are in flight.
    void rate(const core::request_id& request, const core::version_ref& version, const std::string& answer,
              std::function<void(bool good)> rated);

private:
    net::http_call make_call(const std::string& method, const std::string& path) const;

    net::http_client& client_;
    host_port address_;
    bool poll_in_flight_ = false;
    std::size_t ratings_in_flight_ = 0;
};

} // namespace runlink::app
