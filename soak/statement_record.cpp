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

void statement_record::answered(time_point now, const std::string& endpoint, int instance)
{
    const auto found = limited_.find(endpoint);
    if (found == limited_.end())
        return;
    auto& it = found->second;
    it.told_at = it.told_at.value_or(now);
    it.told.emplace(instance, now);
}

void statement_record::arrived(time_point now, const std::string& endpoint, int instance, bool is_calm)
{
    const auto found = limited_.find(endpoint);
    if (found == limited_.end())
        return;
    auto& it = found->second;
    const auto told = it.told.find(instance);
    if (!is_calm || told == it.told.end() || now - told->second < bounds_.told)
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
