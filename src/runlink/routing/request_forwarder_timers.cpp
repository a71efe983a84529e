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
        return std::min(out, it.last_progress + options_.hold_interval);
    if (it.leave_at)
        out = std::min(out, *it.leave_at);
    if (it.via->kind == route_kind::safe && !it.hedged)
        out = std::min(out, it.arrived + part(it.via->target_latency, options_.hedge_after));
    if (it.via->kind != route_kind::streaming || !it.via->resumable)
        return out;
    const auto patience = it.head_forwarded ? part(it.via->target_gap, options_.stall_after)
                                            : part(it.via->target_latency, options_.move_after);
    return std::min({out, std::max(it.last_progress, it.not_moved_at) + patience, it.ask_at});
}

void request_forwarder::check(time_point now, flow& it)
{
    if (now >= it.deadline)
        return end_without_answer(now, it, core::errc::deadline_exceeded);
    const auto next = next_check(it);
    if (now < next)
        return arm(it, next);
    if (it.held_since)
        return release(now, it);
    if (it.leave_at && now >= *it.leave_at)
        return leave_ended(now, it);
    if (it.via->kind == route_kind::safe)
        return hedge(now, it);
    if (now >= it.ask_at)
        return ask_endpoints(now, it);
    move(now, it);
}

void request_forwarder::ask_endpoints(time_point now, flow& it)
{
    it.ask_at = now + liveness_.options().ask_interval;
    for (const auto id : it.attempts)
    {
        const auto& from = attempts_.at(id);
        const auto* endpoint = endpoints_.find(from.endpoint);
        // An evacuated failure domain gets no connections, not even probes.
        if (from.may_have_run && endpoint != nullptr && !evacuations_.contains(endpoint->failure_domain) &&
            liveness_.try_ask(now, from.endpoint))
            hooks_.ask(*endpoint);
    }
    arm(it, next_check(it));
}

void request_forwarder::on_asked(time_point now, const endpoint_id& id, core::contact what)
{
    if (what == core::contact::answered)
    {
        attribution_.on_not_ended(now, crashes::life_hash(id));
        return liveness_.heard(now, id);
    }
    chooser_.not_reached(now, id);
    suspect_unreachable(now, id);
    const bool has_ended = what == core::contact::refused;
    replace_silent_attempts(now, id, has_ended);
    if (has_ended)
        note_ended(now, id, "refused");
    else
        attribution_.on_not_ended(now, crashes::life_hash(id));
}

void request_forwarder::replace_silent_attempts(time_point now, const endpoint_id& id, bool has_ended)
{
    // Only idempotent requests: one that may run only once is not given up because its endpoint is silent.
    std::vector<attempt_id> silent;
    for (const auto& [attempt, it] : attempts_)
    {
        const auto& of = flows_.at(it.flow);
        const auto last = std::max({of.last_progress, it.started, liveness_.last_heard(id)});
        if (it.endpoint == id && it.may_have_run && of.via->is_idempotent() &&
            now - last >= liveness_.options().ask_after)
            silent.push_back(attempt);
    }
    for (const auto attempt : silent)
        replace(now, attempt, has_ended);
}

void request_forwarder::hedge(time_point now, flow& it)
{
    it.hedged = true;
    const auto next = plan(now, it, true);
    if (next && !next.value().is_trial)
    {
        retries_.at(it.service).try_take(now);
        send(now, it, next.value());
        ++counters_.hedges;
    }
    arm(it, next_check(it));
}

void request_forwarder::move(time_point now, flow& it)
{
    // A pause may end by itself. The last attempt is reserved for a broken connection, which only another
    // attempt can recover from.
    if (it.head_forwarded && input_of(now, it, true).runs_left == 1)
    {
        note_denied(now, it, succession_denial::last_attempt, "not_moved");
        it.not_moved_at = now;
        return arm(it, next_check(it));
    }
    move_with_last_attempt(now, it);
}

void request_forwarder::move_with_last_attempt(time_point now, flow& it)
{
    // The pause may end the use of its version, so it is counted before the next endpoint is chosen.
    if (plan(now, it, true))
        for (const auto id : it.attempts)
            if (!attempts_.at(id).is_stalled)
                sample_given_up(now, it, attempts_.at(id), true);
    const auto next = plan(now, it, true);
    if (!next)
    {
        note_denied(now, it, next.error(), "not_moved");
        it.not_moved_at = now;
        return arm(it, next_check(it));
    }
    auto line = describe(now, it, "moved");
    line.reason = "no_progress";
    hooks_.log(line);
    for (const auto id : it.attempts)
        if (auto& from = attempts_.at(id); !std::exchange(from.is_stalled, true))
            chooser_.broke(now, from.endpoint);
    // The next endpoint may refuse the request, and then no other attempt may be left to continue with.
    if (!keeps_until_answered(it))
        cancel_attempts(now, it);
    repeat(now, it, next.value(), true);
}

bool request_forwarder::keeps_until_answered(const flow& it) const
{
    const auto* service = table_->find_service(it.service);
    return it.head_forwarded && service != nullptr && service->runs_models;
}

void request_forwarder::tick(time_point now)
{
    attribution_.tick(now);
    settle_verdicts(now);
    tell_limits(now);
    tell_leaving(now);
    if (start_queue_.size() > 0)
        take_held(now);
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
    auto held =
        may_release_ && start_queue_.size() > 0 ? std::optional{time_point{}} : start_queue_.next_due();
    for (const auto& at : {attribution_.next_due(), bounds_.limits().next_due(), leaving_news_.next_due()})
        if (at)
            held = std::min(held.value_or(*at), *at);
    if (timers_.empty() || !held)
        return timers_.empty() ? held : std::optional{timers_.begin()->first};
    return std::min(timers_.begin()->first, *held);
}

} // namespace runlink::routing
