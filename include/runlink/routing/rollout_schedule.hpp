/// \file
/// When the steps of a roll-out are due, and how many requests the new version may get before its verdict.
#pragma once

#include <cstdint>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of the schedule.
struct schedule_options
{
    /// Share of the requests that the new version gets until the last part of the roll-out.
    std::uint32_t first_share_percent = 8;
    /// Shares of the last part.
    std::vector<std::uint32_t> steps_percent{100};
    double step_time = 0.02; ///< between the steps of the last part, as a part of the time of the roll-out
    /// Sessions must not be moved in the first half of a roll-out; the last part begins after this one.
    double hold_until = 0.52;
    /// Before the first share is given. By then all instances have heard of the order and told each other of
    /// the sessions that ran before it.
    core::milliseconds settle_time{5300};
    /// A good version is declared this long before the end: for the write, and for a second one by another
    /// instance if the first is lost.
    core::milliseconds reserve{900};
    double most_reserve = 0.05; ///< as a part of the time of the roll-out
    /// Between the last step and the declaration, so that work on old endpoints may finish.
    core::milliseconds least_overlap{500};
    /// Share of a service's requests that a bad version may get in the whole time of the roll-out. A fault
    /// that nobody sees is never rolled back, so this holds for every version.
    double exposure_share = 0.15;
    /// The part of that share that is planned with; the rest covers traffic that rises towards the end.
    double planned_part = 0.85;
    /// Requests above that part that one instance may send, so that the first ones are possible at all.
    std::uint32_t exposure_slack = 1;
};

/// How far a roll-out is.
struct rollout_progress
{
    core::time_point seen{}; ///< when the order came
    core::milliseconds allowed{};
    core::time_point step_began{};
    std::uint32_t share_percent = 0;
};

/// Times of the steps, from the end backwards: the new version gets all requests only for as long as the
/// accepted exposure lasts.
class rollout_schedule
{
public:
    explicit rollout_schedule(schedule_options options) : options_{std::move(options)} {}

    const schedule_options& options() const { return options_; }
    /// When the next step is due; after the last one, when the version is declared good.
    core::time_point next_step(const rollout_progress& it) const;
    /// The share after this one, or the same if there is none.
    std::uint32_t share_after(std::uint32_t percent) const;
    bool in_first_part(std::uint32_t percent) const { return percent <= options_.first_share_percent; }
    /// Length of the last part, in which the share grows to all requests.
    core::milliseconds last_part(core::milliseconds allowed) const;
    /// Whether one more request may go to the new version after so many of all requests. Room is left for
    /// what the version gets between its declaration and the end.
    bool may_expose(core::milliseconds allowed, std::uint64_t to_new_version, std::uint64_t all) const;

private:
    core::milliseconds settle(core::milliseconds allowed) const;
    core::milliseconds reserve(core::milliseconds allowed) const;
    /// Share of all requests that is planned to run on the new version.
    double planned_share() const { return options_.exposure_share * options_.planned_part; }

    schedule_options options_;
};

} // namespace runlink::routing
