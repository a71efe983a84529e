#include "support/statement_record.hpp"

#include <algorithm>

namespace runlink::tests
{

using core::time_point;

void statement_record::answered(time_point now, const std::string& endpoint, int instance,
                                const said_words& what)
{
    const pair key{instance, endpoint};
    if (what.is_leaving)
        leaving_count_ += told_leaving_.emplace(key, now).second ? 1 : 0;
    if (what.rest)
    {
        ++rest_count_;
        rests_[key].push_back({now + bounds_.told, now + *what.rest});
    }
    auto& limit = limited_[endpoint];
    if (!what.requests_per_s)
    {
        // The limit is withdrawn; no instance can know of a new one before an answer names it.
        limit = {};
        return;
    }
    limit.named_at = limit.named_at.value_or(now);
    limit.told.emplace(instance, now);
}

void statement_record::forget(int instance)
{
    std::erase_if(told_leaving_, [instance](const auto& it) { return it.first.first == instance; });
    std::erase_if(rests_, [instance](const auto& it) { return it.first.first == instance; });
    for (auto& [endpoint, it] : limited_)
        it.told.erase(instance);
}

void statement_record::arrived(time_point now, const std::string& endpoint, int instance, time_point came_at,
                               std::optional<double> limit)
{
    check_leaving({instance, endpoint}, came_at);
    check_rests(now, {instance, endpoint});
    if (limit)
        check_limit(now, endpoint, instance, *limit);
}

void statement_record::check_leaving(const pair& of, time_point came_at)
{
    const auto told = told_leaving_.find(of);
    if (told == told_leaving_.end() || came_at - told->second <= bounds_.drain)
        return;
    const auto late = std::chrono::floor<core::milliseconds>(came_at - told->second);
    faults_.push_back({statement_fault::rule::leaving,
                       of.second + " got a request of i" + std::to_string(of.first) + " that came " +
                           std::to_string(late.count()) + " ms after it had told that it leaves"});
}

void statement_record::check_rests(time_point now, const pair& of)
{
    const auto found = rests_.find(of);
    if (found == rests_.end())
        return;
    std::erase_if(found->second, [now](const rest& it) { return now >= it.until; });
    for (auto& it : found->second)
        if (now > it.from && ++it.arrivals == bounds_.most_in_rest + 1)
            faults_.push_back(
                {statement_fault::rule::rest, of.second + " had asked i" + std::to_string(of.first) +
                                                  " for rest and got more than two requests of it"});
}

void statement_record::check_limit(time_point now, const std::string& endpoint, int instance, double limit)
{
    auto& it = limited_[endpoint];
    const auto told = it.told.find(instance);
    if (told == it.told.end() || now - told->second < bounds_.told)
        return;
    ++limited_count_;
    it.arrivals.push_back({now, limit});
    while (now - it.arrivals.front().at > bounds_.window)
        it.arrivals.pop_front();
    double most = 0;
    for (const auto& e : it.arrivals)
        most = std::max(most, e.limit);
    constexpr double ms_per_s = 1000;
    const auto seconds = static_cast<double>(bounds_.window.count()) / ms_per_s;
    const auto allowed = bounds_.overage * seconds * most + bounds_.slack;
    const bool binds = now - it.named_at.value_or(now) >= bounds_.contact;
    if (!binds || static_cast<double>(it.arrivals.size()) <= allowed || std::exchange(it.is_reported, true))
        return;
    faults_.push_back({statement_fault::rule::limit, endpoint + " got " + std::to_string(it.arrivals.size()) +
                                                         " of " + std::to_string(static_cast<int>(allowed)) +
                                                         " requests in 4 s that it bears"});
}

std::vector<statement_fault> statement_record::take_faults()
{
    return std::exchange(faults_, {});
}

} // namespace runlink::tests
