#include "runlink/routing/place_queue.hpp"

#include <algorithm>
#include <functional>

namespace runlink::routing
{
namespace
{

/// Longest time by which the retry of a caller is deferred behind other callers; capacity may return sooner.
constexpr milliseconds longest_return{5000};

} // namespace

std::optional<time_point> place_behind(std::size_t ahead, std::vector<opening> openings)
{
    const auto later = [](const opening& a, const opening& b) { return a.first > b.first; };
    std::make_heap(openings.begin(), openings.end(), later);
    for (; !openings.empty(); --ahead)
    {
        std::pop_heap(openings.begin(), openings.end(), later);
        auto& it = openings.back();
        if (ahead == 0)
            return it.first;
        it.first += it.interval;
        std::push_heap(openings.begin(), openings.end(), later);
    }
    return std::nullopt;
}

void place_queue::remove(const service_id& service, const entry& it)
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return;
    found->second.erase(it);
    if (found->second.empty())
        waiting_.erase(found);
}

std::vector<flow_id> place_queue::before(const service_id& service, const entry& it) const
{
    std::vector<flow_id> out;
    const auto found = waiting_.find(service);
    if (found != waiting_.end())
        for (auto e = found->second.begin(); e != found->second.end() && *e < it; ++e)
            out.push_back(e->id);
    return out;
}

std::size_t place_queue::count_before(const service_id& service, const entry& it) const
{
    const auto found = waiting_.find(service);
    if (found == waiting_.end())
        return 0;
    const auto& all = found->second;
    return static_cast<std::size_t>(std::distance(all.begin(), all.lower_bound(it)));
}

std::size_t place_queue::size() const
{
    std::size_t out = 0;
    for (const auto& [service, all] : waiting_)
        out += all.size();
    return out;
}

time_point place_queue::assign_return(time_point now, const service_id& service, time_point first,
                                      duration interval)
{
    auto& next = next_return_[service];
    const auto out = std::min(std::max(first, next), std::max<time_point>(first, now + longest_return));
    next = out + interval;
    return out;
}

} // namespace runlink::routing
