// Trials of suspected elements, findings, and timers.

#include <algorithm>
#include <chrono>
#include <utility>

#include "runlink/crashes/crash_attribution.hpp"

namespace runlink::crashes
{

// Trials

void crash_attribution::begin_trial(time_point now, const request_elements& of, endpoint_id_hash where)
{
    std::vector<element_fingerprint> tried;
    for (const auto it : of.all())
    {
        const auto* record = find(it);
        const bool repeats = record != nullptr && record->active_trial && record->active_trial->is_own;
        if (repeats || judge_element(now, it) == permission::alone)
            tried.push_back(it);
    }
    crash_message notice;
    for (const auto it : tried)
    {
        auto& record = at(now, it);
        ++record.trials;
        trial next{where, true, now};
        if (record.active_trial && record.active_trial->is_own)
        {
            next.earlier = std::move(record.active_trial->earlier);
            next.earlier.insert(record.active_trial->endpoint);
        }
        record.active_trial = std::move(next);
        on_trial_.insert(it);
        notice.trials.push_back({it, where});
    }
    if (!notice.empty())
        hooks_.broadcast(notice);
}

void crash_attribution::end_trial(time_point now, const request_elements& of, endpoint_id_hash where,
                                  bool has_reached)
{
    std::vector<element_fingerprint> tried;
    for (const auto it : of.all())
        if (const auto* record = find(it); record != nullptr && record->active_trial)
            if (const auto& e = *record->active_trial; e.is_own && e.endpoint == where && !e.verdict_at)
                tried.push_back(it);
    if (tried.empty())
        return;
    const bool is_unclear = unconfirmed_losses_.contains(where) || unproven_.contains(where);
    for (const auto it : tried)
    {
        auto& record = records_.at(it);
        // The connection ended, and it is not yet known whether the endpoint has ended.
        if (is_unclear)
            record.active_trial->verdict_at =
                now + options_.end_confirmation_timeout + options_.verdict_delay;
        else
            record.trials -= has_reached ? 0 : 1;
    }
    if (!is_unclear)
        conclude_trial(now, tried, where, has_reached);
}

bool crash_attribution::may_repeat_trial(const request_elements& of) const
{
    bool has_trial = false;
    for (const auto it : of.all())
    {
        const auto* record = find(it);
        if (record == nullptr || !record->active_trial)
            continue;
        const auto& tried = *record->active_trial;
        const bool may = tried.is_own && !tried.verdict_at && !unconfirmed_losses_.contains(tried.endpoint) &&
                         record->trials < options_.max_trials;
        if (!may)
            return false;
        has_trial = true;
    }
    return has_trial;
}

void crash_attribution::schedule_trial(time_point now, element_fingerprint it, record& of)
{
    of.next_trial_at = now + own_delay(it, options_.max_trial_delay);
}

void crash_attribution::remove_trial(element_fingerprint it, record& of)
{
    of.active_trial.reset();
    on_trial_.erase(it);
}

std::vector<element_fingerprint>
crash_attribution::most_ends_of(const std::vector<element_fingerprint>& tried) const
{
    std::size_t most = 0;
    for (const auto it : tried)
        most = std::max(most, records_.at(it).ends.size());
    std::vector<element_fingerprint> out;
    for (const auto it : tried)
        if (records_.at(it).ends.size() == most)
            out.push_back(it);
    return out;
}

bool crash_attribution::other_suspect_was_at(const std::vector<element_fingerprint>& than,
                                             endpoint_id_hash where) const
{
    const auto most = records_.at(most_ends_of(than).front()).ends.size();
    return std::any_of(records_.begin(), records_.end(),
                       [&](const auto& e)
                       {
                           const bool is_other = std::find(than.begin(), than.end(), e.first) == than.end();
                           return is_other && e.second.ends.contains(where) && e.second.ends.size() >= most;
                       });
}

std::set<endpoint_id_hash> crash_attribution::ends_by_others(element_fingerprint than) const
{
    std::set<endpoint_id_hash> out;
    for (const auto& [element, it] : records_)
        if (element != than && it.trial_end && it.ends.contains(*it.trial_end))
            for (const auto& [where, run_duration] : it.ends)
                out.insert(where);
    return out;
}

bool crash_attribution::is_beyond_chance(time_point now, element_fingerprint it) const
{
    const auto chance = rate_.chance_of(now, records_.at(it).ends, ends_by_others(it));
    const auto observation_time = rate_.observation_time(now);
    const auto elements = std::count_if(answered_.begin(), answered_.end(),
                                        [&](const auto& e) { return now - e.second <= observation_time; });
    using seconds_or_part = std::chrono::duration<double>;
    const auto expected_wrong = chance * static_cast<double>(std::max<std::ptrdiff_t>(elements, 1));
    return expected_wrong * seconds_or_part{options_.false_positive_interval} <
           seconds_or_part{observation_time};
}

void crash_attribution::conclude_trial(time_point now, const std::vector<element_fingerprint>& tried,
                                       endpoint_id_hash where, bool has_reached)
{
    const auto likeliest = most_ends_of(tried);
    const bool is_certain =
        records_.at(likeliest.front()).active_trial->has_ended && !other_suspect_was_at(tried, where) &&
        std::all_of(likeliest.begin(), likeliest.end(), [&](auto it) { return is_beyond_chance(now, it); });
    const bool is_tried_out =
        std::all_of(likeliest.begin(), likeliest.end(),
                    [&](auto it) { return records_.at(it).trials >= options_.max_trials; });
    const bool still_runs = records_.at(likeliest.front()).active_trial->has_ended && !ended_.contains(where);
    if (still_runs && !is_certain && !is_tried_out)
    {
        // An endpoint ended where the trial had begun before; it goes on at the present one.
        for (const auto it : tried)
        {
            records_.at(it).active_trial->has_ended = false;
            records_.at(it).active_trial->verdict_at.reset();
        }
        return;
    }
    crash_message over;
    for (const auto it : tried)
    {
        auto& record = records_.at(it);
        remove_trial(it, record);
        schedule_trial(now, it, record);
        over.trials.push_back({it, where, true, has_reached});
    }
    if (!is_certain && !is_tried_out)
        return hooks_.broadcast(over);
    for (const auto it : likeliest)
    {
        auto companions = likeliest;
        std::erase(companions, it);
        mark_harmful(now, it, companions, true);
    }
    std::erase_if(over.trials, [&](const trial_notice& e)
                  { return std::find(likeliest.begin(), likeliest.end(), e.element) != likeliest.end(); });
    if (!over.empty())
        hooks_.broadcast(over);
}

// Findings

std::vector<crash_report> crash_attribution::own_reports(element_fingerprint it, const record& of)
{
    std::vector<crash_report> out;
    for (const auto& [where, run_duration] : of.ends)
        if (of.own_ends.contains(where))
            out.push_back({where, {{it, std::chrono::ceil<milliseconds>(run_duration)}}});
    return out;
}

void crash_attribution::mark_harmful(time_point now, element_fingerprint it,
                                     const std::vector<element_fingerprint>& companions, bool is_own)
{
    auto& record = at(now, it);
    remove_trial(it, record);
    record.next_trial_at.reset();
    const bool is_harmful = record.harmful_until && now < *record.harmful_until;
    if (is_harmful && record.companions.empty())
        return;
    // Requests without the companions are tried, which tells the elements apart.
    if (!companions.empty())
        schedule_trial(now, it, record);
    if (is_harmful && record.companions == companions)
        return;
    record.companions = companions;
    record.harmful_until = now + options_.refusal_time;
    record.latest_end_at = now;
    record.suspect_from.reset();
    pending_.erase(it);
    const auto ends = record.ends;
    const auto explained = own_reports(it, record);
    if (is_own)
        broadcast_finding(now, {it, element_effect::harmful, companions});
    for (const auto& [where, run_duration] : ends)
        attribute_to_harmful(where);
    if (companions.empty())
        clear_companions_of(it);
    if (!explained.empty())
    {
        hooks_.broadcast({explained, {}, {}});
        schedule_report_resends(now, explained);
    }
    hooks_.marked_harmful(now, it, is_own);
}

void crash_attribution::clear_companions_of(element_fingerprint it)
{
    std::vector<element_fingerprint> all;
    for (const auto& [element, e] : records_)
        if (std::find(e.companions.begin(), e.companions.end(), it) != e.companions.end())
            all.push_back(element);
    for (const auto e : all)
        clear(e);
}

void crash_attribution::attribute_to_harmful(endpoint_id_hash by_harmful)
{
    if (!ends_by_harmful_.insert(by_harmful))
        return;
    rate_.exclude(by_harmful);
    for (auto& [element, it] : records_)
    {
        if (it.harmful_until || it.ends.erase(by_harmful) == 0 ||
            it.ends.size() >= options_.suspect_threshold)
            continue;
        it.is_suspect = false;
        it.suspect_from.reset();
        pending_.erase(element);
        if (!it.on_probation)
            it.next_trial_at.reset();
    }
}

void crash_attribution::on_answered(time_point now, const request_elements& of)
{
    for (const auto it : of.all())
    {
        const auto [found, is_new] = answered_.insert_or_assign(it, now);
        if (is_new)
            answered_order_.push_back(it);
        if (answered_order_.size() > options_.max_answered_elements)
        {
            answered_.erase(answered_order_.front());
            answered_order_.pop_front();
        }
        const auto* record = find(it);
        if (record == nullptr || (record->harmful_until && record->companions.empty()))
            continue;
        // Another instance may hold more ends against a part, which is answered at any instance.
        if (is_part(it))
        {
            clear_and_announce(now, it);
            continue;
        }
        if (is_suspect(*record))
            broadcast_finding(now, {it, element_effect::harmless});
        clear(it);
    }
}

bool crash_attribution::needs_probe(time_point now, const request_elements& of) const
{
    // The content of most requests is new, and a probe after each of them would double the connections.
    if (find(of.content) != nullptr || unproven_.has_content(of.content))
        return true;
    return std::any_of(of.parts.begin(), of.parts.end(),
                       [&](element_fingerprint it)
                       { return find(it) != nullptr || !answered_since(it, now - options_.proof_interval); });
}

bool crash_attribution::on_answered_until_close(time_point now, const request_elements& of,
                                                endpoint_id_hash where, time_point sent_at)
{
    if (ended_.contains(where))
        return on_connection_broken(now, of, where, sent_at);
    const bool out = needs_probe(now, of);
    unproven_.add(where, {of, sent_at, now});
    return out;
}

void crash_attribution::on_heard(time_point now, endpoint_id_hash from)
{
    prove_answers(now, from, now - options_.heard_margin);
}

void crash_attribution::on_reached(time_point now, endpoint_id_hash what)
{
    prove_answers(now, what, now);
}

void crash_attribution::prove_answers(time_point now, endpoint_id_hash from, time_point until)
{
    for (const auto& it : unproven_.take(from, until))
        on_answered(now, it.elements);
}

void crash_attribution::clear(element_fingerprint it)
{
    const auto* record = find(it);
    if (record == nullptr || (record->harmful_until && record->companions.empty()))
        return;
    if (record->is_recorded)
        released_.push_back(it);
    const bool had_companions = !record->companions.empty();
    on_trial_.erase(it);
    pending_.erase(it);
    records_.erase(it);
    if (had_companions)
        remove_companion(it);
}

void crash_attribution::remove_companion(element_fingerprint it)
{
    for (auto& [element, e] : records_)
        std::erase(e.companions, it);
}

void crash_attribution::broadcast_finding(time_point now, const element_finding& it)
{
    hooks_.broadcast({{}, {}, {it}});
    for (const auto after : options_.resend_delays)
        scheduled_resends_.push_back({now + after, {{}, {}, {it}}});
}

void crash_attribution::schedule_report_resends(time_point now, const std::vector<crash_report>& all)
{
    if (all.empty())
        return;
    // The first repetition arrives before other instances decide on elements that ran on the same endpoints,
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
    {
        if (e.what == element_effect::harmful)
        {
            mark_harmful(now, e.element, e.companions, false);
            continue;
        }
        clearances_.erase(e.element);
        clear(e.element);
    }
}

void crash_attribution::on_trial_notice(time_point now, const trial_notice& it)
{
    auto& record = at(now, it.element);
    if ((record.harmful_until && record.companions.empty()) ||
        (record.active_trial && record.active_trial->is_own))
        return;
    const bool is_new = !has_active_trial(now, record) || record.active_trial->endpoint != it.endpoint;
    remove_trial(it.element, record);
    schedule_trial(now, it.element, record);
    if (it.is_over)
    {
        record.trials -= !it.has_reached && record.trials > 0 ? 1 : 0;
        return;
    }
    record.trials += is_new ? 1 : 0;
    record.active_trial = trial{it.endpoint, false, now};
    on_trial_.insert(it.element);
}

void crash_attribution::on_recorded(time_point now, element_fingerprint it,
                                    const std::vector<element_fingerprint>& companions)
{
    mark_harmful(now, it, companions, false);
    records_.at(it).is_recorded = true;
}

void crash_attribution::on_unrecorded(time_point now, element_fingerprint it)
{
    auto* record = find(it);
    if (record == nullptr || !record->is_recorded)
        return;
    record->is_recorded = false;
    record->harmful_until = std::min(record->harmful_until.value_or(now), now);
}

std::vector<element_fingerprint> crash_attribution::take_expired(time_point now)
{
    auto out = std::exchange(released_, {});
    for (auto& [element, it] : records_)
        if (it.harmful_until && now >= *it.harmful_until && std::exchange(it.is_recorded, false))
            out.push_back(element);
    return out;
}

// Timers

void crash_attribution::announce_trials(time_point now)
{
    for (const auto element : on_trial_)
    {
        auto& it = *records_.at(element).active_trial;
        const bool is_due = it.verdict_at && now >= *it.verdict_at;
        if (!it.is_own || is_due || now - it.last_notice_at < options_.trial_interval)
            continue;
        it.last_notice_at = now;
        hooks_.broadcast({{}, {{element, it.endpoint}}, {}});
    }
}

void crash_attribution::conclude_due_trials(time_point now)
{
    std::map<endpoint_id_hash, std::vector<element_fingerprint>> due;
    for (const auto element : on_trial_)
        if (const auto& it = *records_.at(element).active_trial;
            it.is_own && it.verdict_at && now >= *it.verdict_at)
            due[it.endpoint].push_back(element);
    for (auto& [where, tried] : due)
    {
        // A conclusion may clear elements of the next one.
        std::erase_if(tried, [this](element_fingerprint it) { return !on_trial_.contains(it); });
        if (!tried.empty())
            conclude_trial(now, tried, where, true);
    }
}

void crash_attribution::tick(time_point now)
{
    if (flush_at_ && now >= *flush_at_)
        flush_ends(now);
    if (announce_at_ && now >= *announce_at_)
        announce_clearances(now);
    for (const auto it : std::set{pending_})
        if (now >= *records_.at(it).suspect_from)
            suspect(now, it);
    announce_trials(now);
    conclude_due_trials(now);
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
    if (announce_at_)
        add(*announce_at_);
    for (const auto element : pending_)
        add(*records_.at(element).suspect_from);
    for (const auto element : on_trial_)
        if (const auto& it = records_.at(element); it.active_trial->is_own)
            add(std::min(it.active_trial->verdict_at.value_or(time_point::max()),
                         it.active_trial->last_notice_at + options_.trial_interval));
    for (const auto& it : scheduled_resends_)
        add(it.at);
    return out;
}

} // namespace runlink::crashes
