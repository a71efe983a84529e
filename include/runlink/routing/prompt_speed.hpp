/// \file
/// How fast endpoints read prompts, by model, learned from answers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of the estimate.
struct prompt_speed_options
{
    /// Time to read 1,000 tokens before anything was observed: engines read tens of tokens a millisecond.
    core::duration first_guess{20'000};
    /// Samples of a model that count, the latest ones; they come in within a second or two of load.
    std::size_t most_samples = 16;
    /// Prompts below this say little: a fixed time for the first token outweighs their reading.
    std::uint32_t least_tokens = 1000;
};

/// Time that a model takes to read a prompt where nothing waits before it.
///
/// Answers load patterns in which prompts and models differ widely: one long prompt on the largest model
/// keeps an endpoint busy forty times as long as a short one on the smallest, so requests are no unit of
/// load.
class prompt_speed
{
public:
    explicit prompt_speed(prompt_speed_options options = {}) : options_{options} {}

    /// A prompt with this many unread tokens was read in this time, nothing known being before it.
    void observe(const core::model_id& model, std::uint32_t tokens, core::duration time);
    /// Expected time for so many unread tokens.
    core::duration time_to_read(const core::model_id& model, std::uint32_t tokens) const;

private:
    struct sample
    {
        std::uint32_t tokens = 0;
        core::duration time{};

        core::duration rate() const; ///< for 1,000 tokens
    };
    struct samples
    {
        std::deque<sample> latest;
        core::duration per_1k_tokens{};
    };

    /// Time for 1,000 tokens over all samples but those that are far off.
    static core::duration rate_of(const std::deque<sample>& samples);

    prompt_speed_options options_;
    std::map<core::model_id, samples> models_;
};

} // namespace runlink::routing
