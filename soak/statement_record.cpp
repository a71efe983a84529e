#include "soak/statement_record.hpp"

#include <utility>

namespace runlink::soak
{

void statement_record::names(time_point, const std::string& endpoint, std::optional<double> requests_per_s)
{
    limited_.erase(endpoint);
    if (requests_per_s)
        limited_[endpoint].requests_per_s = *requests_per_s;
}

void statement_record::answered(time_point now, const std::string& endpoint, int instance,
                                const said_words& what)
{
    if (what.is_leaving)
        told_leaving_.emplace(pair{instance, endpoint}, now);
    if (what.rest)
    {
        ++rest_count_;
        rests_[{instance, endpoint}].push_back({now + bounds_.told, now + *what.rest});
    }
    const auto found = limited_.find(endpoint);
    if (found == limited_.end())
        return;
    auto& it = found->second;
    it.told_at = it.told_at.value_or(now);
    it.told.emplace(instance, now);
}

void statement_record::forget(int instance)
{
    std::erase_if(told_leaving_, [instance](const auto& it) { return it.first.first == instance; });
    std::erase_if(rests_, [instance](const auto& it) { return it.first.first == instance; });
    for (auto& [endpoint, it] : limited_)
        it.told.erase(instance);
}

void statement_record::arrived(time_point now, const std::string& endpoint, int instance, time_point sent,
                               bool is_calm)
{
    if (!is_calm)
        return;
    const auto told = told_leaving_.find({instance, endpoint});
    if (told != told_leaving_.end() && sent - told->second > bounds_.drain)
        faults_.push_back("drain: " + endpoint + " got a request of i" + std::to_string(instance) +
                          " that was sent long after it had told that it leaves");
    check_rests(now, {instance, endpoint});
    check_limit(now, endpoint, instance);
}

void statement_record::check_rests(time_point now, const pair& of)
{
    const auto found = rests_.find(of);
    if (found == rests_.end())
        return;
    std::erase_if(found->second, [now](const rest& it) { return now >= it.until; });
    for (auto& it : found->second)
        if (now > it.from && ++it.arrivals == bounds_.most_in_rest + 1)
            faults_.push_back("rest: " + of.second + " had asked i" + std::to_string(of.first) +
                              " for rest and got more than two requests of it");
}

void statement_record::check_limit(time_point now, const std::string& endpoint, int instance)
{
    const auto found = limited_.find(endpoint);
    if (found == limited_.end())
        return;
    auto& it = found->second;
    const auto told = it.told.find(instance);
    if (told == it.told.end() || now - told->second < bounds_.told)
        return;
    ++looked_at_;
    it.arrivals.push_back(now);
    while (now - it.arrivals.front() > bounds_.window)
        it.arrivals.pop_front();
    const auto seconds = static_cast<double>(bounds_.window.count()) / 1000;
    const auto allowed = bounds_.overage * seconds * it.requests_per_s + bounds_.slack;
    if (now - *it.told_at < bounds_.contact || static_cast<double>(it.arrivals.size()) <= allowed)
        return;
    faults_.push_back("limit: " + endpoint + " named " + std::to_string(it.requests_per_s) +
                      " a second and got " + std::to_string(it.arrivals.size()) +
                      " requests in 4 s from instances that it had told");
}

std::vector<std::string> statement_record::take_faults()
{
    return std::exchange(faults_, {});
}

} // namespace runlink::soak
