#include "runlink/routing/stream_position.hpp"

#include <utility>

namespace runlink::routing
{

event_place stream_position::place(stream_run& run, std::optional<std::uint64_t> id)
{
    if (!id)
        return place_unnumbered(run);
    const bool has_unnumbered = run.behind > 0 && !run.last;
    if (has_unnumbered || (run.last && *id <= *run.last))
        return contradict(run, *id);
    if (run.after && *id <= *run.after)
    {
        ++run.overlap;
        run.last = id;
        return event_place::repeat;
    }
    if (!is_overlap_whole(run))
        return event_place::contradiction;
    if (!is_current(run))
        return place_repeat(run, *id);
    if (behind_ > 0)
        after_ = last_;
    behind_ = 1;
    last_ = id;
    doubted_by_.reset();
    run.last = id;
    run.behind = 1;
    run.is_source = true;
    return event_place::next;
}

event_place stream_position::place_unnumbered(stream_run& run)
{
    if (after_ || last_ || run.last || !is_current(run))
        return event_place::contradiction;
    ++behind_;
    ++run.behind;
    run.is_source = true;
    return event_place::next;
}

event_place stream_position::place_repeat(stream_run& run, std::uint64_t id)
{
    // If the caller's id is the wrong one of the two, the right one is below that of the next event.
    const bool is_correction = doubted_by_ && id < *doubted_by_;
    if (last_ != id && !is_correction)
        return event_place::contradiction;
    last_ = id;
    doubted_by_.reset();
    run.last = id;
    run.behind = behind_;
    return event_place::repeat;
}

event_place stream_position::contradict(const stream_run& run, std::uint64_t id)
{
    if (run.is_source)
        doubted_by_ = id;
    return event_place::contradiction;
}

bool stream_position::is_overlap_whole(const stream_run& run)
{
    if (run.overlap == 0)
        return true;
    if (run.last < run.after)
        return false;
    // A single event with the caller's id may be the next one under a wrong id. A second run that begins in
    // the same way shows that endpoints repeat it.
    const bool is_lone = run.overlap == 1 && behind_ == 0;
    return !is_lone || std::exchange(has_lone_repeat_, true);
}

bool stream_position::may_end(const stream_run& run)
{
    return is_overlap_whole(run) && is_current(run);
}

} // namespace runlink::routing
