/// \file
/// Messages between instances about the load of endpoints.
#pragma once

#include <cstdint>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::load
{

/// The lower 32 bits of the hash of an endpoint's id. It is short on the wire, and a collision only blurs
/// an estimate.
using endpoint_hash = core::strong_number<struct endpoint_hash_tag>;
/// The lower 32 bits of the hash of the shared parts of a prompt and the model that reads them.
using prompt_hash = core::strong_number<struct prompt_hash_tag>;
/// The lower 32 bits of the hash of an instance and the number of a stream of that instance.
using stream_hash = core::strong_number<struct stream_hash_tag>;

endpoint_hash hash_of(const core::endpoint_id& id);
/// `parts` is the hash of the shared parts of the prompt.
prompt_hash hash_of(std::uint64_t parts, const core::model_id& model);

/// A prompt was sent to an endpoint.
struct prompt_sent
{
    endpoint_hash endpoint;
    prompt_hash prompt;
    core::milliseconds work{}; ///< expected time to read the tokens that the endpoint has not cached
    /// The following are only set if the load of engines is tracked.
    stream_hash stream{};          ///< 0: not tracked
    std::uint32_t held_tokens = 0; ///< tokens that the stream is expected to hold in memory at its end
    std::uint32_t made_tokens = 0; ///< tokens that the stream is expected to generate
    core::milliseconds run_time{}; ///< longest time for which the stream is expected to run
};

/// An endpoint began its answer to a request, so it has read all prompts sent before that request.
struct prompt_answered
{
    endpoint_hash endpoint;
    core::milliseconds age{}; ///< time since the request was sent
    stream_hash stream{};     ///< 0: not tracked
};

/// A stream that was announced by `prompt_sent` is over at its endpoint.
struct stream_ended
{
    endpoint_hash endpoint;
    stream_hash stream;
};

/// What one instance has in flight at an endpoint of a plain service, and what it has learned there.
struct request_counts
{
    endpoint_hash endpoint;
    std::uint32_t in_flight = 0; ///< sent and not yet answered
    bool is_full = false; ///< the endpoint refused a request for lack of capacity since the last message
    /// Requests per 1,000 s that arrive at the instance and would best go to the endpoint, sent or not.
    std::uint32_t arrivals_per_1000_s = 0;
    /// Mean time in microseconds of the answers since the last message; 0: none.
    std::uint32_t answer_us = 0;

    friend bool operator==(const request_counts&, const request_counts&) = default;
};

} // namespace runlink::load
