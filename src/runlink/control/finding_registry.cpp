#include "runlink/control/finding_registry.hpp"

#include <algorithm>
#include <utility>

namespace runlink::control
{

finding_registry::finding_registry(finding_options options, writer write)
    : options_{options}, write_{std::move(write)}
{
}

void finding_registry::schedule(core::time_point at)
{
    next_call_ = std::min(next_call_.value_or(at), at);
}

bool finding_registry::found(core::time_point now, crashes::element_fingerprint it)
{
    if (listed_.contains(it))
        return true;
    if (listed_.size() + to_put_.size() >= options_.max_listed)
        return false;
    to_remove_.erase(it);
    to_put_.insert(it);
    schedule(now);
    return true;
}

void finding_registry::expired(core::time_point now, crashes::element_fingerprint it)
{
    to_put_.erase(it);
    if (!listed_.contains(it))
        return;
    to_remove_.insert(it);
    schedule(now);
}

void finding_registry::listed(crashes::element_fingerprint it)
{
    listed_.insert(it);
    to_put_.erase(it);
}

void finding_registry::tick(core::time_point now)
{
    if (!next_call_ || now < *next_call_)
        return;
    next_call_.reset();
    if (is_writing_)
        return;
    finding_batch batch;
    for (const auto it : to_put_)
        if (batch.put.size() < options_.max_per_call)
            batch.put.push_back(it);
    for (const auto it : to_remove_)
        if (batch.put.size() + batch.removed.size() < options_.max_per_call)
            batch.removed.push_back(it);
    if (batch.put.empty() && batch.removed.empty())
        return;
    is_writing_ = true;
    write_(batch, [this, now, batch](bool is_done) { on_done(now, batch, is_done); });
}

void finding_registry::on_done(core::time_point now, const finding_batch& batch, bool is_done)
{
    is_writing_ = false;
    if (is_done)
    {
        for (const auto it : batch.put)
            listed(it);
        for (const auto it : batch.removed)
        {
            unlisted(it);
            to_remove_.erase(it);
        }
    }
    if (!to_put_.empty() || !to_remove_.empty())
        schedule(is_done ? now : now + options_.retry_after);
}

} // namespace runlink::control
