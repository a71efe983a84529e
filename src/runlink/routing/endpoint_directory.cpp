#include "runlink/routing/endpoint_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace runlink::routing
{
namespace
{

/// Number of removed names whose latest incarnation is always remembered, beside as many as there are
/// endpoints: a roll-out replaces a share of all within seconds. Delayed updates of an earlier incarnation
/// arrive within seconds of a start.
constexpr std::size_t min_removed_names = 1024;

} // namespace

endpoint_id endpoint_id_of(const endpoint_name& name, endpoint_incarnation incarnation)
{
    if (incarnation == endpoint_incarnation{})
        return endpoint_id{name.str()};
    auto out = name.str();
    out += '@';
    out += std::to_string(incarnation.value());
    return endpoint_id{std::move(out)};
}

endpoint_directory::change endpoint_directory::put(const endpoint_entry& it)
{
    auto& latest = incarnations_[it.name];
    if (it.incarnation < latest)
        return change::outdated;
    latest = it.incarnation;
    const auto found = records_.find(it.id);
    if (found == records_.end())
    {
        const bool replaced_incarnation = drop(it.name) == change::removed;
        auto& added = records_.emplace(it.id, record{it}).first->second;
        index_.add(added.entry);
        added.is_listed_as_leaving = it.leaving;
        added.entry.leaving = it.leaving || leaving_marks_.contains(it.id);
        current_ids_[it.name] = it.id;
        if (added.entry.leaving)
            return change::leaving;
        return replaced_incarnation ? change::restarted : change::added;
    }
    auto& old = found->second;
    const bool was_leaving = old.entry.leaving;
    const bool returned = vanishing_.erase(it.id) > 0;
    auto entry = it;
    entry.leaving = it.leaving || was_leaving;
    const bool same = old.entry == entry;
    if (!same)
    {
        index_.remove(old.entry);
        old.entry = std::move(entry);
        index_.add(old.entry);
    }
    old.is_listed_as_leaving = old.is_listed_as_leaving || it.leaving;
    if (old.entry.leaving && !was_leaving)
        return change::leaving;
    return same && !returned ? change::none : change::updated;
}

endpoint_directory::change endpoint_directory::remove(time_point now, const endpoint_name& name)
{
    const auto life = current_ids_.find(name);
    if (life == current_ids_.end())
        return change::none;
    auto& it = records_.at(life->second);
    const bool is_after_outage =
        store_returned_at_ != time_point::min() && now - store_returned_at_ < options_.store_recovery_window;
    if (!is_after_outage || it.entry.leaving)
        return drop(name);
    vanishing_.try_emplace(it.entry.id, now + options_.vanished_grace);
    return change::none;
}

endpoint_directory::change endpoint_directory::drop(const endpoint_name& name)
{
    const auto life = current_ids_.find(name);
    if (life == current_ids_.end())
        return change::none;
    index_.remove(records_.at(life->second).entry);
    records_.erase(life->second);
    vanishing_.erase(life->second);
    current_ids_.erase(life);
    return change::removed;
}

void endpoint_directory::replace(time_point now, const std::vector<endpoint_entry>& all)
{
    std::set<endpoint_name> listed;
    for (const auto& it : all)
    {
        listed.insert(it.name);
        put(it);
    }
    std::vector<endpoint_name> missing;
    for (const auto& [name, id] : current_ids_)
        if (!listed.contains(name))
            missing.push_back(name);
    for (const auto& name : missing)
        remove(now, name);
}

bool endpoint_directory::mark_leaving(time_point since, const endpoint_id& id)
{
    if (!leaving_marks_.try_emplace(id, since).second)
        return false;
    if (const auto found = records_.find(id); found != records_.end())
        found->second.entry.leaving = true;
    return true;
}

bool endpoint_directory::is_leaving(const endpoint_id& id) const
{
    const auto* it = find(id);
    return leaving_marks_.contains(id) || (it != nullptr && it->leaving);
}

bool endpoint_directory::has_vanished(time_point now, const endpoint_id& id) const
{
    if (vanishing_.empty())
        return false;
    const auto found = vanishing_.find(id);
    return found != vanishing_.end() && now >= found->second;
}

bool endpoint_directory::is_last_resort(time_point now, const record& it) const
{
    const auto mark = leaving_marks_.find(it.entry.id);
    return mark != leaving_marks_.end() && !it.is_listed_as_leaving && !has_vanished(now, it.entry.id) &&
           now < mark->second + options_.last_resort_time;
}

bool endpoint_directory::is_last_resort(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && is_last_resort(now, found->second);
}

std::vector<const endpoint_entry*> endpoint_directory::last_resorts(time_point now,
                                                                    const service_id& service) const
{
    std::vector<const endpoint_entry*> out;
    if (leaving_marks_.empty())
        return out;
    for (const auto& [id, it] : records_)
        if (it.entry.service == service && is_last_resort(now, it))
            out.push_back(&it.entry);
    return out;
}

void endpoint_directory::forget_old_leaving_marks(time_point now)
{
    std::erase_if(leaving_marks_, [&](const auto& it)
                  { return !records_.contains(it.first) && now - it.second >= options_.leaving_mark_ttl; });
}

void endpoint_directory::forget_vanished(time_point now)
{
    std::vector<endpoint_name> over;
    for (const auto& [id, until] : vanishing_)
        if (now >= until)
            over.push_back(records_.at(id).entry.name);
    for (const auto& name : over)
        drop(name);
    forget_old_incarnations();
    forget_old_leaving_marks(now);
}

void endpoint_directory::forget_old_incarnations()
{
    const auto max_removed = std::max(min_removed_names, current_ids_.size());
    if (incarnations_.size() <= current_ids_.size() + max_removed)
        return;
    std::erase_if(incarnations_, [&](const auto& it) { return !current_ids_.contains(it.first); });
}

std::vector<const endpoint_entry*> endpoint_directory::usable(time_point now, const service_id& service) const
{
    std::vector<const endpoint_entry*> out;
    const auto* group = index_.group(service);
    if (group == nullptr)
        return out;
    out.reserve(group->all.size());
    for (const auto* it : group->all)
        if (is_usable(now, *it))
            out.push_back(it);
    return out;
}

std::vector<const endpoint_entry*> endpoint_directory::of_domain(const failure_domain_id& domain) const
{
    std::vector<const endpoint_entry*> out;
    for (const auto& [id, it] : records_)
        if (it.entry.failure_domain == domain)
            out.push_back(&it.entry);
    return out;
}

const endpoint_entry* endpoint_directory::find(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second.entry;
}

const endpoint_entry*
endpoint_directory::find_if(const std::function<bool(const endpoint_entry&)>& fits) const
{
    for (const auto& [id, it] : records_)
        if (fits(it.entry))
            return &it.entry;
    return nullptr;
}

bool endpoint_directory::may_get_work(time_point now, const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && is_usable(now, found->second.entry);
}

} // namespace runlink::routing
