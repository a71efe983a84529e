#include "runlink/control/member_registry.hpp"

#include <utility>

namespace runlink::control
{

member_registry::member_registry(registry_options options, writer write)
    : options_{options}, write_{std::move(write)}
{
}

void member_registry::listed(const peer_entry& it)
{
    listed_[it.id] = it;
    const auto waiting = to_put_.find(it.id);
    if (waiting != to_put_.end() && waiting->second == it)
        to_put_.erase(waiting);
}

void member_registry::unlisted(const core::instance_id& id)
{
    listed_.erase(id);
    to_remove_.erase(id);
}

std::vector<core::instance_id> member_registry::listed_ids() const
{
    std::vector<core::instance_id> out;
    for (const auto& [id, it] : listed_)
        out.push_back(id);
    return out;
}

void member_registry::announce(core::time_point now, const peer_entry& it)
{
    to_remove_.erase(it.id);
    const auto found = listed_.find(it.id);
    if (found != listed_.end() && found->second == it)
        return;
    to_put_[it.id] = it;
    schedule(now + options_.gather_delay);
}

void member_registry::withdraw(core::time_point now, const core::instance_id& id)
{
    to_put_.erase(id);
    if (!listed_.contains(id))
        return;
    to_remove_.insert(id);
    schedule(now + options_.gather_delay);
}

void member_registry::schedule(core::time_point at)
{
    if (!next_call_)
        next_call_ = at;
}

void member_registry::tick(core::time_point now)
{
    if (!next_call_ || now < *next_call_)
        return;
    next_call_.reset();
    while (!to_put_.empty() || !to_remove_.empty())
        send(now);
}

void member_registry::send(core::time_point now)
{
    registry_batch batch;
    while (!to_put_.empty() && batch.put.size() < options_.max_per_call)
        batch.put.push_back(to_put_.extract(to_put_.begin()).mapped());
    while (!to_remove_.empty() && batch.put.size() + batch.removed.size() < options_.max_per_call)
        batch.removed.push_back(to_remove_.extract(to_remove_.begin()).value());
    write_(batch, [this, now, batch](registry_outcome it) { on_done(now, batch, it); });
}

void member_registry::on_done(core::time_point sent_at, const registry_batch& batch, registry_outcome outcome)
{
    if (outcome == registry_outcome::done)
    {
        for (const auto& it : batch.put)
            listed(it);
        for (const auto& it : batch.removed)
            unlisted(it);
        return;
    }
    // A call without an answer may have been applied. Repeating it is harmless.
    for (const auto& it : batch.put)
        to_put_.emplace(it.id, it);
    for (const auto& it : batch.removed)
        if (!to_put_.contains(it))
            to_remove_.insert(it);
    schedule(sent_at + options_.retry_after);
}

} // namespace runlink::control
