#include "runlink/crashes/crash_attribution.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::crashes
{

endpoint_id_hash hash_of_endpoint_id(const core::endpoint_id& id)
{
    return endpoint_id_hash{core::stable_hash(id.str())};
}

crash_attribution::crash_attribution(attribution_options options, std::uint64_t own_hash, hooks to)
    : options_{std::move(options)}, own_hash_{own_hash}, hooks_{std::move(to)},
      ended_{options_.max_tracked_endpoints}, ends_by_harmful_{options_.max_tracked_endpoints}
{
}

// Records and permissions

crash_attribution::record* crash_attribution::find(element_fingerprint it)
{
    const auto found = records_.find(it);
    return found == records_.end() ? nullptr : &found->second;
}

const crash_attribution::record* crash_attribution::find(element_fingerprint it) const
{
    const auto found = records_.find(it);
    return found == records_.end() ? nullptr : &found->second;
}

crash_attribution::record& crash_attribution::at(time_point now, element_fingerprint it)
{
    auto [found, is_new] = records_.try_emplace(it);
    if (is_new)
        found->second.latest_end_at = now;
    return found->second;
}

bool crash_attribution::has_active_trial(time_point now, const record& it) const
{
    return it.active_trial &&
           (it.active_trial->is_own || now - it.active_trial->last_notice_at < options_.trial_timeout);
}

std::size_t crash_attribution::count_unconfirmed_losses(element_fingerprint it) const
{
    std::size_t out = 0;
    for (const auto& [endpoint, loss] : unconfirmed_losses_)
        for (const auto& e : loss.attempts)
            out += e.elements.contains(it) ? 1 : 0;
    return out;
}

bool crash_attribution::is_refused(time_point now, const std::vector<element_fingerprint>& among) const
{
    const auto is_among = [&](element_fingerprint it)
    { return std::find(among.begin(), among.end(), it) != among.end(); };
    return std::any_of(among.begin(), among.end(),
                       [&](element_fingerprint it)
                       {
                           const auto* record = find(it);
                           return record != nullptr && record->harmful_until &&
                                  now < *record->harmful_until &&
                                  std::all_of(record->companions.begin(), record->companions.end(), is_among);
                       });
}

permission crash_attribution::judge_element(time_point now, element_fingerprint it) const
{
    static const record unknown;
    const auto* found = find(it);
    const auto& record = found == nullptr ? unknown : *found;
    if (has_active_trial(now, record))
        return permission::waits;
    // Without its companions, an element that is harmful together with them is only suspected.
    if (is_suspect(record) || (record.harmful_until && now < *record.harmful_until))
        return record.next_trial_at && now >= *record.next_trial_at ? permission::alone : permission::waits;
    if (is_part(it))
        return permission::free;
    // The cause of a broken connection is known within milliseconds. A copy that is sent before that may
    // crash another endpoint.
    const auto possible = record.ends.size() + count_unconfirmed_losses(it);
    return possible < options_.suspect_threshold ? permission::free : permission::waits;
}

permission crash_attribution::judge(time_point now, const request_elements& of) const
{
    if (records_.empty() && unconfirmed_losses_.empty())
        return permission::free;
    const auto all = of.all();
    if (is_refused(now, all))
        return permission::refused;
    auto out = permission::free;
    for (const auto it : all)
    {
        const auto one = judge_element(now, it);
        if (one == permission::waits)
            return one;
        if (one == permission::alone)
            out = one;
    }
    return out;
}

suspicion crash_attribution::suspicion_of(time_point now, element_fingerprint it) const
{
    const auto* record = find(it);
    if (record == nullptr)
        return {};
    return {record->ends.size(), now - record->latest_end_at, record->trials};
}

duration crash_attribution::refusal_time_left(time_point now, const request_elements& of) const
{
    duration out{};
    const auto all = of.all();
    if (!is_refused(now, all))
        return out;
    for (const auto it : all)
        if (const auto* record = find(it); record != nullptr && record->harmful_until)
            out = std::max<duration>(out, *record->harmful_until - now);
    return out;
}

std::vector<element_fingerprint> crash_attribution::companions_of(element_fingerprint it) const
{
    const auto* record = find(it);
    return record == nullptr ? std::vector<element_fingerprint>{} : record->companions;
}

std::set<endpoint_id_hash> crash_attribution::endpoints_on_trial(time_point now) const
{
    std::set<endpoint_id_hash> out;
    for (const auto it : on_trial_)
        if (const auto& record = records_.at(it); has_active_trial(now, record))
            out.insert(record.active_trial->endpoint);
    return out;
}

duration crash_attribution::own_delay(element_fingerprint it, milliseconds max) const
{
    const auto spread = static_cast<std::uint64_t>(duration{max}.count());
    const auto mixed = core::stable_hash(to_hex(it), own_hash_);
    return duration{static_cast<duration::rep>(mixed % spread)};
}

bool crash_attribution::answered_since(element_fingerprint it, time_point when) const
{
    const auto found = answered_.find(it);
    return found != answered_.end() && found->second >= when;
}

// Ends of endpoints

bool crash_attribution::on_connection_broken(time_point now, const request_elements& of,
                                             endpoint_id_hash where, time_point sent_at)
{
    if (ends_by_harmful_.contains(where))
        return false;
    const auto [found, is_new] = unconfirmed_losses_.try_emplace(where);
    if (is_new)
        found->second.at = now;
    found->second.attempts.push_back({of, sent_at});
    if (!ended_.contains(where))
        return is_new;
    on_ended(now, where);
    return false;
}

void crash_attribution::on_end_not_confirmed(time_point now, endpoint_id_hash where)
{
    if (const auto found = unconfirmed_losses_.find(where);
        found != unconfirmed_losses_.end() && !found->second.has_ended)
        unconfirmed_losses_.erase(found);
    unproven_.take(where, now);
    for (const auto it : on_trial_)
        if (auto& trial = records_.at(it).active_trial;
            trial->is_own && trial->endpoint == where && trial->verdict_at)
            trial->verdict_at = now;
}

void crash_attribution::on_ended(time_point now, endpoint_id_hash where)
{
    if (ended_.insert(where))
    {
        rate_.ended(now, where);
        hooks_.ended(now, where);
    }
    for (auto& it : unproven_.take(where, now))
    {
        auto& loss = unconfirmed_losses_.try_emplace(where).first->second;
        loss.attempts.push_back({std::move(it.elements), it.sent_at});
    }
    const auto found = unconfirmed_losses_.find(where);
    if (found == unconfirmed_losses_.end())
        return;
    found->second.has_ended = true;
    flush_at_ = flush_at_.value_or(now + options_.report_batch_window);
}

crash_report crash_attribution::report_of(time_point now, endpoint_id_hash ended,
                                          const unconfirmed_loss& it) const
{
    std::map<element_fingerprint, time_point> first_sent;
    for (const auto& run : it.attempts)
        for (const auto e : run.elements.all())
            if (!answered_since(e, run.sent_at))
            {
                const auto found = first_sent.try_emplace(e, run.sent_at).first;
                found->second = std::min(found->second, run.sent_at);
            }
    crash_report out;
    out.endpoint = ended;
    for (const auto& [element, sent_at] : first_sent)
        out.running.push_back({element, std::chrono::ceil<milliseconds>(now - sent_at)});
    return out;
}

void crash_attribution::flush_ends(time_point now)
{
    flush_at_.reset();
    crash_message news;
    for (const auto& [endpoint, loss] : unconfirmed_losses_)
        if (loss.has_ended)
            news.reports.push_back(report_of(now, endpoint, loss));
    std::erase_if(unconfirmed_losses_, [](const auto& it) { return it.second.has_ended; });
    if (news.reports.size() > options_.max_simultaneous_ends)
        return;
    std::erase_if(news.reports, [](const auto& it) { return it.running.empty(); });
    if (news.empty())
        return;
    hooks_.broadcast(news);
    std::vector<crash_report> by_suspects;
    std::vector<crash_report> explained;
    for (const auto& it : news.reports)
    {
        record_end(now, it.endpoint, it.running);
        crash_report suspects{it.endpoint, {}};
        crash_report harmful{it.endpoint, {}};
        for (const auto& run : it.running)
        {
            auto* record = find(run.element);
            if (record == nullptr)
                continue;
            record->own_ends.insert(it.endpoint);
            if (record->harmful_until && now < *record->harmful_until)
                harmful.running.push_back(run);
            else if (is_suspect(*record))
                suspects.running.push_back(run);
        }
        if (!suspects.running.empty())
            by_suspects.push_back(std::move(suspects));
        if (!harmful.running.empty())
            explained.push_back(std::move(harmful));
    }
    if (!by_suspects.empty())
        scheduled_resends_.push_back({now + options_.verdict_delay / 2, {by_suspects, {}, {}}});
    schedule_report_resends(now, explained);
}

void crash_attribution::record_end(time_point now, endpoint_id_hash ended,
                                   const std::vector<interrupted_element>& running)
{
    if (ends_by_harmful_.contains(ended))
        return;
    std::vector<element_fingerprint> all;
    all.reserve(running.size());
    for (const auto& it : running)
        all.push_back(it.element);
    // A harmful element of a request that ran on the endpoint explains its end.
    if (is_refused(now, all))
        return attribute_to_harmful(ended);
    for (const auto& it : running)
        record_end_under(now, ended, it);
}

void crash_attribution::record_end_under(time_point now, endpoint_id_hash ended,
                                         const interrupted_element& of)
{
    const auto it = of.element;
    if (is_part(it) && answered_since(it, now - options_.answer_validity))
        return clear_and_announce(now, it);
    auto& record = at(now, it);
    record.ends.emplace(ended, of.run_duration);
    record.latest_end_at = now;
    auto& tried = record.active_trial;
    if (tried && tried->ran_at(ended))
        record.trial_end = ended;
    if (tried && tried->is_own && tried->ran_at(ended))
    {
        tried->has_ended = true;
        tried->verdict_at = now + options_.verdict_delay;
    }
    const bool is_new = !is_suspect(record) && !record.suspect_from;
    if (is_new && record.ends.size() >= options_.suspect_threshold)
        consider_suspicion(now, it);
    evict_record();
}

void crash_attribution::consider_suspicion(time_point now, element_fingerprint it)
{
    if (is_part(it))
    {
        records_.at(it).suspect_from = now + options_.clearance_time;
        pending_.insert(it);
        return;
    }
    if (!answered_since(it, now - options_.answer_validity))
        return suspect(now, it);
    broadcast_finding(now, {it, element_effect::harmless});
    clear(it);
}

void crash_attribution::clear_and_announce(time_point now, element_fingerprint part)
{
    clear(part);
    clearances_.insert(part);
    const auto at = now + own_delay(element_fingerprint{}, options_.max_clearance_delay);
    announce_at_ = std::min(announce_at_.value_or(at), at);
}

void crash_attribution::suspect(time_point now, element_fingerprint it)
{
    auto& record = records_.at(it);
    record.suspect_from.reset();
    pending_.erase(it);
    record.is_suspect = true;
    schedule_trial(now, it, record);
    // Earlier reports may have been lost, and the instance that runs the next trial needs them to tell ends
    // under this element from chance ends.
    if (auto own = own_reports(it, record); !own.empty())
        hooks_.broadcast({std::move(own), {}, {}});
    hooks_.suspected(now, it);
}

void crash_attribution::announce_clearances(time_point now)
{
    announce_at_.reset();
    crash_message news;
    for (const auto it : std::exchange(clearances_, {}))
        news.findings.push_back({it, element_effect::harmless});
    if (news.empty())
        return;
    hooks_.broadcast(news);
    for (const auto after : options_.resend_delays)
        scheduled_resends_.push_back({now + after, news});
}

// Expiry and eviction

void crash_attribution::expire(time_point now)
{
    std::erase_if(unconfirmed_losses_,
                  [&](const auto& it) {
                      return !it.second.has_ended && now - it.second.at >= options_.end_confirmation_timeout;
                  });
    unproven_.expire(now - options_.unproven_retention);
    for (auto& [request, it] : records_)
    {
        if (!it.harmful_until || now < *it.harmful_until || it.is_recorded)
            continue;
        // One more trial shows whether the element is still harmful.
        it.harmful_until.reset();
        it.companions.clear();
        it.on_probation = true;
        it.trials = 0;
        it.next_trial_at = now;
        it.latest_end_at = now;
    }
    std::vector<element_fingerprint> old;
    for (const auto& [request, it] : records_)
        if (!it.harmful_until && !has_active_trial(now, it) &&
            now - it.latest_end_at >= options_.record_retention)
            old.push_back(request);
    for (const auto it : old)
        clear(it);
}

void crash_attribution::evict_record()
{
    if (records_.size() <= options_.max_tracked_elements)
        return;
    // Evicts the oldest record of the account with the most records; suspects and harmful elements go last.
    // Parts count as one account, and an account can name as many parts as it likes.
    std::map<std::uint64_t, std::size_t> by_account;
    for (const auto& [request, it] : records_)
        ++by_account[account_part(request)];
    const auto largest = std::max_element(by_account.begin(), by_account.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; })
                             ->first;
    auto oldest = records_.end();
    const auto rank = [this](const record& it)
    {
        const bool is_evident = it.ends.size() >= options_.suspect_threshold;
        return std::tuple{it.harmful_until.has_value(), is_evident, it.latest_end_at};
    };
    for (auto it = records_.begin(); it != records_.end(); ++it)
        if (account_part(it->first) == largest &&
            (oldest == records_.end() || rank(it->second) < rank(oldest->second)))
            oldest = it;
    on_trial_.erase(oldest->first);
    pending_.erase(oldest->first);
    records_.erase(oldest);
}

} // namespace runlink::crashes
