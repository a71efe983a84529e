#include "runlink/control/change_history.hpp"

#include <algorithm>
#include <utility>

namespace runlink::control
{

void change_history::reset(const std::vector<kv_item>& items, std::uint64_t revision)
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
    revisions_[it.item.key] = it.item.revision.number;
    const change_key key{it.item.revision.number, it.item.key};
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

history_part change_history::changes_after(std::uint64_t since) const
{
    history_part out;
    out.revision = since;
    std::size_t bytes = 0;
    for (auto it = changes_.lower_bound({since + 1, {}}); it != changes_.end(); ++it)
    {
        const auto& item = it->second.item;
        const bool is_large = item.value.size() > options_.max_value_bytes;
        bytes += item.key.size() + (is_large ? 0 : item.value.size());
        // The changes of one transaction share a revision and are never split between parts.
        if (bytes > options_.max_part_bytes && !out.events.empty() && item.revision.number != out.revision)
        {
            out.has_more = true;
            return out;
        }
        out.revision = item.revision.number;
        if (is_large)
            out.omitted.push_back(item.key);
        else
            out.events.push_back(it->second);
    }
    return out;
}

} // namespace runlink::control
