#include "runlink/routing/rollout_schedule.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::routing
{
namespace
{

constexpr double whole_percent = 100;

core::milliseconds part_of(core::milliseconds it, double part)
{
    return core::milliseconds{static_cast<core::milliseconds::rep>(static_cast<double>(it.count()) * part)};
}

double part_in(core::milliseconds it, core::milliseconds whole)
{
    const auto least = core::milliseconds{1};
    return static_cast<double>(it.count()) / static_cast<double>(std::max(whole, least).count());
}

} // namespace

core::milliseconds rollout_schedule::settle(core::milliseconds allowed) const
{
    return std::min(options_.settle_time, part_of(allowed, options_.hold_fraction));
}

core::milliseconds rollout_schedule::reserve(core::milliseconds allowed) const
{
    return std::min(options_.reserve, part_of(allowed, options_.most_reserve_fraction));
}

core::milliseconds rollout_schedule::last_part(core::milliseconds allowed, double requests_per_s) const
{
    // At a steady request rate the exposure is first * (1 - settled - last) + last, as fractions of the
    // requests during the roll-out. Solved for last.
    const auto first = options_.first_share_percent / whole_percent;
    const auto settled = part_in(settle(allowed), allowed);
    const auto requests = requests_per_s * std::chrono::duration<double>(allowed).count();
    const auto slack = requests > 0 ? options_.exposure_slack * options_.planned_fraction / requests : 0;
    const auto last = first < 1 ? (planned_share() + slack - first * (1 - settled)) / (1 - first) : 0;
    const auto least = reserve(allowed) + options_.least_overlap;
    return std::max(least, part_of(allowed, std::min(last, 1 - options_.hold_fraction)));
}

core::time_point rollout_schedule::next_step(const rollout_progress& it) const
{
    const auto end = it.ordered_at + it.allowed;
    if (it.share_percent == 0)
        return it.ordered_at + settle(it.allowed);
    if (in_first_part(it.share_percent))
        return std::max(end - last_part(it.allowed, it.requests_per_s),
                        it.ordered_at + part_of(it.allowed, options_.hold_fraction));
    if (it.share_percent < options_.steps_percent.back())
        return it.step_began + part_of(it.allowed, options_.step_fraction);
    return std::max(end - reserve(it.allowed), it.step_began + options_.least_overlap);
}

std::uint32_t rollout_schedule::share_after(std::uint32_t percent) const
{
    if (percent == 0)
        return options_.first_share_percent;
    const auto& steps = options_.steps_percent;
    const auto step = std::upper_bound(steps.begin(), steps.end(), percent);
    return step == steps.end() ? percent : *step;
}

bool rollout_schedule::may_expose(core::milliseconds allowed, const exposure_counts& sent) const
{
    const auto accepted = std::max(0.0, planned_share() - part_in(reserve(allowed), allowed));
    const auto slack =
        options_.exposure_slack / static_cast<double>(std::max<std::size_t>(sent.instances, 1));
    return static_cast<double>(sent.to_new_version + 1) <= accepted * static_cast<double>(sent.all) + slack;
}

} // namespace runlink::routing
