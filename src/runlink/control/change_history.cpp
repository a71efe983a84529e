#include "runlink/control/change_history.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace runlink::control
{

void change_history::reset(const std::vector<kv_item>& items, const core::store_revision& revision)
{
    changes_.clear();
    revisions_.clear();
    deletions_.clear();
    complete_since_ = revision;
    for (const auto& it : items)
        put({it, false});
}

void change_history::remember(const kv_event& it)
{
    put(it);
    drop_old_deletions();
}

void change_history::put(const kv_event& it)
{
    // Only the latest change of a key is kept, so that frequent changes of the configuration don't fill the
    // memory.
    const auto found = revisions_.find(it.item.key);
    if (found != revisions_.end())
    {
        const change_key old{found->second, it.item.key};
        deletions_.erase(old);
        changes_.erase(old);
    }
    revisions_[it.item.key] = it.item.revision;
    const change_key key{it.item.revision, it.item.key};
    if (it.is_deleted)
        deletions_.insert(key);
    changes_[key] = it;
}

std::size_t change_history::max_deletions() const
{
    return std::max(options_.min_deletions, changes_.size() - deletions_.size());
}

void change_history::drop_old_deletions()
{
    while (deletions_.size() > max_deletions())
    {
        const auto oldest = deletions_.begin();
        complete_since_ = std::max(complete_since_, oldest->first);
        revisions_.erase(oldest->second);
        changes_.erase(*oldest);
        deletions_.erase(oldest);
    }
}

void change_history::reached(const core::store_revision& it)
{
    if (it.era > reached_.era)
        era_ends_[reached_.era] = reached_.number;
    reached_ = std::max(reached_, it);
}

bool change_history::covers(const core::store_revision& since) const
{
    if (since < complete_since_)
        return false;
    const auto end = era_ends_.find(since.era);
    return end == era_ends_.end() ? since.era >= reached_.era : since.number <= end->second;
}

const kv_event* change_history::find(const std::string& key) const
{
    const auto found = revisions_.find(key);
    return found == revisions_.end() ? nullptr : &changes_.at({found->second, key});
}

const kv_item* change_history::item(const std::string& key) const
{
    const auto* it = find(key);
    return it == nullptr || it->is_deleted ? nullptr : &it->item;
}

bool change_history::has_item(const std::string& key) const
{
    return item(key) != nullptr;
}

std::uint64_t change_history::last_of_copy(const std::vector<kv_item>& listed) const
{
    std::uint64_t out = 0;
    for (const auto& it : listed)
    {
        const auto* known = find(it.key);
        const bool is_same = known != nullptr && !known->is_deleted && known->item.value == it.value &&
                             known->item.revision.number == it.revision.number;
        if (is_same && known->item.revision.era < it.revision.era)
            out = std::max(out, it.revision.number);
    }
    return out;
}

std::vector<kv_event>
change_history::difference(const std::vector<kv_item>& listed, const core::store_revision& revision,
                           const std::function<bool(const std::string&)>& is_versioned) const
{
    const auto last_of_copy = this->last_of_copy(listed);
    std::vector<kv_event> out;
    std::unordered_set<std::string> keys;
    for (const auto& it : listed)
    {
        keys.insert(it.key);
        const auto* known = find(it.key);
        const bool is_of_copy = known != nullptr && it.revision.number <= last_of_copy;
        const bool is_new = known == nullptr || known->is_deleted || known->item.value != it.value;
        if (is_of_copy && known->is_deleted && !known->is_from_copy)
            continue; // deleted since; it counts again only once it is written again
        if (is_new)
            out.push_back({it, false, is_of_copy});
        else if (known->item.revision.number != it.revision.number || is_versioned(it.key))
            out.push_back({it});
    }
    for (const auto& [key, it] : changes_)
        if (!it.is_deleted && !keys.contains(it.item.key))
            out.push_back({{it.item.key, {}, revision}, true, true});
    return out;
}

std::map<change_history::change_key, kv_event>
change_history::carried_over(const core::store_revision& since) const
{
    std::map<change_key, kv_event> out;
    if (since.era != reached_.era)
        return out;
    for (const auto& [era, end] : era_ends_)
    {
        const core::store_revision after{era, since.number};
        const core::store_revision next_era{core::store_era{era.value() + 1}, 0};
        const auto last = changes_.lower_bound({next_era, {}});
        for (auto it = changes_.lower_bound({after.next(), {}}); it != last; ++it)
        {
            auto event = it->second;
            event.item.revision.era = reached_.era;
            out.emplace(change_key{event.item.revision, event.item.key}, event);
        }
    }
    return out;
}

history_part change_history::changes_after(const core::store_revision& since) const
{
    const auto first = changes_.lower_bound({since.next(), {}});
    auto all = carried_over(since);
    if (all.empty())
        return part_of(since, first, changes_.end());
    all.insert(first, changes_.end());
    return part_of(since, all.begin(), all.end());
}

history_part change_history::part_of(const core::store_revision& since, change_iterator it,
                                     change_iterator end) const
{
    history_part out;
    out.revision = since;
    std::size_t bytes = 0;
    for (; it != end; ++it)
    {
        const auto& item = it->second.item;
        const bool is_large = item.value.size() > options_.max_value_bytes;
        bytes += item.key.size() + (is_large ? 0 : item.value.size());
        // The changes of one transaction share a revision and are never split between parts.
        if (bytes > options_.max_part_bytes && !out.events.empty() && item.revision != out.revision)
        {
            out.has_more = true;
            return out;
        }
        out.revision = item.revision;
        if (is_large)
            out.omitted.push_back({item.key, item.revision});
        else
            out.events.push_back(it->second);
    }
    return out;
}

} // namespace runlink::control
