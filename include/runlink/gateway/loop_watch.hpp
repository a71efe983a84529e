/// \file
/// Finds out that the process stood still.
#pragma once

#include <optional>

#include "runlink/core/units.hpp"

namespace runlink::gateway
{

/// Compares the time of each turn of the event loop with when its timer was due. A virtual machine may be
/// frozen and go on later as if nothing had happened: what the process believed is then older than it looks,
/// and bytes that wait on its sockets came long ago.
class loop_watch
{
public:
    /// `least_pause`: turns that are late by less are those of a busy processor.
    explicit loop_watch(core::milliseconds least_pause = core::milliseconds{1000}) : least_pause_{least_pause}
    {
    }

    /// The loop's timer is set to this time.
    void expect(core::time_point due) { due_ = due; }
    /// A turn begins. Returns the last turn before a pause, if there was one.
    std::optional<core::time_point> turn(core::time_point now)
    {
        const auto last = last_;
        last_ = now;
        if (!last || !due_ || now - *due_ <= least_pause_)
            return std::nullopt;
        due_.reset(); // told once
        return last;
    }

private:
    core::milliseconds least_pause_;
    std::optional<core::time_point> due_;
    std::optional<core::time_point> last_;
};

} // namespace runlink::gateway
