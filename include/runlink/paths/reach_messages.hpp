/// \file
/// Messages by which instances ask each other which endpoints they reach.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "runlink/core/contact.hpp"
#include "runlink/core/ids.hpp"

namespace runlink::paths
{

/// Asks another instance to connect to an endpoint, and whether it carries connections for the sender.
struct reach_query
{
    core::instance_id sender;
    std::uint64_t number = 0;
    core::endpoint_id endpoint; ///< empty: the receiver does not connect

    friend bool operator==(const reach_query&, const reach_query&) = default;
};

/// Answers a `reach_query`.
struct reach_reply
{
    core::instance_id sender;
    std::uint64_t number = 0; ///< of the query
    core::endpoint_id endpoint;
    std::optional<core::contact> contact; ///< nothing if the sender did not connect
    bool carries = false;                 ///< the sender carries connections for the receiver
    std::uint16_t port = 0;               ///< where it accepts them
    std::string ticket;                   ///< to be presented there

    friend bool operator==(const reach_reply&, const reach_reply&) = default;
};

} // namespace runlink::paths
