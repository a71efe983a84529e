/// \file
/// What forwarding instances tell each other: of versions while a roll-out is under way, and of prompts sent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/answer_counts.hpp"

namespace runlink::routing
{

/// Hash of a session's name, the same at every instance.
using session_hash = core::strong_number<struct session_hash_tag>;

/// The lower 32 bits of the hash of an endpoint's id: short on the wire, and a collision costs little.
using endpoint_hash = core::strong_number<struct endpoint_hash_tag>;
/// The same of the shared parts of a prompt and the model that reads them.
using prompt_hash = core::strong_number<struct prompt_hash_tag>;

endpoint_hash hash_of(const core::endpoint_id& id);
/// `parts`: hash of the shared parts.
prompt_hash hash_of(std::uint64_t parts, const core::model_id& model);

/// A prompt was sent to an endpoint.
struct prompt_sent
{
    endpoint_hash endpoint;
    prompt_hash prompt;
    core::milliseconds work{}; ///< expected time to read what is not kept there
};

/// An endpoint began an answer: what it was sent before that request has been read.
struct prompt_answered
{
    endpoint_hash endpoint;
    core::milliseconds age{}; ///< since that request was sent
};

/// A session ran on a version just now, or shortly before the order of a roll-out that was just heard.
struct session_run
{
    session_hash session;
    core::version_id version;
};

/// What one instance has counted of both versions since a roll-out was ordered: answers that may be compared.
struct version_evidence
{
    core::service_id service;
    std::uint64_t order_revision = 0; ///< of the order in the store
    answer_group group;
    answer_counts fresh; ///< of the new version
    answer_counts old;
    std::vector<endpoint_hash> flawed; ///< some new endpoints of which an answer had a flaw
    std::vector<endpoint_hash> sound;  ///< some of which an answer had none
};

/// An endpoint said in an answer that it leaves.
struct leaving_notice
{
    core::endpoint_id endpoint; ///< one life
    core::milliseconds age{};   ///< since it said so
};

/// One datagram.
struct leaving_notices
{
    std::vector<leaving_notice> notices;
};

/// One datagram.
struct gossip_message
{
    core::instance_id sender;
    std::vector<session_run> runs;
    std::vector<version_evidence> evidence;
    std::vector<prompt_sent> prompts;
    std::vector<prompt_answered> answers;
};

} // namespace runlink::routing
