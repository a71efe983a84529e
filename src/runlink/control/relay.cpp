#include "runlink/control/relay.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::control
{

relay::relay(relay_options options, instance_id self, core::failure_domain_id domain, relay_hooks hooks)
    : options_{options}, self_{std::move(self)}, domain_{std::move(domain)}, hooks_{std::move(hooks)}
{
}

relay_options relay_options::within(milliseconds apply)
{
    relay_options out;
    const auto unit = apply / 10;
    out.ask_interval = unit * 2;
    out.answer_timeout = unit;
    out.oldest_proof = unit * 9 / 2;
    return out;
}

void relay::start(time_point now)
{
    next_ = now + options_.first_choice;
}

// Members

void relay::put_peer(const instance_id& id, const core::failure_domain_id& domain)
{
    if (id != self_)
        peers_[id] = domain;
}

void relay::remove_peer(const instance_id& id)
{
    peers_.erase(id);
    subscribers_.erase(id);
}

std::vector<instance_id> relay::relays() const
{
    std::vector<std::pair<std::uint64_t, instance_id>> all{
        {core::stable_hash(self_.str(), core::stable_hash(domain_.str())), self_}};
    for (const auto& [id, domain] : peers_)
        if (domain == domain_)
            all.emplace_back(core::stable_hash(id.str(), core::stable_hash(domain_.str())), id);
    std::sort(all.begin(), all.end());
    std::vector<instance_id> out;
    for (const auto& [weight, id] : all)
        if (out.size() < options_.relays_per_domain)
            out.push_back(id);
    return out;
}

bool relay::follows_store() const
{
    if (!is_used())
        return true;
    const auto all = relays();
    return std::find(all.begin(), all.end(), self_) != all.end();
}

// Answering

void relay::remember(const kv_event& it)
{
    events_.push_back(it);
    while (events_.size() > options_.kept_events)
    {
        complete_since_ = std::max(complete_since_, events_.front().item.revision);
        events_.pop_front();
    }
}

void relay::forget_before(std::uint64_t revision)
{
    events_.clear();
    complete_since_ = revision;
}

sync_reply relay::make_reply(time_point now, std::uint64_t since) const
{
    const auto view = hooks_.view(now);
    sync_reply out;
    out.sender = self_;
    out.configuration_revision = view.configuration_revision;
    out.store_revision = view.store_revision;
    out.since = since;
    if (view.proof_age)
        out.proof_age = std::chrono::ceil<milliseconds>(*view.proof_age);
    if (since < complete_since_)
    {
        out.history_gone = true;
        return out;
    }
    std::size_t bytes = 0;
    for (const auto& it : events_)
    {
        if (it.item.revision <= since)
            continue;
        const bool is_large = it.item.value.size() > options_.largest_value;
        bytes += it.item.key.size() + (is_large ? 0 : it.item.value.size());
        if (bytes > options_.largest_reply && !out.events.empty())
        {
            out.has_more = true;
            out.store_revision = out.events.back().item.revision;
            break;
        }
        if (is_large)
            out.omitted.push_back(it.item.key);
        else
            out.events.push_back(it);
    }
    return out;
}

void relay::on_request(time_point now, const sync_request& it)
{
    subscribers_[it.sender] = {now, it.store_revision};
    auto out = make_reply(now, it.store_revision);
    out.number = it.number;
    hooks_.reply(it.sender, out);
}

void relay::publish(time_point now, std::uint64_t revision)
{
    std::erase_if(subscribers_,
                  [&](const auto& it) { return now - it.second.asked > options_.subscription; });
    for (auto& [id, it] : subscribers_)
    {
        if (it.revision >= revision)
            continue;
        const auto out = make_reply(now, it.revision);
        hooks_.reply(id, out);
        it.revision = out.store_revision; // the rest goes with the answer to the next question
    }
}

// Asking

void relay::set_direct(time_point now, bool direct)
{
    if (std::exchange(direct_, direct) != direct)
        hooks_.set_direct(now, direct);
}

void relay::tick(time_point now)
{
    if (!next_ || now < *next_)
        return;
    if (asked_at_)
        return on_no_answer(now);
    ask(now);
}

void relay::ask(time_point now)
{
    next_ = now + options_.ask_interval;
    if (follows_store())
        return set_direct(now, true);
    const auto all = relays();
    sync_request out;
    out.sender = self_;
    out.number = ++number_;
    out.store_revision = hooks_.view(now).store_revision;
    asked_at_ = now;
    next_ = now + options_.answer_timeout;
    hooks_.ask(all[choice_ % all.size()], out);
}

void relay::on_no_answer(time_point now)
{
    asked_at_.reset();
    ++choice_;
    if (++misses_ < options_.relays_per_domain)
        return ask(now);
    // No relay answers: the store is asked directly until one does.
    misses_ = 0;
    set_direct(now, true);
    next_ = now + options_.ask_interval;
}

void relay::on_reply(time_point now, const sync_reply& it)
{
    const bool is_answer = asked_at_ && it.number == number_;
    const auto asked_at = asked_at_;
    const bool is_whole = take_events(now, it);
    if (is_whole && it.has_more && !is_answer && !asked_at_)
        next_ = now; // ask for the rest
    if (!is_whole || !is_answer)
        return;
    asked_at_.reset();
    const bool has_proof = it.proof_age && *it.proof_age <= options_.oldest_proof;
    if (has_proof && it.configuration_revision != hooks_.view(now).configuration_revision)
    {
        // One of the two has yet to read the newest configuration.
        next_ = now + options_.answer_timeout;
        return hooks_.fetch(now, {});
    }
    if (!has_proof)
    {
        // The relay itself has lost the store.
        asked_at_ = asked_at;
        return on_no_answer(now);
    }
    misses_ = 0;
    next_ = it.has_more ? now : now + options_.ask_interval;
    hooks_.proven(*asked_at - *it.proof_age);
    set_direct(now, false);
}

bool relay::take_events(time_point now, const sync_reply& it)
{
    const auto own = hooks_.view(now).store_revision;
    if (it.history_gone)
    {
        if (it.number != 0 && it.store_revision > own)
            hooks_.list_again();
        return it.number != 0 && it.store_revision <= own;
    }
    if (it.since > own)
        return false; // there is a gap before these
    std::vector<kv_event> fresh;
    for (const auto& e : it.events)
        if (e.item.revision > own)
            fresh.push_back(e);
    if (it.store_revision > own)
        hooks_.apply(now, fresh, it.store_revision);
    if (!it.omitted.empty())
        hooks_.fetch(now, it.omitted);
    return true;
}

} // namespace runlink::control
