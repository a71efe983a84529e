/// \file
/// What an operator of the users' platform writes into its store: configurations and roll-outs.
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
/// Of the stream's route: a stream should not wait longer than this between two events.
inline constexpr core::milliseconds stream_target_gap{400};
inline constexpr core::milliseconds stream_timeout{6000};

/// Where an endpoint of that id is listed.
inline std::string endpoint_key(const std::string& id)
{
    return "servers/" + id;
}

/// A configuration with a safe route `/look/`, one that may run once `/pay/`, and a stream `/llm/`, for one
/// client account with these keys.
nlohmann::json make_configuration(int version, const std::vector<std::string>& keys,
                                  core::milliseconds timeout_of_streams = stream_timeout);
/// An order to move the engines to a version.
nlohmann::json make_rollout(const std::string& version, double seconds);

} // namespace runlink::standins
