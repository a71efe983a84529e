/// \file
/// Which size of a model answers first, and when its answer is good enough.
#pragma once

#include <cstddef>

#include "runlink/core/units.hpp"
#include "runlink/routing/routing_table.hpp"

namespace runlink::routing
{

/// Parameters of the cascade.
struct cascade_options
{
    /// Opinion of its own answer, 0 to 100, at which a smaller model's answer is kept.
    int accept_confidence = 50;
    /// The same where the larger model is expected to answer late, by which most of the benefit is lost.
    int accept_confidence_late = 15;
    /// Whether the smallest model answers first, or the largest alone.
    bool start_small = true;
};

/// What the policy looks at when the head of an answer is there.
struct cascade_input
{
    std::size_t size = 0;  ///< index of the model that answered
    std::size_t sizes = 1; ///< how many there are
    int confidence = 100;
    core::duration elapsed{};
    core::milliseconds target_latency{};
    core::duration larger_wait{}; ///< expected before the larger model begins to read the prompt
    core::duration larger_read{}; ///< expected for its reading
    bool may_retry = true;
};

/// Decides sizes.
class cascade_policy
{
public:
    explicit cascade_policy(cascade_options options = {}) : options_{options} {}

    /// Index of the model that answers first.
    std::size_t first_size(const route& it) const;
    bool accepts(const cascade_input& it) const;
    /// The confidence from which an answer is kept. It falls from `accept_confidence`, where the larger model
    /// is free, to `accept_confidence_late`, where the request would wait for it until its target latency: at
    /// a burst the largest model's time is what is scarce, and each escalation delays those that come behind.
    int threshold(const cascade_input& it) const;
    /// Index of the model that answers after one was not accepted: the largest.
    static std::size_t next_size(const cascade_input& it) { return it.sizes - 1; }

private:
    cascade_options options_;
};

} // namespace runlink::routing
