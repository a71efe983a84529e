#include "runlink/control/relay.hpp"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::control
{
namespace
{

/// Number of rounds after which the relays of the own failure domain are again asked first.
constexpr std::uint64_t local_relay_retry_rounds = 16;

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
    out.gather_delay = unit;
    out.max_proof_age = unit * 9 / 2;
    out.no_proof_interval = unit * 4;
    return out;
}

void relay::start(time_point now)
{
    initial_source_.reset();
    first_source_ = 0;
    next_ = now + options_.first_choice_delay;
}

void relay::set_initial_source(time_point now, const instance_id& by)
{
    initial_source_ = by;
    next_ = now;
}

// Members

void relay::put_peer(const instance_id& id, const core::failure_domain_id& domain, std::uint32_t link_mbps)
{
    if (id == self_)
        return;
    auto& known = peers_[id];
    first_source_ = 0;
    if (known.domain == domain && known.link_mbps == link_mbps)
        return;
    known = {domain, link_mbps};
    relays_.clear();
}

void relay::remove_peer(const instance_id& id)
{
    peers_.erase(id);
    relays_.clear();
    subscribers_.erase(id);
    last_request_at_.erase(id);
    unanswered_.erase(id);
    first_source_ = 0;
}

std::map<core::failure_domain_id, std::vector<instance_id>> relay::choose_relays() const
{
    struct candidate
    {
        std::uint32_t link_mbps = 0;
        std::uint64_t weight = 0;
        instance_id id;
    };
    std::map<core::failure_domain_id, std::vector<candidate>> all;
    const auto add = [&](const instance_id& id, const core::failure_domain_id& domain,
                         std::uint32_t link_mbps) {
        all[domain].push_back({link_mbps, core::stable_hash(id.str(), core::stable_hash(domain.str())), id});
    };
    add(self_, domain_, link_mbps_);
    for (const auto& [id, it] : peers_)
        add(id, it.domain, it.link_mbps);
    std::map<core::failure_domain_id, std::vector<instance_id>> out;
    for (auto& [domain, candidates] : all)
    {
        const auto n = std::min(candidates.size(), options_.relays_per_domain);
        std::partial_sort(
            candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(n), candidates.end(),
            [](const auto& a, const auto& b)
            { return a.link_mbps != b.link_mbps ? a.link_mbps > b.link_mbps : a.weight < b.weight; });
        for (std::size_t i = 0; i < n; ++i)
            out[domain].push_back(candidates[i].id);
    }
    return out;
}

const std::vector<instance_id>& relay::relays(const core::failure_domain_id& domain) const
{
    static const std::vector<instance_id> none;
    if (relays_.empty())
        relays_ = choose_relays();
    const auto found = relays_.find(domain);
    return found == relays_.end() ? none : found->second;
}

std::vector<instance_id> relay::sources() const
{
    if (initial_source_)
        return {*initial_source_};
    auto out = relays(domain_);
    std::erase(out, self_);
    const auto others = other_relays();
    out.insert(out.end(), others.begin(), others.end());
    return out;
}

std::vector<instance_id> relay::sources_from(const instance_id& first) const
{
    std::vector<instance_id> out{first};
    for (const auto& it : sources())
        if (it != first && out.size() < options_.max_value_sources)
            out.push_back(it);
    return out;
}

std::vector<instance_id> relay::other_relays() const
{
    relays(domain_); // brings the choice up to date
    std::vector<instance_id> out;
    for (const auto& [domain, all] : relays_)
        if (domain != domain_)
            out.push_back(all.front());
    return out;
}

bool relay::follows_store() const
{
    if (initial_source_)
        return *initial_source_ == self_;
    return !uses_relays() || relays(domain_).front() == self_;
}

bool relay::has_proof(time_point now) const
{
    const auto age = hooks_.view(now).proof_age;
    return age && *age <= options_.max_proof_age;
}

void relay::check_members(time_point now)
{
    if (initial_source_)
        return;
    const auto front = relays(domain_).front();
    const bool is_relay = front == self_;
    relay_since_ = is_relay ? std::optional{relay_since_.value_or(now)} : std::nullopt;
    std::vector<instance_id> gone;
    for (const auto& [id, it] : peers_)
        if (it.domain == domain_ && (has_stopped_asking(now, id) || has_stopped_answering(now, id)))
            gone.push_back(id);
    for (const auto& id : gone)
        hooks_.forget(now, id);
    // The relay must also hear from instances that follow the store themselves.
    if (is_relay || !follows_store() || now < next_heartbeat_)
        return;
    next_heartbeat_ = now + options_.heartbeat;
    ask_one(now, front);
}

bool relay::has_stopped_asking(time_point now, const instance_id& id) const
{
    if (!relay_since_)
        return false; // followers send requests only to the relay
    const auto heard = last_request_at_.find(id);
    const auto last =
        heard == last_request_at_.end() ? *relay_since_ : std::max(heard->second, *relay_since_);
    return now - last > options_.forget_after;
}

bool relay::has_stopped_answering(time_point now, const instance_id& id) const
{
    const auto asked = unanswered_.find(id);
    if (asked == unanswered_.end() || asked->second.count < options_.min_unanswered)
        return false;
    const auto steps = static_cast<std::uint64_t>(options_.forget_jitter.count());
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
    last_request_at_.clear();
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
    sources_tried_ = 0;
    if (++rounds_ % local_relay_retry_rounds == 0)
        first_source_ = 0;
    check_members(now);
    if (!follows_store())
        return ask(now);
    set_direct(now, true);
    // A relay that has lost the store uses the proofs of other relays until the store answers again.
    if (uses_relays() && !has_proof(now))
        ask(now);
}

void relay::ask(time_point now)
{
    const auto all = sources();
    if (sources_tried_ >= all.size())
        return on_no_source_left(now);
    asked_at_ = now;
    next_ = now + options_.answer_timeout;
    ask_one(now, all[(first_source_ + sources_tried_) % all.size()]);
}

void relay::ask_one(time_point now, const instance_id& to)
{
    ++unanswered_.try_emplace(to, unanswered_questions{now, 0}).first->second.count;
    sync_request out;
    out.sender.id = self_;
    out.sender.failure_domain = domain_;
    out.sender.link_mbps = link_mbps_;
    out.number = ++request_number_;
    out.store_revision = hooks_.view(now).store_revision;
    hooks_.ask(to, out);
}

void relay::on_no_proof(time_point now)
{
    asked_at_.reset();
    ++sources_tried_;
    ask(now);
}

void relay::on_no_source_left(time_point now)
{
    // All instances get here during an outage of the store: they probe the store with exponentially growing
    // intervals, but keep asking the relays at a constant interval.
    next_ = now + options_.no_proof_interval;
    ++rounds_without_proof_;
    if (!direct_ && std::has_single_bit(rounds_without_proof_))
        hooks_.probe(now);
}

void relay::on_own_proof(time_point now)
{
    if (rounds_without_proof_ > 0)
        set_direct(now, true);
}

void relay::on_reply(time_point now, const sync_reply& it)
{
    unanswered_.erase(it.sender);
    const bool is_answer = asked_at_ && it.number == request_number_;
    const bool is_whole = take_events(now, it);
    if (is_whole && it.has_more && !is_answer && !asked_at_)
        next_ = now; // request the remaining changes
    if (!is_whole || !is_answer)
        return;
    if (it.is_recovering)
        return on_recovering(now);
    if (!it.proof_age || *it.proof_age > options_.max_proof_age)
        return on_no_proof(now); // the relay has lost the store itself
    on_proof(now, it);
}

void relay::on_recovering(time_point now)
{
    // The store itself proves no more, and all followers would ask it at the same time.
    asked_at_.reset();
    next_ = now + options_.ask_interval;
}

void relay::on_proof(time_point now, const sync_reply& it)
{
    const auto asked_at = *asked_at_;
    asked_at_.reset();
    first_source_ += sources_tried_;
    rounds_without_proof_ = 0;
    if (it.configuration_version != hooks_.view(now).configuration_version)
    {
        // Either instance may not have the newest configuration yet; it arrives with the next changes.
        next_ = now + options_.answer_timeout;
        if (++mismatches_ < options_.max_mismatches)
            return;
        mismatches_ = 0;
        return hooks_.fetch(now);
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
        asked_at_.reset(); // the next request uses the revision of the list
        next_ = now + options_.answer_timeout;
        return false;
    }
    if (it.since > own)
        return false; // changes before these events are missing
    std::vector<kv_event> fresh;
    for (const auto& e : it.events)
        if (e.item.revision > own)
            fresh.push_back(e);
    if (it.store_revision > own)
        hooks_.apply(now, fresh, it.store_revision);
    if (!it.omitted.empty())
        hooks_.fetch_from(now, it.omitted, sources_from(it.sender));
    return true;
}

} // namespace runlink::control
