// Trials of suspected requests, findings, and timers.

#include <algorithm>
#include <chrono>
#include <utility>

#include "runlink/crashes/crash_attribution.hpp"

namespace runlink::crashes
{

// Trials

void crash_attribution::begin_trial(time_point now, request_fingerprint it, endpoint_id_hash where)
{
    auto& record = at(now, it);
    ++record.trials;
    record.active_trial = trial{where, true, now, false, std::nullopt};
    requests_on_trial_.insert(it);
    hooks_.broadcast({{}, {{it, where}}, {}});
}

void crash_attribution::end_trial(time_point now, request_fingerprint it, endpoint_id_hash where,
                                  bool has_reached)
{
    auto* record = find(it);
    if (record == nullptr || !record->active_trial || !record->active_trial->is_own ||
        record->active_trial->endpoint != where || record->active_trial->verdict_at)
        return;
    // The connection broke, and it is not yet known whether the endpoint has ended.
    if (unconfirmed_losses_.contains(where))
    {
        record->active_trial->verdict_at = now + options_.end_confirmation_timeout + options_.verdict_delay;
        return;
    }
    record->trials -= has_reached ? 0 : 1;
    conclude_trial(now, it, has_reached);
}

bool crash_attribution::may_repeat_trial(request_fingerprint it) const
{
    const auto* record = find(it);
    if (record == nullptr || !record->active_trial)
        return false;
    const auto& tried = *record->active_trial;
    return tried.is_own && !tried.verdict_at && !unconfirmed_losses_.contains(tried.endpoint) &&
           record->trials < options_.max_trials;
}

void crash_attribution::schedule_trial(time_point now, request_fingerprint it, record& of)
{
    of.next_trial_at = now + trial_delay(it);
}

void crash_attribution::remove_trial(request_fingerprint it, record& of)
{
    of.active_trial.reset();
    requests_on_trial_.erase(it);
}

bool crash_attribution::other_suspect_was_at(request_fingerprint it, endpoint_id_hash where) const
{
    const auto most_ends = records_.at(it).ends.size();
    return std::any_of(records_.begin(), records_.end(),
                       [&](const auto& e)
                       {
                           return e.first != it && is_suspect(e.second) && e.second.ends.contains(where) &&
                                  e.second.ends.size() >= most_ends;
                       });
}

std::set<endpoint_id_hash> crash_attribution::ends_by_others(request_fingerprint than) const
{
    std::set<endpoint_id_hash> out;
    for (const auto& [request, it] : records_)
        if (request != than && it.trial_end && it.ends.contains(*it.trial_end))
            for (const auto& [where, run_duration] : it.ends)
                out.insert(where);
    return out;
}

bool crash_attribution::is_beyond_chance(time_point now, request_fingerprint it) const
{
    const auto chance = rate_.chance_of(now, records_.at(it).ends, ends_by_others(it));
    const auto observation_time = rate_.observation_time(now);
    const auto requests = std::count_if(answered_.begin(), answered_.end(),
                                        [&](const auto& e) { return now - e.second <= observation_time; });
    using seconds_or_part = std::chrono::duration<double>;
    const auto expected_wrong = chance * static_cast<double>(std::max<std::ptrdiff_t>(requests, 1));
    return expected_wrong * seconds_or_part{options_.false_positive_interval} <
           seconds_or_part{observation_time};
}

void crash_attribution::conclude_trial(time_point now, request_fingerprint it, bool has_reached)
{
    auto& record = records_.at(it);
    const auto where = record.active_trial->endpoint;
    const bool is_certain =
        record.active_trial->has_ended && !other_suspect_was_at(it, where) && is_beyond_chance(now, it);
    if (is_certain || record.trials >= options_.max_trials)
        return mark_harmful(now, it, true);
    remove_trial(it, record);
    schedule_trial(now, it, record);
    hooks_.broadcast({{}, {{it, where, true, has_reached}}, {}});
}

// Findings

std::vector<crash_report> crash_attribution::own_reports(request_fingerprint it, const record& of)
{
    std::vector<crash_report> out;
    for (const auto& [where, run_duration] : of.ends)
        if (of.own_ends.contains(where))
            out.push_back({where, {{it, std::chrono::ceil<milliseconds>(run_duration)}}});
    return out;
}

void crash_attribution::mark_harmful(time_point now, request_fingerprint it, bool is_own)
{
    auto& record = at(now, it);
    const bool is_known = record.harmful_until && now < *record.harmful_until;
    remove_trial(it, record);
    record.next_trial_at.reset();
    if (is_known)
        return;
    record.harmful_until = now + options_.refusal_time;
    record.latest_end_at = now;
    const auto ends = record.ends;
    const auto explained = own_reports(it, record);
    if (is_own)
        broadcast_finding(now, {it, request_effect::harmful});
    for (const auto& [where, run_duration] : ends)
        attribute_to_harmful(where);
    if (!explained.empty())
    {
        hooks_.broadcast({explained, {}, {}});
        schedule_report_resends(now, explained);
    }
    hooks_.marked_harmful(now, it, is_own);
}

void crash_attribution::attribute_to_harmful(endpoint_id_hash by_harmful)
{
    if (!ends_by_harmful_.insert(by_harmful))
        return;
    rate_.exclude(by_harmful);
    for (auto& [request, it] : records_)
        if (!it.harmful_until && it.ends.erase(by_harmful) > 0 && !is_suspect(it))
            it.next_trial_at.reset();
}

void crash_attribution::on_answered(time_point now, request_fingerprint it)
{
    const auto [found, is_new] = answered_.insert_or_assign(it, now);
    if (is_new)
        answered_order_.push_back(it);
    if (answered_order_.size() > options_.max_answered_requests)
    {
        answered_.erase(answered_order_.front());
        answered_order_.pop_front();
    }
    const auto* record = find(it);
    if (record == nullptr || record->harmful_until)
        return;
    if (is_suspect(*record))
        broadcast_finding(now, {it, request_effect::harmless});
    clear(it);
}

void crash_attribution::clear(request_fingerprint it)
{
    const auto* record = find(it);
    if (record == nullptr || record->harmful_until)
        return;
    requests_on_trial_.erase(it);
    records_.erase(it);
}

void crash_attribution::broadcast_finding(time_point now, const request_finding& it)
{
    hooks_.broadcast({{}, {}, {it}});
    for (const auto after : options_.resend_delays)
        scheduled_resends_.push_back({now + after, {{}, {}, {it}}});
}

void crash_attribution::schedule_report_resends(time_point now, const std::vector<crash_report>& all)
{
    if (all.empty())
        return;
    // The first repetition arrives before other instances decide on requests that ran on the same endpoints,
    // because these decisions wait for `verdict_delay`.
    scheduled_resends_.push_back({now + options_.verdict_delay / 2, {all, {}, {}}});
    for (const auto after : options_.resend_delays)
        scheduled_resends_.push_back({now + after, {all, {}, {}}});
}

void crash_attribution::on_message(time_point now, const crash_message& it)
{
    for (const auto& e : it.reports)
    {
        on_ended(now, e.endpoint);
        record_end(now, e.endpoint, e.running);
    }
    for (const auto& e : it.trials)
        on_trial_notice(now, e);
    for (const auto& e : it.findings)
        if (e.what == request_effect::harmful)
            mark_harmful(now, e.request, false);
        else
            clear(e.request);
}

void crash_attribution::on_trial_notice(time_point now, const trial_notice& it)
{
    auto& record = at(now, it.request);
    if (record.harmful_until || (record.active_trial && record.active_trial->is_own))
        return;
    const bool is_new = !has_active_trial(now, record) || record.active_trial->endpoint != it.endpoint;
    remove_trial(it.request, record);
    schedule_trial(now, it.request, record);
    if (it.is_over)
    {
        record.trials -= !it.has_reached && record.trials > 0 ? 1 : 0;
        return;
    }
    record.trials += is_new ? 1 : 0;
    record.active_trial = trial{it.endpoint, false, now, false, std::nullopt};
    requests_on_trial_.insert(it.request);
}

void crash_attribution::on_recorded(time_point now, request_fingerprint it)
{
    mark_harmful(now, it, false);
    records_.at(it).is_recorded = true;
}

void crash_attribution::on_unrecorded(time_point now, request_fingerprint it)
{
    auto* record = find(it);
    if (record == nullptr || !record->is_recorded)
        return;
    record->is_recorded = false;
    record->harmful_until = std::min(record->harmful_until.value_or(now), now);
}

std::vector<request_fingerprint> crash_attribution::take_expired(time_point now)
{
    std::vector<request_fingerprint> out;
    for (auto& [request, it] : records_)
        if (it.harmful_until && now >= *it.harmful_until && std::exchange(it.is_recorded, false))
            out.push_back(request);
    return out;
}

// Timers

void crash_attribution::tick(time_point now)
{
    if (flush_at_ && now >= *flush_at_)
        flush_ends(now);
    std::vector<request_fingerprint> due;
    for (const auto request : requests_on_trial_)
    {
        auto& it = records_.at(request);
        if (!it.active_trial->is_own)
            continue;
        if (it.active_trial->verdict_at && now >= *it.active_trial->verdict_at)
            due.push_back(request);
        else if (now - it.active_trial->last_notice_at >= options_.trial_interval)
        {
            it.active_trial->last_notice_at = now;
            hooks_.broadcast({{}, {{request, it.active_trial->endpoint}}, {}});
        }
    }
    for (const auto it : due)
        conclude_trial(now, it, true);
    crash_message again;
    for (const auto& it : scheduled_resends_)
    {
        if (now < it.at)
            continue;
        again.reports.insert(again.reports.end(), it.what.reports.begin(), it.what.reports.end());
        again.findings.insert(again.findings.end(), it.what.findings.begin(), it.what.findings.end());
    }
    std::erase_if(scheduled_resends_, [&](const auto& it) { return now >= it.at; });
    if (!again.empty())
        hooks_.broadcast(again);
}

std::optional<time_point> crash_attribution::next_due() const
{
    std::optional<time_point> out;
    const auto add = [&](time_point it) { out = std::min(out.value_or(it), it); };
    if (flush_at_)
        add(*flush_at_);
    for (const auto request : requests_on_trial_)
        if (const auto& it = records_.at(request); it.active_trial->is_own)
            add(std::min(it.active_trial->verdict_at.value_or(time_point::max()),
                         it.active_trial->last_notice_at + options_.trial_interval));
    for (const auto& it : scheduled_resends_)
        add(it.at);
    return out;
}

} // namespace runlink::crashes
