#include "runlink/load/endpoint_backlog.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::load
{

void endpoint_backlog::sent(time_point now, endpoint_hash to, duration work, bool is_own, stream_hash stream)
{
    auto& it = queues_[to];
    it.entries.push_back({now, work, is_own, stream});
    it.busy_until = std::max(it.busy_until, now) + work;
}

void endpoint_backlog::answered(time_point now, endpoint_hash from, time_point sent_at)
{
    const auto found = queues_.find(from);
    if (found == queues_.end())
        return;
    // Answers may arrive out of order, so own work without an answer stays.
    std::erase_if(found->second.entries, [&](const entry& e) { return e.sent_at <= sent_at && !e.is_own; });
    limit_busy_until(now, found->second);
}

void endpoint_backlog::read(time_point now, endpoint_hash by, stream_hash stream)
{
    const auto found = queues_.find(by);
    if (found == queues_.end() || stream == stream_hash{})
        return;
    std::erase_if(found->second.entries, [&](const entry& e) { return e.stream == stream; });
    limit_busy_until(now, found->second);
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
    limit_busy_until(now, found->second);
}

void endpoint_backlog::limit_busy_until(time_point now, queue& it)
{
    duration rest{};
    for (const auto& e : it.entries)
        rest += e.work;
    it.busy_until = std::min(it.busy_until, now + rest);
}

duration endpoint_backlog::local_time_left(time_point now, const queue& it) const
{
    // An endpoint may be slower than expected: own prompts without an answer still wait there, and so do
    // those of peers' streams. Of these the oldest is being read; a quarter of it is taken to be left at
    // least.
    constexpr int parts_of_oldest = 4;
    duration unread{};
    bool is_oldest = true;
    for (const auto& e : it.entries)
    {
        const bool is_tracked = e.stream != stream_hash{} && now - e.sent_at < options_.max_unread_time;
        if (e.is_own)
            unread += e.work;
        else if (is_tracked)
            unread +=
                is_oldest ? std::max<duration>(e.work - (now - e.sent_at), e.work / parts_of_oldest) : e.work;
        is_oldest = is_oldest && !e.is_own && !is_tracked;
    }
    return std::max(it.busy_until - now, unread);
}

duration endpoint_backlog::time_left(time_point now, endpoint_hash of) const
{
    const auto queue = queues_.find(of);
    const auto remote = remote_busy_until_.find(of);
    const auto local_part = queue == queues_.end() ? duration{} : local_time_left(now, queue->second);
    const auto remote_part = remote == remote_busy_until_.end() ? duration{} : remote->second - now;
    return local_part + std::max(remote_part, duration{});
}

void endpoint_backlog::set_remote_loads(time_point now, const std::vector<endpoint_load>& all)
{
    remote_busy_until_.clear();
    for (const auto& it : all)
        remote_busy_until_[it.endpoint] = now + it.left;
}

std::vector<endpoint_load> endpoint_backlog::local_loads(time_point now, milliseconds least) const
{
    std::vector<endpoint_load> out;
    for (const auto& [endpoint, it] : queues_)
        if (const auto left = std::chrono::floor<milliseconds>(local_time_left(now, it)); left >= least)
            out.push_back({endpoint, left});
    return out;
}

void endpoint_backlog::expire(time_point now)
{
    for (auto& [endpoint, it] : queues_)
    {
        while (!it.entries.empty() && now - it.entries.front().sent_at >= options_.max_entry_age)
            it.entries.pop_front();
        it.busy_until = std::min(it.busy_until, now + options_.max_entry_age);
    }
    std::erase_if(queues_,
                  [&](const auto& it) { return it.second.entries.empty() && it.second.busy_until <= now; });
}

} // namespace runlink::load
