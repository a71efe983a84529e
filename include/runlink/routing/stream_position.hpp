/// \file
/// The place of each event in a stream that several runs may continue one after another.
#pragma once

#include <cstdint>
#include <optional>

namespace runlink::routing
{

/// What becomes of an event.
enum class event_place
{
    next,          ///< the caller gets it
    repeat,        ///< the caller has it
    contradiction, ///< its id does not fit the others: an event before or behind it may be missing
};

/// What one run has sent of a stream.
struct stream_run
{
    std::optional<std::uint64_t> after; ///< the id behind which the run was asked to begin
    std::optional<std::uint64_t> last;  ///< its latest id
    std::uint32_t overlap = 0;          ///< events up to `after`
    std::uint32_t behind = 0;           ///< events behind `after`, of those that the caller has
    bool is_source = false;             ///< sent the latest event that the caller has
};

/// What a caller has of a stream. Ids of events rise, by any step, and each may be wrong.
///
/// An id is confirmed by a later event of its run with a higher id. A run begins behind the latest confirmed
/// id, so it first repeats the event behind that one, which the caller has. If it gives that event another
/// id, one of the two ids is wrong and nothing of that run is passed on.
class stream_position
{
public:
    explicit stream_position(std::optional<std::uint64_t> resumed_after = {}) : after_{resumed_after} {}

    /// A run that begins now.
    stream_run begin_run() const { return {after_, {}, 0, 0, false}; }
    /// Whether another run may continue. False if events have no ids.
    bool may_resume() const { return behind_ == 0 || last_ || (behind_ == 1 && doubted_by_); }
    /// Places the run's next event. Nothing of the run may be used after a contradiction.
    event_place place(stream_run& run, std::optional<std::uint64_t> id);
    /// Whether the run has sent all that the caller has, so that what it sends now follows.
    bool is_current(const stream_run& run) const { return run.behind == behind_; }
    /// Whether the stream is complete if the run ends now.
    bool may_end(const stream_run& run);

private:
    event_place place_unnumbered(stream_run& run);
    event_place place_repeat(stream_run& run, std::uint64_t id);
    event_place contradict(const stream_run& run, std::uint64_t id);
    /// Whether the events that the run repeated up to `after` reach it.
    bool is_overlap_whole(const stream_run& run);

    std::optional<std::uint64_t> after_; ///< the latest confirmed id, or the one that the caller named
    std::uint32_t behind_ = 0;           ///< events that the caller has behind `after_`
    std::optional<std::uint64_t> last_;  ///< the id of the last of these
    /// An id that the run which sent `last_` gave to the next event, not above `last_`: one of the two is
    /// wrong.
    std::optional<std::uint64_t> doubted_by_;
    /// A run repeated only the event which the caller named.
    bool has_lone_repeat_ = false;
};

} // namespace runlink::routing
