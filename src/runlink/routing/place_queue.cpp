#include "runlink/routing/place_queue.hpp"

#include <algorithm>
#include <functional>

namespace runlink::routing
{
namespace
{

/// Longest time by which the retry of a caller is deferred behind other callers; capacity may return sooner.
constexpr milliseconds max_retry_deferral{5000};

} // namespace

std::optional<time_point> slot_behind(std::size_t ahead, std::vector<slot_series> slots)
{
    const auto later = [](const slot_series& a, const slot_series& b) { return a.first > b.first; };
    std::make_heap(slots.begin(), slots.end(), later);
    for (; !slots.empty(); --ahead)
    {
        std::pop_heap(slots.begin(), slots.end(), later);
        auto& it = slots.back();
        if (ahead == 0)
            return it.first;
        it.first += it.interval;
        std::push_heap(slots.begin(), slots.end(), later);
    }
    return std::nullopt;
}

void slot_queue::remove(const service_id& service, const entry& it)
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return;
    found->second.erase(it);
    if (found->second.empty())
        waiting_.erase(found);
}

std::optional<flow_id> slot_queue::first(const service_id& service) const
{
    const auto found = waiting_.find(service);
    return found == waiting_.end() || found->second.empty() ? std::nullopt
                                                            : std::optional{found->second.begin()->id};
}

std::vector<flow_id> slot_queue::before(const service_id& service, const entry& it) const
{
    std::vector<flow_id> out;
    const auto found = waiting_.find(service);
    if (found != waiting_.end())
        for (auto e = found->second.begin(); e != found->second.end() && *e < it; ++e)
            out.push_back(e->id);
    return out;
}

std::size_t slot_queue::count_before(const service_id& service, const entry& it) const
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return 0;
    const auto& all = found->second;
    return static_cast<std::size_t>(std::distance(all.begin(), all.lower_bound(it)));
}

std::size_t slot_queue::size() const
{
    std::size_t out = 0;
    for (const auto& [service, all] : waiting_)
        out += all.size();
    return out;
}

time_point slot_queue::assign_retry_time(time_point now, const service_id& service, time_point first,
                                         duration interval)
{
    auto& next = next_retry_[service];
    const auto out = std::min(std::max(first, next), std::max<time_point>(first, now + max_retry_deferral));
    next = out + interval;
    return out;
}

} // namespace runlink::routing
