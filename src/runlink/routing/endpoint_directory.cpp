#include "runlink/routing/endpoint_directory.hpp"

#include <algorithm>
#include <set>

namespace runlink::routing
{

endpoint_directory::change endpoint_directory::put(const endpoint_entry& it)
{
    const auto found = records_.find(it.id);
    if (found == records_.end())
    {
        records_.emplace(it.id, record{it});
        return it.leaving ? change::leaving : change::added;
    }
    auto& old = found->second;
    const bool was_leaving = old.entry.leaving;
    const bool returned = old.usable_until != time_point::max();
    const bool same = old.entry == it;
    old.entry = it;
    old.entry.leaving = it.leaving || was_leaving;
    old.usable_until = time_point::max();
    if (old.entry.leaving && !was_leaving)
        return change::leaving;
    return same && !returned ? change::none : change::updated;
}

endpoint_directory::change endpoint_directory::remove(time_point now, const endpoint_id& id)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return change::none;
    auto& it = found->second;
    const bool in_shadow =
        store_returned_at_ != time_point::min() && now - store_returned_at_ < options_.outage_shadow;
    if (!in_shadow || it.entry.leaving)
    {
        records_.erase(found);
        return change::removed;
    }
    it.usable_until = std::min(it.usable_until, now + options_.vanished_grace);
    return change::none;
}

void endpoint_directory::replace(time_point now, const std::vector<endpoint_entry>& all)
{
    std::set<endpoint_id> listed;
    for (const auto& it : all)
    {
        listed.insert(it.id);
        put(it);
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, it] : records_)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const auto& id : missing)
        remove(now, id);
}

void endpoint_directory::forget_vanished(time_point now)
{
    std::erase_if(records_, [&](const auto& it) { return now >= it.second.usable_until; });
}

std::vector<const endpoint_entry*> endpoint_directory::usable(time_point now, const service_id& service) const
{
    std::vector<const endpoint_entry*> out;
    for (const auto& [id, it] : records_)
        if (it.entry.service == service && is_usable(now, it))
            out.push_back(&it.entry);
    return out;
}

const endpoint_entry* endpoint_directory::find(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.entry;
}

bool endpoint_directory::may_get_work(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && is_usable(now, found->second);
}

} // namespace runlink::routing
