/// \file
/// Messages between forwarding instances: version evidence during a roll-out, and prompts sent to endpoints.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/store_revision.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/answer_counts.hpp"

namespace runlink::routing
{

/// Hash of a session's name; identical at every instance.
using session_hash = core::strong_number<struct session_hash_tag>;

/// The lower 32 bits of the hash of an endpoint's id. It is short on the wire, and a collision only blurs
/// an estimate.
using endpoint_hash = core::strong_number<struct endpoint_hash_tag>;
/// The lower 32 bits of the hash of the shared parts of a prompt and the model that reads them.
using prompt_hash = core::strong_number<struct prompt_hash_tag>;

endpoint_hash hash_of(const core::endpoint_id& id);
/// `parts` is the hash of the shared parts of the prompt.
prompt_hash hash_of(std::uint64_t parts, const core::model_id& model);

/// A prompt was sent to an endpoint.
struct prompt_sent
{
    endpoint_hash endpoint;
    prompt_hash prompt;
    core::milliseconds work{}; ///< expected time to read the tokens that the endpoint has not cached
};

/// An endpoint began its answer to a request, so it has read all prompts sent before that request.
struct prompt_answered
{
    endpoint_hash endpoint;
    core::milliseconds age{}; ///< time since the request was sent
};

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
};

} // namespace runlink::routing
