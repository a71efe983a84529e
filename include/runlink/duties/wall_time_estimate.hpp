/// \file
/// An estimate of the true time of day that tolerates jumps of the machine's wall clock.
#pragma once

#include <cstdint>
#include <optional>

#include "runlink/core/units.hpp"

namespace runlink::duties
{

/// Time since the start of 1970.
using wall_time = core::milliseconds;

/// Parameters of the estimate.
struct wall_time_options
{
    /// A difference between the clocks up to this is adopted at once, as the drift of the runtime clock.
    core::milliseconds max_drift{50};
    /// A larger difference is adopted once it has lasted this long, since a clock that jumps mostly jumps
    /// back.
    core::milliseconds jump_patience{60'000};
};

/// Follows the wall clock, but ignores jumps that do not last.
class wall_time_estimate
{
public:
    explicit wall_time_estimate(wall_time_options options = {}) : options_{options} {}

    /// Takes readings of both clocks at the same moment.
    void observe(core::time_point now, wall_time wall);
    /// The estimated time of day; zero before the first reading.
    wall_time at(core::time_point now) const;

private:
    wall_time_options options_;
    std::optional<wall_time> offset_; ///< wall time minus runtime clock
    std::optional<core::time_point> differs_since_;
};

} // namespace runlink::duties
