/// \file
/// What an operator of the users' platform writes into its store: configurations and roll-outs.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace runlink::standins
{

inline constexpr const char* operator_host = "api.example";
inline constexpr const char* configuration_key = "op/config";
inline constexpr const char* rollout_key = "op/rollout/pool";
inline constexpr const char* rollout_status_key = "status/rollout/pool";

/// Where an endpoint of that id is listed.
inline std::string endpoint_key(const std::string& id)
{
    return "servers/" + id;
}

/// A configuration with a safe route `/look/`, one that may run once `/pay/`, and a stream `/llm/`, for one
/// client account with these keys.
nlohmann::json make_configuration(int version, const std::vector<std::string>& keys);
/// An order to move the engines to a version.
nlohmann::json make_rollout(const std::string& version, double seconds);

} // namespace runlink::standins
