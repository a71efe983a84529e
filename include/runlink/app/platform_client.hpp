/// \file
/// Client of the platform's instance list and rating service.
///
/// `GET /v1/instances` answers `{"instances": [{"name", "state", "incarnation"}]}`, where the state
/// is `live` or `leaving`; the list lags. `POST /v1/ratings` with `{"request", "version", "answer"}` answers
/// `{"good": bool}` when the answer has been rated.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "runlink/app/settings.hpp"
#include "runlink/net/http_client.hpp"

namespace runlink::app
{

/// One endpoint as the list shows it.
struct listed_endpoint
{
    core::endpoint_id id;
    core::endpoint_incarnation incarnation{};
    bool leaving = false;
};

/// Asks the platform; an answer that is malformed counts as none.
class platform_client
{
public:
    platform_client(net::http_client& client, host_port address);

    /// Reads the list unless a read is under way.
    void poll(std::function<void(const listed_endpoint&)> visit);
    /// Has an answer rated. Answers beyond the bound of ratings under way are not rated.
    void rate(const core::request_id& request, const core::version_ref& version, const std::string& answer,
              std::function<void(bool good)> rated);

private:
    net::http_call call(const std::string& method, const std::string& path) const;

    net::http_client& client_;
    host_port address_;
    bool polling_ = false;
    std::size_t rating_ = 0;
};

} // namespace runlink::app
