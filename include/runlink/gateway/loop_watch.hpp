/// \file
/// Detects that the process was suspended.
#pragma once

#include <optional>

#include "runlink/core/units.hpp"

namespace runlink::gateway
{

/// Compares the time of each iteration of the event loop with the time at which its timer was due. A virtual
/// machine may be suspended and resumed without notice. The state of the process is then older than it
/// appears, and bytes waiting on its sockets arrived long ago.
class loop_watch
{
public:
    /// `least_pause`: an iteration that is late by no more than this is attributed to a busy processor.
    explicit loop_watch(core::milliseconds least_pause = core::milliseconds{1000}) : least_pause_{least_pause}
    {
    }

    /// Records the time for which the event loop's timer is set.
    void expect(core::time_point due) { due_ = due; }
    /// Records the start of an event loop iteration. If the process was suspended before it, returns when the
    /// previous iteration started, otherwise nothing.
    std::optional<core::time_point> turn(core::time_point now)
    {
        const auto last = last_;
        last_ = now;
        if (!last || !due_ || now - *due_ <= least_pause_)
            return std::nullopt;
        due_.reset(); // reports each pause only once
        return last;
    }

private:
    core::milliseconds least_pause_;
    std::optional<core::time_point> due_;
    std::optional<core::time_point> last_;
};

} // namespace runlink::gateway
