/// \file
/// What forwarding instances tell each other while a roll-out is under way.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::routing
{

/// Hash of a session's name, the same at every instance.
using session_hash = core::strong_number<struct session_hash_tag>;

/// A session ran on a version just now.
struct session_run
{
    session_hash session;
    core::version_id version;
};

/// What one instance has counted of a version since the roll-out was ordered.
struct version_evidence
{
    core::service_id service;
    core::version_id version;
    std::string route; ///< empty: all routes
    std::uint32_t all = 0;
    std::uint32_t bad = 0;
    std::uint32_t slow = 0;
    std::vector<std::uint64_t> bad_endpoints; ///< hashes of their ids
};

/// One datagram.
struct gossip_message
{
    core::instance_id sender;
    std::vector<session_run> runs;
    std::vector<version_evidence> evidence;
};

} // namespace runlink::routing
