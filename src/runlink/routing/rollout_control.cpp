#include "runlink/routing/rollout_control.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::routing
{
namespace
{

constexpr std::uint64_t whole_percent = 100;

} // namespace

std::string_view to_string(rollout_state it)
{
    switch (it)
    {
    case rollout_state::running: return "running";
    case rollout_state::succeeded: return "succeeded";
    case rollout_state::rolled_back: return "rolled_back";
    }
    return "unknown";
}

milliseconds rollout_control::delay() const
{
    const auto steps = static_cast<std::uint64_t>(options_.write_spread.count());
    const auto spread = milliseconds{static_cast<milliseconds::rep>(seed_ % steps)};
    return follows_store_ ? spread : options_.follower_delay + spread;
}

milliseconds rollout_control::verdict_delay() const
{
    return follows_store_ ? milliseconds{0} : delay();
}

void rollout_control::on_order(time_point now, const rollout_order& order)
{
    auto& it = rollouts_[order.service];
    if (it.order.revision == order.revision)
        return;
    const auto record = it.record;
    auto settled = std::move(it.settled);
    it = {};
    it.settled = std::move(settled);
    it.order = order;
    it.seen = now;
    it.step_began = now;
    it.next_write = now;
    it.record.service = order.service;
    it.record.target = order.target;
    it.record.revision = record.revision;
    // A record that is younger than the order belongs to it: this process has started since.
    if (record.revision > order.revision && record.target == order.target)
        it.record = record;
    if (it.record.state == rollout_state::succeeded)
        it.settled = it.record.target;
}

void rollout_control::on_order_removed(const service_id& service)
{
    rollouts_.erase(service);
}

void rollout_control::on_record(time_point now, const rollout_record& record)
{
    auto& it = rollouts_[record.service];
    if (record.revision <= it.record.revision)
        return;
    const bool belongs =
        it.order.revision != 0 && record.revision > it.order.revision && record.target == it.order.target;
    if (!belongs)
    {
        it.record.revision = record.revision;
        if (it.order.revision == 0)
            it.record = record;
        return;
    }
    it.record = record;
    it.step_began = now;
    it.next_write = now;
    if (record.state == rollout_state::succeeded)
        it.settled = record.target;
}

void rollout_control::on_write_failed(time_point now, const service_id& service)
{
    const auto found = rollouts_.find(service);
    if (found != rollouts_.end())
        found->second.next_write = now + options_.write_spread + delay();
}

// Evidence

void rollout_control::on_sample(const version_sample& sample)
{
    const auto found = rollouts_.find(sample.service);
    if (found == rollouts_.end() || found->second.order.revision == 0 || !is_running(found->second))
        return;
    auto& it = found->second;
    auto& to = sample.version == it.order.target ? it.new_version : it.old_version;
    const bool slow = is_slow(it, sample);
    for (auto* n : {&to.total, &to.by_route[sample.route]})
    {
        ++n->all;
        if (!sample.is_bad && !slow)
            continue;
        n->bad += sample.is_bad ? 1 : 0;
        n->slow += slow ? 1 : 0;
        n->bad_endpoints.insert(core::stable_hash(sample.endpoint.str()));
    }
    if (sample.first.count() > 0)
        to.first[sample.model].add(static_cast<double>(sample.first.count()), options_.most_samples);
    if (sample.pace.count() > 0)
    {
        to.pace[sample.model].add(static_cast<double>(sample.pace.count()), options_.most_samples);
    }
    if (sample.version == it.order.target)
        judge(it);
}

void rollout_control::on_sent(const service_id& service, const version_id& version)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision == 0)
        return;
    auto& it = found->second;
    ++it.sent;
    if (version == it.order.target)
        ++it.sent_to_new;
}

void rollout_control::pace_samples::add(double it, std::size_t most)
{
    if (us.size() < most)
        return us.push_back(it);
    us[next] = it;
    next = (next + 1) % most;
}

double rollout_control::pace_samples::median() const
{
    auto sorted = us;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

void rollout_control::judge(rollout& it)
{
    if (it.is_bad)
        return;
    const auto why = fault_of(it);
    if (why.empty())
        return;
    it.is_bad = true;
    on_verdict(it.order.service, why);
}

void rollout_control::counts::add(const counts& it)
{
    all += it.all;
    bad += it.bad;
    slow += it.slow;
    bad_endpoints.insert(it.bad_endpoints.begin(), it.bad_endpoints.end());
}

rollout_control::counts rollout_control::pooled(const rollout& it, const version_id& version,
                                                const std::string& route) const
{
    const auto& own = version == it.order.target ? it.new_version : it.old_version;
    counts out;
    if (route.empty())
        out = own.total;
    else if (const auto found = own.by_route.find(route); found != own.by_route.end())
        out = found->second;
    for (const auto& [peer, all] : it.peers)
        for (const auto& e : all)
        {
            const bool is_same_side = (e.version == it.order.target) == (version == it.order.target);
            if (is_same_side && e.route == route)
                out.add({e.all, e.bad, e.slow, {e.bad_endpoints.begin(), e.bad_endpoints.end()}});
        }
    return out;
}

std::vector<version_evidence> rollout_control::evidence() const
{
    std::vector<version_evidence> out;
    const auto add =
        [&](const rollout& it, const version_id& version, const std::string& route, const counts& n)
    {
        out.push_back({it.order.service,
                       version,
                       route,
                       n.all,
                       n.bad,
                       n.slow,
                       {n.bad_endpoints.begin(), n.bad_endpoints.end()}});
    };
    for (const auto& [service, it] : rollouts_)
    {
        if (it.order.revision == 0 || !is_running(it) || it.new_version.total.all == 0)
            continue;
        add(it, it.order.target, {}, it.new_version.total);
        for (const auto& [route, n] : it.new_version.by_route)
            add(it, it.order.target, route, n);
    }
    return out;
}

void rollout_control::on_peer_evidence(const core::instance_id& peer,
                                       const std::vector<version_evidence>& all)
{
    std::map<service_id, std::vector<version_evidence>> by_service;
    for (const auto& e : all)
        by_service[e.service].push_back(e);
    for (auto& [service, e] : by_service)
    {
        const auto found = rollouts_.find(service);
        if (found == rollouts_.end() || found->second.order.revision == 0 || !is_running(found->second) ||
            e.front().version != found->second.order.target)
            continue;
        found->second.peers[peer] = std::move(e);
        judge(found->second);
    }
}

bool rollout_control::spreads_runs(const service_id& service, session_hash session) const
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision == 0 || !is_running(found->second))
        return false;
    return schedule_.in_first_part(found->second.record.share_percent) &&
           session.value() % whole_percent < schedule_.options().first_share_percent;
}

bool rollout_control::is_slow(const rollout& it, const version_sample& sample) const
{
    return exceeds(it.old_version.pace, sample, sample.pace) ||
           exceeds(it.old_version.first, sample, sample.first);
}

bool rollout_control::exceeds(const std::map<core::model_id, pace_samples>& old, const version_sample& of,
                              duration value) const
{
    const auto found = old.find(of.model);
    return value.count() > 0 && found != old.end() && found->second.us.size() >= options_.slow_samples &&
           static_cast<double>(value.count()) > options_.slow_answer * found->second.median();
}

bool rollout_control::counts_as_bad(const counts& fresh, const counts& old) const
{
    const bool slow = fresh.slow >= options_.slow_to_stop &&
                      fresh.slow_rate() >= options_.slow_rate_to_stop &&
                      fresh.slow_rate() >= options_.bad_rate_over_old * old.slow_rate();
    if (slow && fresh.bad_endpoints.size() > 1)
        return true;
    return fresh.bad >= options_.bad_to_stop && fresh.bad_endpoints.size() > 1 &&
           fresh.bad_rate() >= options_.bad_rate_to_stop &&
           fresh.bad_rate() >= options_.bad_rate_over_old * old.bad_rate();
}

std::string rollout_control::fault_of(const rollout& it) const
{
    std::set<std::string> routes{""};
    for (const auto& [route, n] : it.new_version.by_route)
        routes.insert(route);
    for (const auto& route : routes)
    {
        const auto fresh = pooled(it, it.order.target, route);
        const auto old = it.old_version.by_route.find(route);
        const auto& before = route.empty()                          ? it.old_version.total
                             : old == it.old_version.by_route.end() ? counts{}
                                                                    : old->second;
        if (counts_as_bad(fresh, before))
            return "bad or slow answers on " + (route.empty() ? "all routes" : "route " + route) + ": " +
                   std::to_string(fresh.bad) + " and " + std::to_string(fresh.slow) + " of " +
                   std::to_string(fresh.all);
    }
    for (const auto& [model, fresh] : it.new_version.pace)
    {
        const auto old = it.old_version.pace.find(model);
        if (old == it.old_version.pace.end() || old->second.us.size() < options_.slow_samples ||
            fresh.us.size() < options_.slow_samples)
            continue;
        if (fresh.median() > options_.slow_over_old * old->second.median())
            return "slow: " + std::to_string(static_cast<long>(fresh.median())) + " us an event, " +
                   std::to_string(static_cast<long>(old->second.median())) + " before";
    }
    return {};
}

// Choice

rollout_control::choice rollout_control::choose(const service_id& service, session_hash session,
                                                const std::optional<version_id>& pinned) const
{
    choice out;
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision == 0)
        return out;
    const auto& it = found->second;
    const auto& target = it.order.target;
    const auto old_version = [&]
    {
        out.excluded = target;
        out.only = it.settled; // entries of versions before that one may not have lapsed yet
        return out;
    };
    if (it.is_bad || it.record.state == rollout_state::rolled_back)
        return old_version();
    if (it.record.state == rollout_state::succeeded)
    {
        out.only = target;
        return out;
    }
    const bool ran_on_target = pinned && *pinned == target;
    const bool ran_on_old = pinned && *pinned != target;
    if (it.record.share_percent == 0 || (!ran_on_target && !may_enter(it, session, ran_on_old)))
        return old_version();
    out.only = target;
    return out;
}

bool rollout_control::may_enter(const rollout& it, session_hash session, bool ran_on_old) const
{
    const auto share = it.record.share_percent;
    if (session.value() % whole_percent >= share || (ran_on_old && schedule_.in_first_part(share)))
        return false;
    return schedule_.may_expose(it.order.allowed, it.sent_to_new, it.sent);
}

// Steps

std::optional<rollout_record> rollout_control::next_record(const rollout& it, time_point now) const
{
    auto out = it.record;
    if (it.is_bad && now < *it.verdict_due)
        return std::nullopt;
    if (it.is_bad)
    {
        out.state = rollout_state::rolled_back;
        out.share_percent = 0;
        return out;
    }
    if (now < next_change(it) + delay())
        return std::nullopt;
    const auto share = schedule_.share_after(out.share_percent);
    if (share == out.share_percent)
        out.state = rollout_state::succeeded;
    out.share_percent = share;
    return out;
}

time_point rollout_control::next_change(const rollout& it) const
{
    if (it.is_bad)
        return it.verdict_due.value_or(it.seen);
    return schedule_.next_step({it.seen, it.order.allowed, it.step_began, it.record.share_percent});
}

std::vector<rollout_record> rollout_control::due(time_point now)
{
    std::vector<rollout_record> out;
    for (auto& [service, it] : rollouts_)
    {
        if (it.order.revision == 0 || !is_running(it) || now < it.next_write)
            continue;
        if (it.is_bad && !it.verdict_due)
            it.verdict_due = now + verdict_delay();
        auto next = next_record(it, now);
        if (!next)
            continue;
        it.next_write = now + options_.rewrite_after + delay();
        out.push_back(std::move(*next));
    }
    return out;
}

std::optional<time_point> rollout_control::next_due() const
{
    std::optional<time_point> out;
    for (const auto& [service, it] : rollouts_)
    {
        if (it.order.revision == 0 || !is_running(it))
            continue;
        const auto change = next_change(it);
        const auto at = std::max(it.next_write, it.is_bad ? change : change + delay());
        out = out ? std::min(*out, at) : at;
    }
    return out;
}

const rollout_record* rollout_control::find(const service_id& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() || found->second.order.revision == 0 ? nullptr : &found->second.record;
}

} // namespace runlink::routing
