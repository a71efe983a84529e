/// \file
/// Estimates from answers how fast endpoints read prompts, by model.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/load/endpoint_factors.hpp"

namespace runlink::load
{

/// Parameters of the estimate.
struct prompt_speed_options
{
    /// Time to read 1,000 tokens before any sample: inference engines read tens of tokens per millisecond.
    core::duration initial_per_1k_tokens{20'000};
    /// Number of the latest samples that are used per model. Under load they arrive within a second or two.
    std::size_t most_samples = 16;
    /// Shorter prompts are not sampled: the fixed time to the first token exceeds their reading time.
    std::uint32_t least_tokens = 1000;
    endpoint_factor_options endpoints;
};

/// Estimates the time that a model takes to read a prompt at an idle endpoint.
///
/// Load is measured in reading time, not in requests: a long prompt on the largest model occupies an endpoint
/// forty times as long as a short one on the smallest.
class prompt_speed
{
public:
    explicit prompt_speed(prompt_speed_options options = {}) : options_{options}, factors_{options.endpoints}
    {
    }

    /// Adds a sample: a prompt with this many uncached tokens was read in `time`, excluding the expected
    /// wait.
    void observe(const core::model_id& model, std::uint32_t tokens, core::duration time);
    /// Expected time to read this many uncached tokens.
    core::duration time_to_read(const core::model_id& model, std::uint32_t tokens) const;
    /// The same for an endpoint, whose factor over all models is learned as well. The estimate without an
    /// endpoint does not depend on these factors.
    void observe(const core::model_id& model, endpoint_hash at, std::uint32_t tokens, core::duration time);
    core::duration time_to_read(const core::model_id& model, endpoint_hash at, std::uint32_t tokens) const;

private:
    struct sample
    {
        std::uint32_t tokens = 0;
        core::duration time{};

        core::duration rate() const; ///< time per 1,000 tokens
    };
    struct samples
    {
        std::deque<sample> latest;
        core::duration per_1k_tokens{};
    };

    /// Time per 1,000 tokens over all samples, without outliers.
    static core::duration rate_of(const std::deque<sample>& samples);

    prompt_speed_options options_;
    std::map<core::model_id, samples> models_;
    endpoint_factors factors_;
};

} // namespace runlink::load
