/// \file
/// Client of the operators' HTTP interface, for the command line.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "runlink/app/settings.hpp"
#include "runlink/net/http_client.hpp"

namespace runlink::app
{

/// Calls an instance and blocks until it answers.
class operator_client
{
public:
    operator_client(host_port address, std::string key);

    /// Fails with `endpoint_lost` when the instance cannot be reached, with `endpoint_answer_invalid` when
    /// its answer is not JSON, or with the error that it answers.
    core::result<nlohmann::json> get(const std::string& path);
    /// Fails like `get`.
    core::result<nlohmann::json> post(const std::string& path, const std::string& body);

private:
    core::result<nlohmann::json> call(const std::string& method, const std::string& path,
                                      const std::string& body);

    host_port address_;
    std::string key_;
    net::http_client client_;
};

/// Returns the error code with this public name, or `internal` for an unknown name.
core::errc code_of(std::string_view name);

} // namespace runlink::app
