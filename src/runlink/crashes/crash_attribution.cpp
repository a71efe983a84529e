#include "runlink/crashes/crash_attribution.hpp"

#include <algorithm>
#include <chrono>
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

crash_attribution::record* crash_attribution::find(request_fingerprint it)
{
    const auto found = records_.find(it);
    return found == records_.end() ? nullptr : &found->second;
}

const crash_attribution::record* crash_attribution::find(request_fingerprint it) const
{
    const auto found = records_.find(it);
    return found == records_.end() ? nullptr : &found->second;
}

crash_attribution::record& crash_attribution::at(time_point now, request_fingerprint it)
{
    auto [found, is_new] = records_.try_emplace(it);
    if (is_new)
        found->second.latest_end_at = now;
    return found->second;
}

bool crash_attribution::is_suspect(const record& it) const
{
    return it.on_probation || it.ends.size() >= options_.suspect_threshold;
}

bool crash_attribution::has_active_trial(time_point now, const record& it) const
{
    return it.active_trial &&
           (it.active_trial->is_own || now - it.active_trial->last_notice_at < options_.trial_timeout);
}

std::size_t crash_attribution::count_unconfirmed_losses(request_fingerprint it) const
{
    std::size_t out = 0;
    for (const auto& [endpoint, loss] : unconfirmed_losses_)
        for (const auto& e : loss.attempts)
            out += e.request == it ? 1 : 0;
    return out;
}

permission crash_attribution::judge(time_point now, request_fingerprint it) const
{
    static const record unknown;
    const auto* found = find(it);
    const auto& record = found == nullptr ? unknown : *found;
    if (record.harmful_until && now < *record.harmful_until)
        return permission::refused;
    if (has_active_trial(now, record))
        return permission::waits;
    if (is_suspect(record))
        return record.next_trial_at && now >= *record.next_trial_at ? permission::alone : permission::waits;
    // The cause of a broken connection is known within milliseconds. A copy that is sent before that may
    // crash another endpoint.
    const auto possible = record.ends.size() + count_unconfirmed_losses(it);
    return possible < options_.suspect_threshold ? permission::free : permission::waits;
}

suspicion crash_attribution::suspicion_of(time_point now, request_fingerprint it) const
{
    const auto* record = find(it);
    if (record == nullptr)
        return {};
    return {record->ends.size(), now - record->latest_end_at, record->trials};
}

duration crash_attribution::refusal_time_left(time_point now, request_fingerprint it) const
{
    const auto* record = find(it);
    return record != nullptr && record->harmful_until ? *record->harmful_until - now : duration{};
}

std::set<endpoint_id_hash> crash_attribution::endpoints_on_trial(time_point now) const
{
    std::set<endpoint_id_hash> out;
    for (const auto it : requests_on_trial_)
        if (const auto& record = records_.at(it); has_active_trial(now, record))
            out.insert(record.active_trial->endpoint);
    return out;
}

duration crash_attribution::trial_delay(request_fingerprint it) const
{
    const auto spread = static_cast<std::uint64_t>(duration{options_.max_trial_delay}.count());
    const auto mixed = core::stable_hash(to_hex(it), own_hash_);
    return duration{static_cast<duration::rep>(mixed % spread)};
}

bool crash_attribution::answered_since(request_fingerprint it, time_point when) const
{
    const auto found = answered_.find(it);
    return found != answered_.end() && found->second >= when;
}

// Ends of endpoints

bool crash_attribution::on_connection_broken(time_point now, request_fingerprint it, endpoint_id_hash where,
                                             time_point sent_at)
{
    if (ends_by_harmful_.contains(where))
        return false;
    const auto [found, is_new] = unconfirmed_losses_.try_emplace(where);
    if (is_new)
        found->second.at = now;
    found->second.attempts.push_back({it, sent_at});
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
    for (const auto it : requests_on_trial_)
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
    const auto found = unconfirmed_losses_.find(where);
    if (found == unconfirmed_losses_.end())
        return;
    found->second.has_ended = true;
    flush_at_ = flush_at_.value_or(now + options_.report_batch_window);
}

crash_report crash_attribution::report_of(time_point now, endpoint_id_hash ended,
                                          const unconfirmed_loss& it) const
{
    crash_report out;
    out.endpoint = ended;
    for (const auto& run : it.attempts)
        if (!answered_since(run.request, run.sent_at))
            out.running.push_back({run.request, std::chrono::ceil<milliseconds>(now - run.sent_at)});
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
            auto* record = find(run.request);
            if (record == nullptr)
                continue;
            record->own_ends.insert(it.endpoint);
            if (judge(now, run.request) == permission::refused)
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
                                   const std::vector<interrupted_request>& running)
{
    if (ends_by_harmful_.contains(ended))
        return;
    // A harmful request that ran on the endpoint explains its end.
    for (const auto& it : running)
        if (judge(now, it.request) == permission::refused)
            return attribute_to_harmful(ended);
    for (const auto& it : running)
        record_end_under(now, ended, it);
}

void crash_attribution::record_end_under(time_point now, endpoint_id_hash ended,
                                         const interrupted_request& of)
{
    const auto it = of.request;
    auto& record = at(now, it);
    const bool was_suspect = is_suspect(record);
    record.ends.emplace(ended, of.run_duration);
    record.latest_end_at = now;
    auto& tried = record.active_trial;
    if (tried && tried->endpoint == ended)
        record.trial_end = ended;
    if (tried && tried->is_own && tried->endpoint == ended)
    {
        tried->has_ended = true;
        tried->verdict_at = now + options_.verdict_delay;
    }
    if (!was_suspect && is_suspect(record) && answered_since(it, now - options_.answer_validity))
    {
        broadcast_finding(now, {it, request_effect::harmless});
        return clear(it);
    }
    if (!was_suspect && is_suspect(record))
    {
        schedule_trial(now, it, record);
        // Earlier reports may have been lost, and the instance that runs the next trial needs them to tell
        // ends under this request from chance ends.
        if (auto own = own_reports(it, record); !own.empty())
            hooks_.broadcast({std::move(own), {}, {}});
        hooks_.suspected(now, it);
    }
    evict_record();
}

// Expiry and eviction

void crash_attribution::expire(time_point now)
{
    std::erase_if(unconfirmed_losses_,
                  [&](const auto& it) {
                      return !it.second.has_ended && now - it.second.at >= options_.end_confirmation_timeout;
                  });
    for (auto& [request, it] : records_)
    {
        if (!it.harmful_until || now < *it.harmful_until || it.is_recorded)
            continue;
        // One more trial shows whether the request is still harmful.
        it.harmful_until.reset();
        it.on_probation = true;
        it.trials = 0;
        it.next_trial_at = now;
        it.latest_end_at = now;
    }
    std::vector<request_fingerprint> old;
    for (const auto& [request, it] : records_)
        if (!it.harmful_until && !has_active_trial(now, it) &&
            now - it.latest_end_at >= options_.record_retention)
            old.push_back(request);
    for (const auto it : old)
        clear(it);
}

void crash_attribution::evict_record()
{
    if (records_.size() <= options_.max_tracked_requests)
        return;
    // Evicts the oldest record of the account with the most records; harmful requests go last.
    std::map<std::uint64_t, std::size_t> by_account;
    for (const auto& [request, it] : records_)
        ++by_account[account_part(request)];
    const auto largest = std::max_element(by_account.begin(), by_account.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; })
                             ->first;
    auto oldest = records_.end();
    const auto rank = [](const record& it) {
        return std::pair{it.harmful_until.has_value(), it.latest_end_at};
    };
    for (auto it = records_.begin(); it != records_.end(); ++it)
        if (account_part(it->first) == largest &&
            (oldest == records_.end() || rank(it->second) < rank(oldest->second)))
            oldest = it;
    requests_on_trial_.erase(oldest->first);
    records_.erase(oldest);
}

} // namespace runlink::crashes
