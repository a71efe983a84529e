#include "runlink/routing/endpoint_backlog.hpp"

#include <algorithm>

namespace runlink::routing
{

void endpoint_backlog::sent(time_point now, endpoint_hash to, duration work, bool is_own)
{
    auto& it = queues_[to];
    it.entries.push_back({now, work, is_own});
    it.busy_until = std::max(it.busy_until, now) + work;
}

void endpoint_backlog::answered(time_point now, endpoint_hash from, time_point sent_at)
{
    const auto found = queues_.find(from);
    if (found == queues_.end())
        return;
    // Answers may overtake each other: own work that is still without one stays.
    std::erase_if(found->second.entries, [&](const entry& e) { return e.sent_at <= sent_at && !e.is_own; });
    shorten(now, found->second);
}

void endpoint_backlog::withdrawn(time_point now, endpoint_hash from, time_point sent_at)
{
    const auto found = queues_.find(from);
    if (found == queues_.end())
        return;
    auto& entries = found->second.entries;
    const auto gone = std::find_if(entries.begin(), entries.end(),
                                   [&](const entry& e) { return e.is_own && e.sent_at == sent_at; });
    if (gone == entries.end())
        return;
    entries.erase(gone);
    shorten(now, found->second);
}

void endpoint_backlog::shorten(time_point now, queue& it)
{
    duration rest{};
    for (const auto& e : it.entries)
        rest += e.work;
    it.busy_until = std::min(it.busy_until, now + rest);
}

duration endpoint_backlog::left(time_point now, endpoint_hash of) const
{
    const auto found = queues_.find(of);
    if (found == queues_.end())
        return {};
    // An endpoint that is slower than expected still has what this instance waits for.
    duration own{};
    for (const auto& e : found->second.entries)
        own += e.is_own ? e.work : duration{};
    return std::max(found->second.busy_until - now, own);
}

void endpoint_backlog::expire(time_point now)
{
    for (auto& [endpoint, it] : queues_)
    {
        while (!it.entries.empty() && now - it.entries.front().sent_at >= options_.longest)
            it.entries.pop_front();
        it.busy_until = std::min(it.busy_until, now + options_.longest);
    }
    std::erase_if(queues_,
                  [&](const auto& it) { return it.second.entries.empty() && it.second.busy_until <= now; });
}

} // namespace runlink::routing
