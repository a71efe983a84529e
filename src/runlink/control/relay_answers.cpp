// The part of the relay that records changes and replies to requests.

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "runlink/control/relay.hpp"

namespace runlink::control
{

void relay::remember(const kv_event& it)
{
    history_.remember(it);
}

void relay::remember_all(time_point now, const std::vector<kv_item>& items,
                         const core::store_revision& revision)
{
    history_.reset(items, revision);
    history_.reached(revision);
    if (!joiners_.empty())
        answer_joiners_at_ = now;
}

sync_reply relay::make_reply(time_point now, const core::store_revision& since, bool is_joining) const
{
    const auto view = hooks_.view(now);
    sync_reply out;
    out.sender = self_;
    out.configuration_version = view.configuration_version;
    out.is_recovering = view.is_recovering;
    out.store_revision = view.store_revision;
    out.since = since;
    out.complete_since = history_.complete_since();
    if (view.proof_age)
        out.proof_age = std::chrono::ceil<milliseconds>(*view.proof_age);
    if (!is_joining && !history_.covers(since))
    {
        out.history_gone = true;
        return out;
    }
    auto part = history_.changes_after(since);
    out.events = std::move(part.events);
    out.omitted = std::move(part.omitted);
    out.has_more = part.has_more;
    if (part.has_more)
        out.store_revision = part.revision;
    return out;
}

void relay::on_request(time_point now, const sync_request& it)
{
    const auto& from = it.sender.id;
    if (it.sender.failure_domain == domain_)
        last_request_at_[from] = now;
    unanswered_.erase(from);
    const bool has_view = !hooks_.view(now).store_revision.is_none();
    if (it.is_joining)
        return on_join_request(now, it, has_view);
    if (!has_view)
        return;
    subscribers_[from] = {now, it.store_revision};
    auto out = make_reply(now, it.store_revision, false);
    out.number = it.number;
    hooks_.reply({from}, out);
}

void relay::on_join_request(time_point now, const sync_request& it, bool has_view)
{
    const auto& from = it.sender.id;
    // Without a view, the requests wait until it arrives; if all instances start at once, this is soon.
    std::size_t queued = 0;
    for (auto& [since, all] : joiners_)
    {
        if (since != it.store_revision)
            std::erase(all, from); // replaced by this request
        queued += all.size();
    }
    auto& waiting = joiners_[it.store_revision];
    if (std::find(waiting.begin(), waiting.end(), from) == waiting.end())
        waiting.push_back(from); // a repeated request keeps its place
    if (queued >= options_.min_queue_to_tell)
    {
        sync_reply out;
        out.sender = self_;
        out.since = it.store_revision;
        out.is_queued = true;
        hooks_.reply({from}, out);
    }
    if (has_view)
        answer_joiners_at_ = answer_joiners_at_.value_or(now + options_.joiners_delay);
}

std::size_t relay::joiner_bytes() const
{
    if (link_mbps_ == 0)
        return std::numeric_limits<std::size_t>::max();
    constexpr double bytes_per_ms_of_mbps = 125;
    return static_cast<std::size_t>(link_mbps_ * bytes_per_ms_of_mbps * options_.joiners_link_share *
                                    static_cast<double>(options_.joiners_delay.count()));
}

std::size_t relay::compressed_size(const sync_reply& it) const
{
    std::size_t bytes = 0;
    for (const auto& e : it.events)
        bytes += e.item.key.size() + e.item.value.size();
    return std::max<std::size_t>(bytes / options_.compression_ratio, 1);
}

void relay::answer_joiners(time_point now)
{
    answer_joiners_at_.reset();
    auto left = joiner_bytes();
    bool is_first = true;
    for (auto& [since, waiting] : joiners_)
    {
        if (waiting.empty())
            continue;
        const auto out = make_reply(now, since, true);
        const auto size = compressed_size(out);
        // A part that is larger than the link carries in this time is sent to one instance.
        const auto n = std::min(waiting.size(), std::max<std::size_t>(left / size, is_first ? 1 : 0));
        if (n == 0)
            break;
        is_first = false;
        const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(n);
        const std::vector<instance_id> to{waiting.begin(), end};
        waiting.erase(waiting.begin(), end);
        left -= std::min(left, n * size);
        hooks_.reply(to, out);
    }
    std::erase_if(joiners_, [](const auto& it) { return it.second.empty(); });
    if (!joiners_.empty())
        answer_joiners_at_ = now + options_.joiners_delay;
}

void relay::publish(time_point now, const core::store_revision& revision)
{
    history_.reached(revision);
    std::erase_if(subscribers_,
                  [&](const auto& it) { return now - it.second.asked > options_.subscription_lifetime; });
    std::map<core::store_revision, std::vector<instance_id>>
        behind; // most subscribers have the same revision
    for (const auto& [id, it] : subscribers_)
        if (it.revision < revision)
            behind[it.revision].push_back(id);
    for (const auto& [since, all] : behind)
    {
        const auto out = make_reply(now, since, false);
        hooks_.reply(all, out);
        for (const auto& id : all)
            subscribers_.at(id).revision =
                out.store_revision; // the remaining changes are sent with the next reply
    }
}

} // namespace runlink::control
