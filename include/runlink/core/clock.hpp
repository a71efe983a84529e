/// \file
/// Clock of an instance; tests replace it by one that they advance.
#pragma once

#include <functional>

#include "runlink/core/units.hpp"

namespace runlink::core
{

/// Source of the current time. The daemon passes the runtime's clock, tests a `manual_clock`.
using clock_source = std::function<time_point()>;

/// A clock that stands still unless it is advanced explicitly. It never goes back.
class manual_clock
{
public:
    time_point now() const { return now_; }
    void advance(duration step) { now_ += step; }
    void advance_to(time_point to) { now_ = to > now_ ? to : now_; }
    clock_source source() const
    {
        return [this] { return now_; };
    }

private:
    time_point now_{};
};

} // namespace runlink::core
