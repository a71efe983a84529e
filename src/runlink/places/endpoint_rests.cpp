#include "runlink/places/endpoint_rests.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::places
{

bool endpoint_rests::on_rest_requested(time_point now, const endpoint_id& id, duration rest)
{
    if (rest <= duration{})
        return false;
    const bool was_resting = is_resting(now, id);
    auto& it = records_[id];
    it.rest_until = std::max(it.rest_until, now + rest);
    const auto range = static_cast<std::uint64_t>(std::max<duration::rep>(interval().count(), 1));
    const auto phase = core::stable_hash(self_.str(), core::stable_hash(id.str())) % range;
    it.next_send = it.rest_until + duration{static_cast<duration::rep>(phase)};
    return !was_resting;
}

void endpoint_rests::sent(time_point now, const endpoint_id& id)
{
    if (const auto found = records_.find(id); found != records_.end())
        found->second.next_send = std::max(found->second.next_send, now + interval());
}

void endpoint_rests::on_accepted(const endpoint_id& id, time_point sent_at)
{
    // The answer to a request that was sent before the rest was over does not show that it is over.
    const auto found = records_.find(id);
    if (found != records_.end() && sent_at >= found->second.rest_until)
        records_.erase(found);
}

bool endpoint_rests::is_resting(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && now < found->second.rest_until;
}

time_point endpoint_rests::next_send(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? now : std::max(now, found->second.next_send);
}

std::size_t endpoint_rests::count_resting(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [&](const auto& it) { return now < it.second.rest_until; }));
}

void endpoint_rests::expire(time_point now)
{
    std::erase_if(records_,
                  [&](const auto& it) { return now >= it.second.next_send + options_.recovery_timeout; });
}

} // namespace runlink::places
