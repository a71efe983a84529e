#include "soak/cut_record.hpp"

#include <algorithm>
#include <utility>

namespace runlink::soak
{
namespace
{

constexpr milliseconds step{20}; ///< sampling interval for undisturbed time

} // namespace

void cut_record::add_disturbance(time_point from, time_point until, std::optional<int> instance)
{
    disturbances_.push_back({from, until + bounds_.after_disturbance, instance});
}

void cut_record::cut(time_point at, int instance, const std::string& id)
{
    if (from_ && !is_disturbed(at, instance))
        cuts_[instance].push_back({at, id});
}

bool cut_record::is_near_change(time_point at) const
{
    return std::any_of(changes_.begin(), changes_.end(),
                       [&](auto sent) { return at >= sent && at - sent <= bounds_.change_window; });
}

bool cut_record::is_disturbed(time_point at, int instance) const
{
    return std::any_of(disturbances_.begin(), disturbances_.end(),
                       [&](const auto& it) {
                           return at >= it.from && at <= it.until &&
                                  (!it.instance || *it.instance == instance);
                       });
}

cut_record::tally cut_record::count(time_point until, std::optional<int> instance, bool near_change) const
{
    tally out;
    for (int n = instance.value_or(0); n < (instance ? *instance + 1 : instances_); ++n)
    {
        for (auto at = *from_; at < until; at += step)
            if (is_near_change(at) == near_change && !is_disturbed(at, n))
                out.time += step;
        const auto found = cuts_.find(n);
        if (found == cuts_.end())
            continue;
        for (const auto& it : found->second)
            if (is_near_change(it.at) == near_change)
                out.cuts.push_back(it.id);
    }
    return out;
}

std::vector<std::string> cut_record::find_violations(time_point until) const
{
    std::vector<std::string> out;
    for (const auto& [instance, cuts] : cuts_)
    {
        const auto near = near_changes(until, instance);
        const auto other = at_other_times(until, instance);
        // Compares products instead of quotients, because there may be no cuts at other times.
        const auto rate = static_cast<double>(near.cuts.size()) * static_cast<double>(other.time.count());
        const auto allowed = static_cast<double>(other.cuts.size()) * static_cast<double>(near.time.count());
        if (rate <= bounds_.max_rate_ratio * allowed)
            continue;
        auto text = "cuts: i" + std::to_string(instance) + " cut " + std::to_string(near.cuts.size()) +
                    " streams in " + std::to_string(near.time.count()) + " ms near configuration changes, " +
                    std::to_string(other.cuts.size()) + " in " + std::to_string(other.time.count()) +
                    " ms at other times:";
        for (const auto& it : near.cuts)
            text += " " + it;
        out.push_back(std::move(text));
    }
    return out;
}

} // namespace runlink::soak
