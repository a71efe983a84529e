/// \file
/// Types of the forecast of a stream at an endpoint.
#pragma once

#include <cstdint>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::load
{

using core::duration;
using core::milliseconds;
using core::time_point;

/// Number of tokens that an answer is expected to have.
struct length_estimate
{
    std::uint32_t median = 0;
    std::uint32_t p90 = 0;

    friend bool operator==(const length_estimate&, const length_estimate&) = default;
};

/// A stream that is to be sent to an endpoint.
struct stream_need
{
    core::model_id model;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t unread_tokens = 0; ///< part of the prompt that the endpoint has not cached
    length_estimate length;
};

/// Load of an endpoint, over all instances.
struct endpoint_state
{
    std::uint32_t running = 0;     ///< streams that were sent and have not ended, those that wait included
    std::uint32_t held_tokens = 0; ///< tokens in memory once these streams end
    std::uint32_t tokens_left = 0; ///< tokens that these streams still generate
    duration reading{};            ///< time to read the prompts that wait
    duration run_left{};           ///< sum of the times that these streams are expected to run on
};

/// What is expected of a stream at an endpoint. All times count from now.
struct stream_forecast
{
    duration admission{};   ///< wait for a slot and memory
    duration first_token{}; ///< `admission`, the prompts before it and its own prompt included
    duration per_token{};
    duration end{};      ///< with an answer of median length
    duration late_end{}; ///< with an answer of the p90 length
    /// Sum of the delays of the streams that run there, caused by this one.
    duration cost_to_others{};
};

} // namespace runlink::load
