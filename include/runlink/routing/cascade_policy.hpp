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
    /// Part of the target latency that may be gone when a larger model is still tried.
    double latest_escalation = 0.5;
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
    /// Index of the model that answers after one was not accepted: the largest.
    static std::size_t next_size(const cascade_input& it) { return it.sizes - 1; }

private:
    cascade_options options_;
};

} // namespace runlink::routing
