// The part of the relay that records changes and replies to requests.

#include <chrono>
#include <utility>

#include "runlink/control/relay.hpp"

namespace runlink::control
{

void relay::remember(const kv_event& it)
{
    history_.remember(it);
}

void relay::remember_all(time_point now, const std::vector<kv_item>& items, std::uint64_t revision)
{
    history_.reset(items, revision);
    if (!joiners_.empty())
        answer_joiners_at_ = now;
}

sync_reply relay::make_reply(time_point now, std::uint64_t since, bool is_joining) const
{
    const auto view = hooks_.view(now);
    sync_reply out;
    out.sender = self_;
    out.configuration_revision = view.configuration_revision;
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
    const bool has_view = hooks_.view(now).store_revision != 0;
    if (it.is_joining)
    {
        // Without a view, the requests wait until it arrives; if all instances start at once, this is soon.
        for (auto& [group, all] : joiners_)
            std::erase(all, from); // replaced by this request
        joiners_[joiner_group{it.store_revision, it.number}].push_back(from);
        if (has_view)
            answer_joiners_at_ = answer_joiners_at_.value_or(now + options_.joiners_delay);
        return;
    }
    if (!has_view)
        return;
    subscribers_[from] = {now, it.store_revision};
    auto out = make_reply(now, it.store_revision, false);
    out.number = it.number;
    hooks_.reply({from}, out);
}

void relay::answer_joiners(time_point now)
{
    answer_joiners_at_.reset();
    for (const auto& [group, all] : std::exchange(joiners_, {}))
    {
        if (all.empty())
            continue;
        auto out = make_reply(now, group.since, true);
        out.number = group.number;
        hooks_.reply(all, out);
    }
}

void relay::publish(time_point now, std::uint64_t revision)
{
    std::erase_if(subscribers_,
                  [&](const auto& it) { return now - it.second.asked > options_.subscription_lifetime; });
    std::map<std::uint64_t, std::vector<instance_id>> behind; // most subscribers have the same revision
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
