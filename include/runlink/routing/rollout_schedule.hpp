/// \file
/// Schedule of a roll-out's steps, and the limit on requests to a version without a verdict.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of the schedule.
struct schedule_options
{
    /// Share of the requests that the new version gets until the last part of the roll-out begins.
    std::uint32_t first_share_percent = 8;
    /// Shares of the steps in the last part, rising to 100.
    std::vector<std::uint32_t> steps_percent{100};
    double step_fraction =
        0.02; ///< time between the steps of the last part, as a fraction of the roll-out time
    /// Fraction of the roll-out time before which the last part does not begin. Sessions must not be moved in
    /// the first half of a roll-out.
    double hold_fraction = 0.52;
    /// Time before the first share takes effect. By then all instances have received the order and announced
    /// the sessions that ran before it.
    core::milliseconds settle_time{5300};
    /// Time before the deadline at which a good version is declared. It covers the write, and a second write
    /// by another instance if the first is lost.
    core::milliseconds reserve{900};
    double most_reserve_fraction = 0.05; ///< limit of `reserve` as a fraction of the roll-out time
    /// Time between the last step and declaring the version good, in which old endpoints finish their work.
    core::milliseconds least_overlap{500};
    /// Share of a service's requests that a faulty version may get over the whole roll-out. It limits every
    /// version, since an undetected fault is never rolled back.
    double exposure_share = 0.15;
    /// Fraction of `exposure_share` that the schedule uses; the rest covers traffic that rises towards the
    /// end.
    double planned_fraction = 0.85;
    /// Requests above the share that a faulty version may get from all instances together.
    double exposure_slack = 1;
};

/// Progress of a roll-out.
struct rollout_progress
{
    core::time_point ordered_at{}; ///< when the order was written
    core::milliseconds allowed{};  ///< time for the whole roll-out
    core::time_point step_began{};
    std::uint32_t share_percent = 0;
    double requests_per_s = 0; ///< of the service, over all instances; 0: not known
};

/// Requests of one instance to a service since the order of its roll-out.
struct exposure_counts
{
    std::uint64_t to_new_version = 0;
    std::uint64_t all = 0;
    std::size_t instances = 1; ///< that share the exposure slack
};

/// Computes the times of the steps backwards from the deadline. The new version gets all requests only for as
/// long as the planned exposure permits.
class rollout_schedule
{
public:
    explicit rollout_schedule(schedule_options options) : options_{std::move(options)} {}

    const schedule_options& options() const { return options_; }
    /// When the next step is due; after the last step, when the version is declared good.
    core::time_point next_step(const rollout_progress& it) const;
    /// The share that follows this one, or the same share after the last step.
    std::uint32_t share_after(std::uint32_t percent) const;
    /// Whether the new version has no more than the first share.
    bool in_first_part(std::uint32_t percent) const { return percent <= options_.first_share_percent; }
    /// Length of the last part, in which the share grows to all requests.
    core::milliseconds last_part(core::milliseconds allowed, double requests_per_s) const;
    /// Whether one more request may go to the new version. Leaves room for the requests between declaring the
    /// version good and the deadline.
    bool may_expose(core::milliseconds allowed, const exposure_counts& sent) const;

private:
    core::milliseconds settle(core::milliseconds allowed) const;
    core::milliseconds reserve(core::milliseconds allowed) const;
    /// Share of all requests that is planned to run on the new version.
    double planned_share() const { return options_.exposure_share * options_.planned_fraction; }

    schedule_options options_;
};

} // namespace runlink::routing
