#include "runlink/control/relay.hpp"

#include <algorithm>
#include <bit>
#include <chrono>
#include <set>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::control
{
namespace
{

/// After so many rounds the own failure domain's relays are tried again before those of others.
constexpr std::uint64_t rounds_to_prefer_near = 16;

} // namespace

relay::relay(relay_options options, instance_id self, core::failure_domain_id domain, std::uint32_t link_mbps,
             relay_hooks hooks)
    : options_{options}, self_{std::move(self)}, domain_{std::move(domain)}, hooks_{std::move(hooks)},
      link_mbps_{link_mbps}, history_{options.history}
{
}

relay_options relay_options::within(milliseconds apply)
{
    relay_options out;
    const auto unit = apply / 10;
    out.ask_interval = unit * 2;
    out.answer_timeout = unit;
    out.gather = unit;
    out.oldest_proof = unit * 9 / 2;
    out.lost_interval = unit * 4;
    return out;
}

void relay::start(time_point now)
{
    introducer_.reset();
    choice_ = 0;
    next_ = now + options_.first_choice;
}

void relay::introduce(time_point now, const instance_id& by)
{
    introducer_ = by;
    next_ = now;
}

// Members

void relay::put_peer(const instance_id& id, const core::failure_domain_id& domain, std::uint32_t link_mbps)
{
    if (id == self_)
        return;
    peers_[id] = {domain, link_mbps};
    choice_ = 0;
}

void relay::remove_peer(const instance_id& id)
{
    peers_.erase(id);
    subscribers_.erase(id);
    heard_.erase(id);
    unanswered_.erase(id);
    choice_ = 0;
}

std::vector<instance_id> relay::relays(const core::failure_domain_id& domain) const
{
    struct candidate
    {
        std::uint32_t link_mbps = 0;
        std::uint64_t weight = 0;
        instance_id id;
    };
    std::vector<candidate> all;
    const auto add = [&](const instance_id& id, std::uint32_t link_mbps) {
        all.push_back({link_mbps, core::stable_hash(id.str(), core::stable_hash(domain.str())), id});
    };
    if (domain == domain_)
        add(self_, link_mbps_);
    for (const auto& [id, it] : peers_)
        if (it.domain == domain)
            add(id, it.link_mbps);
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b)
              { return a.link_mbps != b.link_mbps ? a.link_mbps > b.link_mbps : a.weight < b.weight; });
    std::vector<instance_id> out;
    for (const auto& it : all)
        if (out.size() < options_.relays_per_domain)
            out.push_back(it.id);
    return out;
}

std::vector<instance_id> relay::sources() const
{
    if (introducer_)
        return {*introducer_};
    auto out = relays(domain_);
    std::erase(out, self_);
    const auto others = other_relays();
    out.insert(out.end(), others.begin(), others.end());
    return out;
}

std::vector<instance_id> relay::other_relays() const
{
    std::set<core::failure_domain_id> others;
    for (const auto& [id, it] : peers_)
        if (it.domain != domain_)
            others.insert(it.domain);
    std::vector<instance_id> out;
    out.reserve(others.size());
    for (const auto& it : others)
        out.push_back(relays(it).front());
    return out;
}

bool relay::follows_store() const
{
    if (introducer_)
        return *introducer_ == self_;
    return !is_used() || relays(domain_).front() == self_;
}

bool relay::has_proof(time_point now) const
{
    const auto age = hooks_.view(now).proof_age;
    return age && *age <= options_.oldest_proof;
}

void relay::check_members(time_point now)
{
    if (introducer_)
        return;
    const auto front = relays(domain_).front();
    const bool is_relay = front == self_;
    relay_since_ = is_relay ? std::optional{relay_since_.value_or(now)} : std::nullopt;
    std::vector<instance_id> gone;
    for (const auto& [id, it] : peers_)
        if (it.domain == domain_ && (asks_nothing(now, id) || answers_nothing(now, id)))
            gone.push_back(id);
    for (const auto& id : gone)
        hooks_.forget(now, id);
    // The relay has to hear of those that follow the store themselves as well.
    if (is_relay || !follows_store() || now < next_heartbeat_)
        return;
    next_heartbeat_ = now + options_.heartbeat;
    ask_one(now, front);
}

bool relay::asks_nothing(time_point now, const instance_id& id) const
{
    if (!relay_since_)
        return false; // others ask the relay
    const auto heard = heard_.find(id);
    const auto last = heard == heard_.end() ? *relay_since_ : std::max(heard->second, *relay_since_);
    return now - last > options_.forget_after;
}

bool relay::answers_nothing(time_point now, const instance_id& id) const
{
    const auto asked = unanswered_.find(id);
    if (asked == unanswered_.end() || asked->second.count < options_.least_unanswered)
        return false;
    const auto steps = static_cast<std::uint64_t>(options_.forget_spread.count());
    const auto spread = milliseconds{static_cast<milliseconds::rep>(core::stable_hash(self_.str()) % steps)};
    return now - asked->second.first > options_.forget_after + spread;
}

// Asking

void relay::set_direct(time_point now, bool direct)
{
    if (std::exchange(direct_, direct) != direct)
        hooks_.set_direct(now, direct);
}

void relay::on_wake(time_point now)
{
    if (!next_)
        return;
    heard_.clear();
    unanswered_.clear();
    relay_since_.reset();
    asked_at_.reset();
    next_ = now;
}

std::optional<time_point> relay::next_due() const
{
    if (!next_ || !answer_joiners_at_)
        return next_ ? next_ : answer_joiners_at_;
    return std::min(*next_, *answer_joiners_at_);
}

void relay::tick(time_point now)
{
    if (answer_joiners_at_ && now >= *answer_joiners_at_)
        answer_joiners(now);
    if (!next_ || now < *next_)
        return;
    if (asked_at_)
        return on_no_proof(now);
    begin_round(now);
}

void relay::begin_round(time_point now)
{
    next_ = now + options_.ask_interval;
    tried_ = 0;
    if (++rounds_ % rounds_to_prefer_near == 0)
        choice_ = 0;
    check_members(now);
    if (!follows_store())
        return ask(now);
    set_direct(now, true);
    // One that has lost the store takes proofs from other relays until it is back.
    if (is_used() && !has_proof(now))
        ask(now);
}

void relay::ask(time_point now)
{
    const auto all = sources();
    if (tried_ >= all.size())
        return on_all_lost(now);
    asked_at_ = now;
    next_ = now + options_.answer_timeout;
    ask_one(now, all[(choice_ + tried_) % all.size()]);
}

void relay::ask_one(time_point now, const instance_id& to)
{
    ++unanswered_.try_emplace(to, unanswered_questions{now, 0}).first->second.count;
    sync_request out;
    out.sender.id = self_;
    out.sender.failure_domain = domain_;
    out.sender.link_mbps = link_mbps_;
    out.number = ++number_;
    out.store_revision = hooks_.view(now).store_revision;
    hooks_.ask(to, out);
}

void relay::on_no_proof(time_point now)
{
    asked_at_.reset();
    ++tried_;
    ask(now);
}

void relay::on_all_lost(time_point now)
{
    // All instances see this in an outage of the store: they ask it ever more seldom, and the relays often.
    next_ = now + options_.lost_interval;
    ++lost_rounds_;
    if (!direct_ && std::has_single_bit(lost_rounds_))
        hooks_.probe(now);
}

void relay::on_own_proof(time_point now)
{
    if (lost_rounds_ > 0)
        set_direct(now, true);
}

void relay::on_reply(time_point now, const sync_reply& it)
{
    unanswered_.erase(it.sender);
    const bool is_answer = asked_at_ && it.number == number_;
    const bool is_whole = take_events(now, it);
    if (is_whole && it.has_more && !is_answer && !asked_at_)
        next_ = now; // ask for the rest
    if (!is_whole || !is_answer)
        return;
    if (!it.proof_age || *it.proof_age > options_.oldest_proof)
        return on_no_proof(now); // it has lost the store itself
    on_proof(now, it);
}

void relay::on_proof(time_point now, const sync_reply& it)
{
    const auto asked_at = *asked_at_;
    asked_at_.reset();
    choice_ += tried_;
    lost_rounds_ = 0;
    if (it.configuration_revision != hooks_.view(now).configuration_revision)
    {
        // One of the two has yet to read the newest configuration: it comes with the next changes.
        next_ = now + options_.answer_timeout;
        if (++mismatches_ < options_.patience)
            return;
        mismatches_ = 0;
        return hooks_.fetch(now, {});
    }
    mismatches_ = 0;
    next_ = it.has_more ? now : now + options_.ask_interval;
    hooks_.proven(asked_at - *it.proof_age);
    if (!follows_store())
        set_direct(now, false);
}

bool relay::take_events(time_point now, const sync_reply& it)
{
    const auto own = hooks_.view(now).store_revision;
    if (it.history_gone)
    {
        if (it.number == 0 || it.store_revision <= own)
            return it.number != 0;
        hooks_.list_again();
        asked_at_.reset(); // asked again with the list's revision
        next_ = now + options_.answer_timeout;
        return false;
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
