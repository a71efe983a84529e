// Timers: deadlines, hedged requests, moves of stalled streams, and probes of silent endpoints.

#include <algorithm>
#include <utility>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{

void request_forwarder::arm(flow& it, time_point at)
{
    timers_.erase({it.check_at, it.id});
    it.check_at = at;
    timers_.insert({at, it.id});
}

time_point request_forwarder::next_check(const flow& it) const
{
    const auto part = [](milliseconds of, double share)
    { return std::chrono::duration_cast<core::duration>(of * share); };
    auto out = it.deadline;
    if (it.held_since)
        return std::min({out, it.last_progress + options_.hold_interval, plain_slot_at(it)});
    if (it.replace_at)
        out = std::min(out, *it.replace_at);
    if (it.matched_route->kind == route_kind::safe && !it.hedged)
        out = std::min(out, it.arrived + part(it.matched_route->target_latency, options_.hedge_after));
    if (it.matched_route->kind != route_kind::streaming || !it.matched_route->resumable)
        return out;
    const auto patience = it.head_forwarded ? part(it.matched_route->target_gap, options_.stall_after)
                                            : part(it.matched_route->target_latency, options_.move_after);
    return std::min({out, std::max(it.last_progress, it.move_denied_at) + patience, it.probe_at});
}

void request_forwarder::check(time_point now, flow& it)
{
    if (now >= it.deadline)
        return end_without_answer(now, it, core::errc::deadline_exceeded);
    const auto next = next_check(it);
    if (now < next)
        return arm(it, next);
    if (it.held_since)
        return recheck_held(now, it);
    if (it.replace_at && now >= *it.replace_at)
        return replace_ended(now, it);
    if (it.matched_route->kind == route_kind::safe)
        return hedge(now, it);
    if (now >= it.probe_at)
        return probe_endpoints(now, it);
    move(now, it);
}

void request_forwarder::probe_endpoints(time_point now, flow& it)
{
    it.probe_at = now + liveness_.options().probe_interval;
    const auto all = it.attempts;
    for (const auto id : all)
    {
        const auto& from = attempts_.at(id);
        if (from.may_have_run && is_path_lost(from))
        {
            replace(now, id, false);
            continue;
        }
        const auto* endpoint = endpoints_.find(from.endpoint);
        // An evacuated failure domain gets no connections, not even probes.
        if (from.may_have_run && endpoint != nullptr && !evacuations_.contains(endpoint->failure_domain) &&
            liveness_.try_probe(now, from.endpoint))
            ask(*endpoint);
    }
    arm(it, next_check(it));
}

void request_forwarder::replace_silent_attempts(time_point now, const endpoint_id& id,
                                                const core::instance_id& via, bool has_ended)
{
    // Only idempotent requests: one that may run only once is not given up because its endpoint is silent.
    std::vector<attempt_id> silent;
    for (const auto& [attempt, it] : attempts_)
    {
        const auto& of = flows_.at(it.flow);
        const auto last = std::max({of.last_progress, it.started, liveness_.last_heard(id)});
        // The endpoint may be reachable for the carriers of other attempts.
        const bool is_concerned = it.endpoint == id && (has_ended || it.via == via);
        if (is_concerned && it.may_have_run && of.matched_route->is_idempotent() &&
            now - last >= liveness_.options().probe_after)
            silent.push_back(attempt);
    }
    for (const auto attempt : silent)
        replace(now, attempt, has_ended);
}

void request_forwarder::hedge(time_point now, flow& it)
{
    it.hedged = true;
    const auto next = plan_successor(now, it, retry_cause::hedge);
    if (next && !next.value().is_trial)
    {
        send(now, it, next.value());
        ++counters_.hedges;
    }
    arm(it, next_check(it));
}

void request_forwarder::move(time_point now, flow& it)
{
    // A pause may end by itself. The last attempt is reserved for a broken connection, which only another
    // attempt can recover from.
    if (it.head_forwarded && input_of(now, it, retry_cause::move).runs_left == 1)
    {
        log_denial(now, it, succession_denial::last_attempt, "not_moved");
        it.move_denied_at = now;
        return arm(it, next_check(it));
    }
    move_with_last_attempt(now, it);
}

void request_forwarder::move_with_last_attempt(time_point now, flow& it)
{
    // The pause may end the use of its version, so it is counted before the next endpoint is chosen.
    if (plan_successor(now, it, retry_cause::move))
        for (const auto id : it.attempts)
            if (!attempts_.at(id).is_stalled)
                sample_given_up(now, it, attempts_.at(id), true);
    const auto next = plan_successor(now, it, retry_cause::move);
    if (!next)
    {
        log_denial(now, it, next.error(), "not_moved");
        it.move_denied_at = now;
        return arm(it, next_check(it));
    }
    auto line = describe(now, it, "moved");
    line.reason = "no_progress";
    hooks_.log(line);
    for (const auto id : it.attempts)
        if (auto& from = attempts_.at(id); !std::exchange(from.is_stalled, true))
            chooser_.answer_failed(now, from.endpoint);
    // The next endpoint may refuse the request, and then no other attempt may be left to continue with.
    if (!keeps_until_answered(it))
        cancel_attempts(now, it);
    send_retry(now, it, next.value());
}

bool request_forwarder::keeps_until_answered(const flow& it) const
{
    const auto* service = table_->find_service(it.service);
    return it.head_forwarded && service != nullptr && service->runs_models;
}

void request_forwarder::tick(time_point now)
{
    attribution_.tick(now);
    paths_.tick(now);
    apply_verdicts(now);
    announce_limits(now);
    announce_leaving(now);
    announce_counts(now);
    if (start_queue_.size() > 0)
        process_start_queue(now);
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        const auto id = timers_.begin()->second;
        timers_.erase(timers_.begin());
        const auto found = flows_.find(id);
        if (found != flows_.end())
            check(now, found->second);
    }
}

std::optional<time_point> request_forwarder::next_due() const
{
    if (!suspected_.empty() || !condemned_.empty())
        return time_point{};
    auto held = is_start_queue_ready_ && start_queue_.size() > 0 ? std::optional{time_point{}}
                                                                 : start_queue_.next_due();
    for (const auto& at :
         {attribution_.next_due(), bounds_.limits().next_due(), leaving_news_.next_due(), paths_.next_due()})
        if (at)
            held = std::min(held.value_or(*at), *at);
    if (load_active_.plain_load)
        if (const auto at = plain_.next_due(counts_checked_at_, waits_at_all()))
            held = std::min(held.value_or(*at), *at);
    if (timers_.empty() || !held)
        return timers_.empty() ? held : std::optional{timers_.begin()->first};
    return std::min(timers_.begin()->first, *held);
}

} // namespace runlink::routing
