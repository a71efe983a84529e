#include "runlink/core/caller_budget.hpp"

#include <algorithm>

namespace runlink::core
{
namespace
{

/// Memory that a process needs besides callers: code, configuration, endpoints, other instances.
constexpr std::size_t own_memory_bytes = 32 * 1000 * 1000;
constexpr std::size_t min_budget_bytes = 16 * 1000 * 1000;
/// Of the remaining memory. The allocator and copies that live for a moment take the rest.
constexpr std::size_t memory_percent = 70;
/// Of the descriptors. The rest is for endpoints, the store and other instances.
constexpr std::size_t descriptor_percent = 66;
constexpr std::size_t ordinary_divisor = 4;
/// Not the id of any connection.
constexpr connection_id no_connection{0};

} // namespace

caller_budget_limits caller_budget_limits::for_process(std::size_t memory_bytes, std::size_t descriptors)
{
    constexpr std::size_t percent = 100;
    caller_budget_limits out;
    if (memory_bytes > 0)
    {
        const auto left = memory_bytes - std::min(memory_bytes, own_memory_bytes);
        out.max_bytes = std::max(left / percent * memory_percent, min_budget_bytes);
    }
    if (descriptors > 0)
        out.max_connections = descriptors * descriptor_percent / percent;
    return out;
}

budget_share caller_budget::share_for(std::size_t bytes) const
{
    return bytes > limits_.max_ordinary_bytes ? budget_share::large : budget_share::ordinary;
}

std::size_t caller_budget::limit_of(budget_share share) const
{
    const auto reserved = share == budget_share::large ? limits_.max_bytes / ordinary_divisor : 0;
    return limits_.max_bytes - reserved;
}

caller_budget::decision caller_budget::open(time_point now, connection_id id)
{
    decision out;
    if (holders_.size() >= limits_.max_connections ||
        held_bytes_ + limits_.connection_bytes > limits_.max_bytes)
    {
        const auto displaced = find_connection(now);
        out.is_granted = displaced.has_value();
        if (displaced)
            out.displaced = {*displaced};
    }
    for (const auto it : out.displaced)
        displace_connection(it);
    if (!out.is_granted)
    {
        ++counters_.refused_connections;
        return out;
    }
    held_bytes_ += limits_.connection_bytes;
    const auto added = holders_.emplace(id, holder{}).first;
    added->second.progressed_at = now;
    insert(*added);
    return out;
}

void caller_budget::close(connection_id id)
{
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return;
    set_bytes(found->second, 0);
    held_bytes_ -= limits_.connection_bytes;
    remove(*found);
    holders_.erase(found);
}

caller_budget::decision caller_budget::hold(time_point now, connection_id id, std::size_t bytes)
{
    decision out;
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return out;
    auto& it = found->second;
    if (bytes > it.bytes)
        out = make_room(now, bytes - it.bytes, id, share_for(bytes));
    counters_.refused_requests += out.is_granted ? 0 : 1;
    if (out.is_granted)
        set_bytes(it, bytes);
    return out;
}

void caller_budget::hold_anyway(connection_id id, std::size_t bytes)
{
    if (const auto found = holders_.find(id); found != holders_.end())
        set_bytes(found->second, bytes);
}

caller_budget::decision caller_budget::hold_answers(time_point now, std::size_t bytes, budget_share share)
{
    decision out;
    if (bytes > answer_bytes_)
        out = make_room(now, bytes - answer_bytes_, no_connection, share);
    if (!out.is_granted)
        return out;
    held_bytes_ += bytes - answer_bytes_;
    answer_bytes_ = bytes;
    return out;
}

void caller_budget::enter(time_point now, connection_id id, caller_phase phase)
{
    const auto found = holders_.find(id);
    if (found == holders_.end() || found->second.phase == phase)
        return;
    remove(*found);
    found->second.phase = phase;
    found->second.progressed_at = now;
    if (phase == caller_phase::receiving)
        found->second.began = ++requests_;
    insert(*found);
}

void caller_budget::progressed(time_point now, connection_id id)
{
    const auto found = holders_.find(id);
    if (found == holders_.end())
        return;
    remove(*found);
    found->second.progressed_at = now;
    insert(*found);
}

caller_budget::decision caller_budget::make_room(time_point now, std::size_t more, connection_id needed_by,
                                                 budget_share share)
{
    decision out;
    const auto limit = limit_of(share);
    if (held_bytes_ + more <= limit)
        return out;
    out.displaced = find_bytes(now, held_bytes_ + more - limit, needed_by, share);
    out.is_granted = !out.displaced.empty();
    for (const auto it : out.displaced)
        displace(it);
    return out;
}

std::vector<connection_id> caller_budget::find_bytes(time_point now, std::size_t needed,
                                                     connection_id needed_by, budget_share share) const
{
    std::vector<connection_id> out;
    std::size_t released = 0;
    const auto take = [&](connection_id id, std::size_t bytes)
    {
        if (id == needed_by || bytes == 0)
            return;
        out.push_back(id);
        released += bytes;
    };
    const auto take_stalled = [&](caller_phase phase)
    {
        const auto all = by_progress_.find(phase);
        if (all == by_progress_.end())
            return;
        for (const auto& [at, id] : all->second)
        {
            if (released >= needed || now - at < limits_.stall_time)
                return;
            take(id, phase == caller_phase::idle ? limits_.connection_bytes : holders_.at(id).bytes);
        }
    };
    take_stalled(caller_phase::receiving);
    take_stalled(caller_phase::sending);
    // A large request would close many idle connections for little room.
    if (share == budget_share::ordinary)
        take_stalled(caller_phase::idle);

    // A request that is being received displaces later ones, an answer displaces any.
    const auto requester = holders_.find(needed_by);
    const bool is_receiving =
        requester != holders_.end() && requester->second.phase == caller_phase::receiving;
    for (auto it = receiving_.rbegin(); it != receiving_.rend() && released < needed; ++it)
    {
        const auto& candidate = holders_.at(it->second);
        if (is_receiving && it->first <= requester->second.began)
            break;
        const bool is_ordinary = share_for(candidate.bytes) == budget_share::ordinary;
        if (!is_stalled(now, candidate) && !(share == budget_share::large && is_ordinary))
            take(it->second, candidate.bytes);
    }
    return released >= needed ? out : std::vector<connection_id>{};
}

std::optional<connection_id> caller_budget::find_connection(time_point now) const
{
    for (const auto phase :
         {caller_phase::refused, caller_phase::idle, caller_phase::receiving, caller_phase::sending})
    {
        const auto all = by_progress_.find(phase);
        if (all == by_progress_.end() || all->second.empty())
            continue;
        const auto& [at, id] = *all->second.begin();
        const bool needs_no_stall = phase == caller_phase::refused || phase == caller_phase::idle;
        if (needs_no_stall || now - at >= limits_.stall_time)
            return id;
    }
    return std::nullopt;
}

bool caller_budget::is_stalled(time_point now, const holder& it) const
{
    return now - it.progressed_at >= limits_.stall_time;
}

void caller_budget::displace(connection_id id)
{
    const auto found = holders_.find(id);
    if (found->second.phase == caller_phase::idle)
        return displace_connection(id);
    set_bytes(found->second, 0);
    ++counters_.displaced;
}

void caller_budget::displace_connection(connection_id id)
{
    close(id);
    ++counters_.displaced;
}

void caller_budget::set_bytes(holder& it, std::size_t bytes)
{
    held_bytes_ += bytes - it.bytes;
    it.bytes = bytes;
}

void caller_budget::insert(const holder_map::value_type& it)
{
    by_progress_[it.second.phase].emplace(it.second.progressed_at, it.first);
    if (it.second.phase == caller_phase::receiving)
        receiving_.emplace(it.second.began, it.first);
}

void caller_budget::remove(const holder_map::value_type& it)
{
    by_progress_[it.second.phase].erase({it.second.progressed_at, it.first});
    if (it.second.phase == caller_phase::receiving)
        receiving_.erase({it.second.began, it.first});
}

} // namespace runlink::core
