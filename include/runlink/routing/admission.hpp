/// \file
/// Which requests are refused at once, and when refused callers are to come back.
#pragma once

#include <cstdint>
#include <optional>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of admission.
struct admission_options
{
    /// Least and longest time that callers are told to stay away. Below the first a caller finds the same
    /// queue again; above the second few of them have time left.
    core::milliseconds least_retry_after{300};
    core::milliseconds longest_retry_after{5000};
    /// Callers that were refused together are told times that differ by up to this part, so that they do not
    /// come back together.
    double spread = 0.5;
};

/// Answers overload that no placement can help: what waits at every endpoint would outlast the request's
/// deadline. Such a request is refused before it waits, as not run, with the time in which the queue drains.
/// Only what waits counts, not the reading of the request's own prompt: the queue drains whatever the
/// estimate of the speed is, so a wrong estimate cannot refuse for good.
class admission
{
public:
    explicit admission(admission_options options = {}) : options_{options} {}

    /// The time to come back if the request cannot be served, nothing if it can. `wait`: at the endpoint
    /// where it would be placed.
    std::optional<core::milliseconds> refuse_for(core::duration wait, core::milliseconds time_left,
                                                 std::uint64_t request_hash) const;
    /// The time to come back to a place that there is after this time, and not before.
    core::milliseconds return_after(core::duration wait, std::uint64_t request_hash) const;
    /// The time to come back to a queue that drains in this time.
    core::milliseconds retry_after(core::duration wait, std::uint64_t request_hash) const;

private:
    admission_options options_;
};

} // namespace runlink::routing
