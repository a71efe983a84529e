/// \file
/// Estimate of the prompts that peers have sent and not announced yet.
#pragma once

#include "runlink/core/units.hpp"

namespace runlink::load
{

/// Announcements arrive 60 to 300 ms after the send, so a forecast by what is known is too early in the mean
/// by the work that peers send within that time. It is estimated from the work announced in the last second.
class unseen_work
{
public:
    /// A peer announced work for any endpoint.
    void add(core::time_point now, core::duration work);
    /// Expected work for all endpoints together that is not known yet.
    core::duration unseen(core::time_point now) const;

private:
    double recent_us(core::time_point now) const;

    double sum_us_ = 0; ///< announced work, decaying with a time constant of a second
    core::time_point at_{};
};

} // namespace runlink::load
