// What is counted of versions that are rolled out, by this instance and by others, and when one is found bad.

#include <algorithm>

#include "runlink/core/hash.hpp"
#include "runlink/routing/rollout_control.hpp"

namespace runlink::routing
{

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

} // namespace runlink::routing
