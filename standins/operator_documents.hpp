/// \file
/// Documents that an operator of the users' platform writes to its store: configurations and rollouts.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "runlink/core/units.hpp"

namespace runlink::standins
{

inline constexpr const char* operator_host = "api.example";
inline constexpr const char* configuration_key = "op/config";
inline constexpr const char* rollout_key = "op/rollout/pool";
inline constexpr const char* rollout_status_key = "status/rollout/pool";
/// Target of the streaming route for the longest gap between two events of a stream.
inline constexpr core::milliseconds stream_target_gap{400};
inline constexpr core::milliseconds stream_timeout{6000};

/// Store key of the endpoint `id`.
inline std::string endpoint_key(const std::string& id)
{
    return "servers/" + id;
}

/// A configuration with a safe route `/look/`, an unsafe route `/pay/` that allows one attempt, and a
/// streaming route `/llm/`, for one client account with the API keys `keys`.
nlohmann::json make_configuration(int version, const std::vector<std::string>& keys,
                                  core::milliseconds timeout_of_streams = stream_timeout);
/// A rollout that moves the engines to `version` over `seconds` seconds.
nlohmann::json make_rollout(const std::string& version, double seconds);

} // namespace runlink::standins
