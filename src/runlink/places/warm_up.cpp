#include "runlink/places/warm_up.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::places
{

std::string_view to_string(cold_reason it)
{
    switch (it)
    {
    case cold_reason::told: return "told";
    case cold_reason::readmitted: return "readmitted";
    case cold_reason::unreachable: return "unreachable";
    }
    return "unknown";
}

const cold_limit* warm_up::limit_of(const service_id& service) const
{
    const auto found = limits_.find(service);
    return found == limits_.end() || found->second.requests_per_s <= 0 ? nullptr : &found->second;
}

std::size_t warm_up::sender_count() const
{
    return options_.senders == 0 ? senders_.size() : std::min(options_.senders, senders_.size());
}

bool warm_up::is_sender(const endpoint_id& id) const
{
    return settled_ && senders_.is_sender(id, sender_count());
}

duration warm_up::interval(const record& it) const
{
    constexpr double us_per_s = 1e6;
    const auto rate = it.requests_per_s * options_.rate_fraction / static_cast<double>(sender_count());
    return duration{static_cast<duration::rep>(us_per_s / rate)};
}

warm_up::record& warm_up::begin(time_point now, const endpoint_id& id, const cold_limit& limit)
{
    auto& it = records_[id];
    if (is_cold(now, it))
        return it;
    it.requests_per_s = limit.requests_per_s;
    // All senders learn of the cold endpoint at about the same time, so their first sends are spread.
    const auto phase = core::stable_hash(self_.str(), core::stable_hash(id.str())) %
                       static_cast<std::uint64_t>(interval(it).count());
    it.next_send = now + duration{static_cast<duration::rep>(phase)};
    return it;
}

bool warm_up::told(time_point now, const endpoint_id& id, const service_id& service, milliseconds cold_for)
{
    const auto* limit = limit_of(service);
    if (limit == nullptr)
        return false;
    const bool was_cold = is_cold(now, id);
    if (cold_for.count() > 0)
        begin(now, id, *limit).reported_cold_until = now + cold_for;
    else if (was_cold)
        records_.at(id).reported_cold_until = now;
    return !was_cold && is_cold(now, id);
}

bool warm_up::suspect(time_point now, const endpoint_id& id, const service_id& service, cold_reason why)
{
    const auto* limit = limit_of(service);
    if (limit == nullptr)
        return false;
    const bool was_cold = is_cold(now, id);
    const bool is_unreachable = why == cold_reason::unreachable;
    const auto delay = is_unreachable ? options_.store_entry_delay : milliseconds{0};
    auto& it = begin(now, id, *limit);
    auto& until = is_unreachable ? it.unreachable_cold_until : it.assumed_cold_until;
    until = std::max(until, now + delay + limit->cold_time);
    return !was_cold;
}

void warm_up::reached(const endpoint_id& id)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.unreachable_cold_until = time_point::min();
}

void warm_up::sent(time_point now, const endpoint_id& id)
{
    const auto found = records_.find(id);
    if (found != records_.end())
        found->second.next_send = now + interval(found->second);
}

bool warm_up::is_cold(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && is_cold(now, found->second);
}

bool warm_up::may_send(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    if (found == records_.end() || !is_cold(now, found->second))
        return true;
    return now >= found->second.next_send && is_sender(id);
}

time_point warm_up::cold_until(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? time_point::min() : cold_until(found->second);
}

time_point warm_up::next_send(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    if (found == records_.end() || !is_cold(now, found->second) || !settled_)
        return now; // the list of instances will be complete shortly
    if (!is_sender(id))
        return cold_until(id);
    return std::max(now, found->second.next_send);
}

std::size_t warm_up::cold_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(records_.begin(), records_.end(),
                                                  [&](const auto& it) { return is_cold(now, it.second); }));
}

void warm_up::expire(time_point now)
{
    std::erase_if(records_, [&](const auto& it) { return !is_cold(now, it.second); });
    senders_.forget_if([&](const endpoint_id& id) { return !records_.contains(id); });
}

} // namespace runlink::places
