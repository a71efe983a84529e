/// \file
/// Admission control: which requests are refused on arrival, and the retry delay that refused callers get.
#pragma once

#include <cstdint>
#include <optional>

#include "runlink/core/units.hpp"

namespace runlink::load
{

/// Parameters of admission.
struct admission_options
{
    /// Bounds of the retry delay sent to callers, before the spread. A shorter delay brings a caller back to
    /// the same queue; after a longer one few callers have time left before their deadline.
    core::milliseconds min_retry_after{300};
    core::milliseconds max_retry_after{5000};
    /// Fraction of the retry delay by which the delays of different callers differ, so that callers refused
    /// together do not retry together.
    double spread = 0.5;
};

/// Refuses a request on arrival if the backlog at every endpoint would outlast the request's deadline. The
/// refusal says that the request did not run and gives the time in which the backlog drains.
///
/// Only the backlog counts, not the time to read the request's own prompt: the backlog drains even if the
/// estimate of the endpoint's speed is wrong, so a wrong estimate cannot refuse requests forever.
class admission
{
public:
    explicit admission(admission_options options = {}) : options_{options} {}

    /// Returns the retry delay if the request cannot start before its deadline, nothing if it can. `wait` is
    /// the backlog of the endpoint that the request would be sent to.
    std::optional<core::milliseconds> retry_after_if_overloaded(core::duration wait,
                                                                core::milliseconds time_left,
                                                                std::uint64_t request_hash) const;
    /// Returns the retry delay for a send slot that opens after `wait`: at least `wait`, plus the spread.
    core::milliseconds uncapped_retry_after(core::duration wait, std::uint64_t request_hash) const;
    /// Returns the retry delay for a backlog that drains within `wait`; `wait` is capped at
    /// `max_retry_after` before the spread is added.
    core::milliseconds retry_after(core::duration wait, std::uint64_t request_hash) const;

private:
    admission_options options_;
};

} // namespace runlink::load
