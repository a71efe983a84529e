/// \file
/// Model cascade: which model size answers first, and when its answer is accepted.
#pragma once

#include <cstddef>

#include "runlink/core/units.hpp"
#include "runlink/routing/routing_table.hpp"

namespace runlink::routing
{

/// Parameters of the cascade.
struct cascade_options
{
    /// Confidence that a smaller model reports for its own answer, 0 to 100, from which the answer is
    /// accepted.
    int accept_confidence = 50;
    /// The threshold if the larger model is expected to miss the target latency, where most of the benefit of
    /// a better answer is lost.
    int accept_confidence_late = 15;
    /// Whether the smallest model answers first. Otherwise only the largest model is used.
    bool start_small = true;
};

/// Input of the decision, which is taken when the head of an answer has arrived.
struct cascade_input
{
    std::size_t size = 0;  ///< index of the model that answered
    std::size_t sizes = 1; ///< number of models
    int confidence = 100;
    core::duration elapsed{}; ///< since the request arrived
    core::milliseconds target_latency{};
    core::duration larger_wait{}; ///< expected wait before the larger model starts to read the prompt
    core::duration larger_read{}; ///< expected time that the larger model reads the prompt
    bool may_retry = true;
};

/// Chooses model sizes.
class cascade_policy
{
public:
    explicit cascade_policy(cascade_options options = {}) : options_{options} {}

    /// Index of the model that answers first.
    std::size_t first_size(const route& it) const;
    bool accepts(const cascade_input& it) const;
    /// The confidence from which an answer is accepted. It falls linearly with the wait for the larger model,
    /// from `accept_confidence` at no wait to `accept_confidence_late` where the wait would use up the target
    /// latency. During a burst the largest model is the bottleneck, and each escalation delays the requests
    /// queued behind it.
    int threshold(const cascade_input& it) const;
    /// Index of the model that answers after a rejected answer: the largest.
    static std::size_t next_size(const cascade_input& it) { return it.sizes - 1; }

private:
    cascade_options options_;
};

} // namespace runlink::routing
