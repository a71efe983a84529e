/// \file
/// Messages between forwarding instances: version evidence during a roll-out, and prompts sent to endpoints.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/store_revision.hpp"
#include "runlink/core/units.hpp"
#include "runlink/load/load_messages.hpp"
#include "runlink/routing/answer_counts.hpp"

namespace runlink::routing
{

/// Hash of a session's name; identical at every instance.
using session_hash = core::strong_number<struct session_hash_tag>;

using load::endpoint_hash;
using load::hash_of;
using load::prompt_answered;
using load::prompt_hash;
using load::prompt_sent;

/// A session ran on a version now, or shortly before a roll-out order that has just arrived.
struct session_run
{
    session_hash session;
    core::version_id version;
};

/// Counts of one instance for both versions since the order of a roll-out, for one group of comparable
/// answers.
struct version_evidence
{
    core::service_id service;
    core::store_revision order_revision{}; ///< of the order in the store
    answer_group group;
    answer_counts fresh; ///< of the new version
    answer_counts old;
    std::vector<endpoint_hash> flawed; ///< some endpoints of the new version with a flawed answer
    std::vector<endpoint_hash> sound;  ///< some endpoints of the new version with a flawless answer
};

/// An endpoint announced in an answer that it is shutting down.
struct leaving_notice
{
    core::endpoint_id endpoint; ///< one incarnation
    core::milliseconds age{};   ///< time since the announcement
};

/// Payload of one datagram with leaving notices.
struct leaving_notices
{
    std::vector<leaving_notice> notices;
};

/// Payload of one gossip datagram.
struct gossip_message
{
    core::instance_id sender;
    std::vector<session_run> runs;
    std::vector<version_evidence> evidence;
    std::vector<prompt_sent> prompts;
    std::vector<prompt_answered> answers;
    std::vector<load::stream_ended> ended;
    std::vector<load::request_counts> counts; ///< replaces what the sender announced before
    std::uint64_t configuration_version = 0;  ///< in force at the sender; 0: not told
};

} // namespace runlink::routing
