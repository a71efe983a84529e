// Part of `rollout_control`: collects evidence about versions from this instance and its peers, and judges
// it.

#include <algorithm>
#include <chrono>
#include <utility>

#include "runlink/routing/rollout_control.hpp"

namespace runlink::routing
{

void rollout_control::on_sample(time_point now, const version_sample& sample, answer_counts& counted)
{
    auto& times = times_[sample.service];
    const auto known = times.classify(sample);
    auto* it = find_running(sample.service);
    const bool is_new = it != nullptr && sample.version == it->order.target;
    if (!is_new)
        times.learn(sample);
    auto seen = counted;
    seen.all = std::max(seen.all, known.all);
    for (std::size_t n = 0; n < answer_flaws; ++n)
        seen.with[n] = std::max(seen.with[n], known.with[n]);
    const auto more = seen.since(counted);
    counted = seen;
    if (it == nullptr || more == answer_counts{})
        return;
    it->trial.count(now, sample.group, is_new, sample.endpoint, more);
    estimate_rate(now, *it);
    if (!is_new)
        return;
    schedule_evidence(*it, now + options_.evidence_delay);
    reject_if_faulty(now, *it);
}

void rollout_control::on_sent(const service_id& service, const version_id& version)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision.is_none())
        return;
    auto& it = found->second;
    ++it.sent;
    if (version == it.order.target)
        ++it.sent_to_new;
}

void rollout_control::estimate_rate(time_point now, rollout& it) const
{
    // Peers report what they have seen of the old version only together with answers of the new one.
    const auto own = static_cast<double>(it.sent) * static_cast<double>(instances_);
    const auto reported = static_cast<double>(it.trial.fresh().all) + it.trial.old().all;
    const std::chrono::duration<double> elapsed = now - it.ordered_at;
    if (elapsed >= core::seconds{1})
        it.requests_per_s = std::max(own, reported) / elapsed.count();
}

trial_phase rollout_control::phase_of(const rollout& it) const
{
    return schedule_.in_first_part(it.record.share_percent) ? trial_phase::first_share
                                                            : trial_phase::all_requests;
}

void rollout_control::reject_if_faulty(time_point now, rollout& it)
{
    if (it.is_bad)
        return;
    if (const auto why = it.trial.fault(now, phase_of(it)))
        reject(it, *why);
}

void rollout_control::reject(rollout& it, const version_fault& why)
{
    it.is_bad = true;
    on_verdict(it.order.service, why);
}

bool rollout_control::must_hold(time_point now, rollout& it)
{
    if (it.record.share_percent == 0)
        return false;
    const auto why = it.trial.doubt(now, phase_of(it));
    if (now < it.ordered_at + it.order.allowed - options_.decision_margin)
        return why || has_too_few_answers(it);
    // Without the full share, the version has not been tried under load.
    const bool is_untried = phase_of(it) == trial_phase::first_share;
    if (why && (is_untried || why->evidence >= options_.trial.deadline_evidence))
        reject(it, *why);
    return false;
}

bool rollout_control::has_too_few_answers(const rollout& it) const
{
    return phase_of(it) == trial_phase::all_requests &&
           it.trial.fresh().all - it.answers_before_step < options_.least_answers;
}

// Exchange of evidence between instances

void rollout_control::schedule_evidence(rollout& it, time_point at)
{
    it.evidence_due_at = it.evidence_due_at ? std::min(*it.evidence_due_at, at) : at;
    it.is_repeat_scheduled = false;
}

std::optional<time_point> rollout_control::evidence_due() const
{
    std::optional<time_point> out;
    for (const auto& [service, it] : rollouts_)
        if (it.evidence_due_at)
            out = out ? std::min(*out, *it.evidence_due_at) : it.evidence_due_at;
    return out;
}

std::vector<version_evidence> rollout_control::tell_evidence(time_point now)
{
    std::vector<version_evidence> out;
    for (auto& [service, it] : rollouts_)
    {
        if (!it.evidence_due_at || now < *it.evidence_due_at)
            continue;
        it.evidence_due_at.reset();
        if (it.order.revision.is_none() || !is_running(it))
            continue;
        if (!std::exchange(it.is_repeat_scheduled, true))
            it.evidence_due_at = now + options_.evidence_delay;
        for (auto& e : it.trial.own())
        {
            e.service = service;
            e.order_revision = it.order.revision;
            out.push_back(std::move(e));
        }
    }
    return out;
}

void rollout_control::on_peer_evidence(time_point now, const core::instance_id& peer,
                                       const std::vector<version_evidence>& all)
{
    std::map<service_id, std::vector<version_evidence>> by_service;
    for (const auto& e : all)
        by_service[e.service].push_back(e);
    for (const auto& [service, e] : by_service)
    {
        auto* it = find_running(service);
        if (it == nullptr || e.front().order_revision != it->order.revision)
            continue;
        it->trial.on_peer(now, peer, e);
        reject_if_faulty(now, *it);
    }
}

} // namespace runlink::routing
