#include "soak/cut_record.hpp"

#include <algorithm>
#include <utility>

namespace runlink::soak
{
namespace
{

constexpr milliseconds step{20}; ///< in which time is counted

} // namespace

void cut_record::troubled(time_point from, time_point until, std::optional<int> instance)
{
    troubles_.push_back({from, until + bounds_.after_trouble, instance});
}

void cut_record::cut(time_point at, int instance, const std::string& id)
{
    if (from_ && !is_troubled(at, instance))
        cuts_[instance].push_back({at, id});
}

bool cut_record::is_beside(time_point at) const
{
    return std::any_of(changes_.begin(), changes_.end(),
                       [&](auto sent) { return at >= sent && at - sent <= bounds_.beside; });
}

bool cut_record::is_troubled(time_point at, int instance) const
{
    return std::any_of(troubles_.begin(), troubles_.end(),
                       [&](const auto& it) {
                           return at >= it.from && at <= it.until &&
                                  (!it.instance || *it.instance == instance);
                       });
}

cut_record::tally cut_record::count(time_point until, std::optional<int> instance, bool beside) const
{
    tally out;
    for (int n = instance.value_or(0); n < (instance ? *instance + 1 : instances_); ++n)
    {
        for (auto at = *from_; at < until; at += step)
            if (is_beside(at) == beside && !is_troubled(at, n))
                out.time += step;
        const auto found = cuts_.find(n);
        if (found == cuts_.end())
            continue;
        for (const auto& it : found->second)
            if (is_beside(it.at) == beside)
                out.cuts.push_back(it.id);
    }
    return out;
}

std::vector<std::string> cut_record::judge(time_point until) const
{
    std::vector<std::string> out;
    for (const auto& [instance, cuts] : cuts_)
    {
        const auto beside = beside_changes(until, instance);
        const auto other = at_other_times(until, instance);
        // Multiplied out: at other times there may be no cut.
        const auto rate = static_cast<double>(beside.cuts.size()) * static_cast<double>(other.time.count());
        const auto allowed =
            static_cast<double>(other.cuts.size()) * static_cast<double>(beside.time.count());
        if (rate <= bounds_.most_times * allowed)
            continue;
        auto text = "cuts: i" + std::to_string(instance) + " cut " + std::to_string(beside.cuts.size()) +
                    " streams in " + std::to_string(beside.time.count()) +
                    " ms beside changes of the configuration, " + std::to_string(other.cuts.size()) + " in " +
                    std::to_string(other.time.count()) + " ms at other times:";
        for (const auto& it : beside.cuts)
            text += " " + it;
        out.push_back(std::move(text));
    }
    return out;
}

} // namespace runlink::soak
