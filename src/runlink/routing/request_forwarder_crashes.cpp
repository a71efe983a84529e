// Handling of requests that crash endpoints.

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{

crashes::crash_attribution::hooks request_forwarder::attribution_hooks()
{
    crashes::crash_attribution::hooks out;
    out.broadcast = [this](const crashes::crash_message& it) { hooks_.announce_crashes(it); };
    out.ended = [this](time_point now, crashes::endpoint_id_hash it) { on_endpoint_ended(now, it); };
    out.suspected = [this](time_point now, crashes::element_fingerprint it)
    {
        ++counters_.suspected;
        log_attribution(now, "request_suspected", it, "");
        suspected_.push_back(it);
    };
    out.marked_harmful = [this](time_point now, crashes::element_fingerprint it, bool is_own)
    {
        ++counters_.found_harmful;
        log_attribution(now, "request_harmful", it, is_own ? "found" : "told");
        condemned_.push_back(it);
        if (is_own)
            hooks_.found_harmful(it);
    };
    return out;
}

void request_forwarder::on_crash_news(time_point now, const crashes::crash_message& it)
{
    attribution_.on_message(now, it);
}

// Ends of endpoints

void request_forwarder::report_broken(time_point now, const flow& it, const attempt& from,
                                      bool probes_endpoint)
{
    const auto* endpoint = endpoints_.find(from.endpoint);
    // A leaving endpoint may end as planned.
    if (!from.may_have_run || endpoints_.is_leaving(from.endpoint))
        return;
    const bool is_first = attribution_.on_connection_broken(
        now, it.elements, crashes::hash_of_endpoint_id(from.endpoint), from.started);
    if (is_first && probes_endpoint && endpoint != nullptr &&
        !evacuations_.contains(endpoint->failure_domain))
        ask(*endpoint);
}

void request_forwarder::report_answered(time_point now, const flow& it, const attempt& from,
                                        bool ends_with_connection)
{
    if (!ends_with_connection)
        return attribution_.on_answered(now, it.elements);
    const auto* endpoint = endpoints_.find(from.endpoint);
    const bool is_unclear = attribution_.on_answered_until_close(
        now, it.elements, crashes::hash_of_endpoint_id(from.endpoint), from.started);
    if (is_unclear && endpoint != nullptr && !evacuations_.contains(endpoint->failure_domain))
        ask(*endpoint);
}

void request_forwarder::on_heard(time_point now, const endpoint_id& id)
{
    liveness_.heard(now, id);
    attribution_.on_heard(now, crashes::hash_of_endpoint_id(id));
}

void request_forwarder::report_endpoint_ended(time_point now, const endpoint_id& id, std::string_view how)
{
    ++counters_.endpoints_ended;
    decision line;
    line.event = "endpoint_ended";
    line.endpoint = id.str();
    line.reason = how;
    hooks_.log(line);
    attribution_.on_ended(now, crashes::hash_of_endpoint_id(id));
}

void request_forwarder::on_endpoint_ended(time_point now, crashes::endpoint_id_hash it)
{
    // The endpoint's entry stays listed for seconds. Without this, each instance would find out by losing a
    // request of its own.
    const auto* endpoint =
        endpoints_.find_if([&](const endpoint_entry& e) { return crashes::hash_of_endpoint_id(e.id) == it; });
    if (endpoint == nullptr)
        return;
    chooser_.connect_failed(now, endpoint->id);
    mark_unreachable_cold(now, endpoint->id);
}

// Suspected requests

void request_forwarder::isolate_suspects(time_point now, endpoint_need& need, bool is_trial) const
{
    const auto taken = attribution_.endpoints_on_trial(now);
    if (!is_trial && taken.empty())
        return;
    auto narrowed = need;
    narrowed.may_use = [this, now, taken, before = need.may_use](const endpoint_entry& it)
    {
        return before(it) && !chooser_.is_backing_off(now, it.id) &&
               !taken.contains(crashes::hash_of_endpoint_id(it.id));
    };
    if (is_trial)
    {
        auto least = std::numeric_limits<std::uint32_t>::max();
        for (const auto* it : endpoints_.usable(now, need.service))
            if (narrowed.may_use(*it) && !need.tried->contains(it->id))
                least = std::min(least, chooser_.in_flight(it->id));
        narrowed.may_use = [this, least, before = narrowed.may_use](const endpoint_entry& it)
        { return before(it) && chooser_.in_flight(it.id) <= least; };
    }
    // If every endpoint has an isolated run, requests are sent without this restriction.
    if (chooser_.peek(now, endpoints_, narrowed) != nullptr)
        need = std::move(narrowed);
}

void request_forwarder::hold(time_point now, flow& it)
{
    if (!it.held_since)
        it.held_since = now;
    it.last_progress = now;
}

void request_forwarder::recheck_held(time_point now, flow& it)
{
    const auto cause = it.sends > it.unsent ? retry_cause::loss : retry_cause::unsent;
    const auto next = plan_successor(now, it, cause);
    if (next && it.sends > 0)
        return send_retry(now, it, next.value());
    if (next)
    {
        send(now, it, next.value());
        return arm(it, next_check(it));
    }
    const bool waits_for_slot = next.error() == succession_denial::no_endpoint && may_wait(now, it);
    const bool waits_for_turn =
        next.error() == succession_denial::suspected || next.error() == succession_denial::allowance_spent;
    if (waits_for_slot)
        wait_for_slot(now, it);
    if (waits_for_slot || (waits_for_turn && now - *it.held_since < options_.max_hold_time))
    {
        it.last_progress = now;
        return arm(it, next_check(it));
    }
    it.denied = next.error();
    const bool has_no_place = next.error() == succession_denial::no_endpoint;
    if (has_no_place)
        ++counters_.without_place;
    end_without_answer(now, it,
                       has_no_place   ? core::errc::no_endpoint
                       : it.sends > 0 ? core::errc::endpoint_lost
                                      : core::errc::overloaded);
}

std::vector<flow_id> request_forwarder::flows_of(crashes::element_fingerprint it) const
{
    std::vector<flow_id> out;
    for (const auto& [id, e] : flows_)
        if (e.elements.contains(it))
            out.push_back(id);
    return out;
}

void request_forwarder::apply_verdicts(time_point now)
{
    for (const auto it : std::exchange(suspected_, {}))
        withdraw_copies(now, it);
    for (const auto it : std::exchange(condemned_, {}))
        end_copies(now, it);
}

void request_forwarder::withdraw_copies(time_point now, crashes::element_fingerprint it)
{
    // An answer, or a finding of another instance, may have cleared the request in the meantime.
    if (attribution_.judge(now, it) == crashes::permission::free)
        return;
    // Each request that is queued at an endpoint could crash that endpoint. A copy in an isolated run is
    // kept.
    for (const auto id : flows_of(it))
    {
        auto& e = flows_.at(id);
        const bool has_begun =
            std::any_of(e.attempts.begin(), e.attempts.end(),
                        [this](auto n) { return attempts_.at(n).has_head || attempts_.at(n).is_trial; });
        if (e.attempts.empty() || has_begun || !e.matched_route->is_idempotent())
            continue;
        const auto next = plan_successor(now, e, retry_cause::loss);
        const bool waits = !next && next.error() == succession_denial::suspected;
        // A plan denied as `suspected` has not looked for an endpoint yet.
        const bool has_place = !waits || chooser_.peek(now, endpoints_, need_of(now, e)) != nullptr;
        if (!has_place || (!next && !waits))
        {
            log_denial(now, e, has_place ? next.error() : succession_denial::no_endpoint, "not_withdrawn");
            continue;
        }
        for (const auto n : e.attempts)
            e.tried.erase(attempts_.at(n).endpoint); // the isolated run may use this endpoint
        cancel_attempts(now, e);
        hold(now, e);
        arm(e, next_check(e));
    }
}

void request_forwarder::end_copies(time_point now, crashes::element_fingerprint it)
{
    for (const auto id : flows_of(it))
        if (auto& e = flows_.at(id);
            !is_exempt_from_verdict(e) && attribution_.judge(now, e.elements) == crashes::permission::refused)
            end_without_answer(now, e, core::errc::request_harmful);
}

bool request_forwarder::is_exempt_from_verdict(const flow& it) const
{
    // An answer that has begun is evidence that the request is harmless, and the verdict may be wrong.
    const auto is_beyond = [&](attempt_id id)
    {
        const auto& e = attempts_.at(id);
        return e.has_head || (e.may_have_run && !it.matched_route->is_idempotent());
    };
    return it.head_forwarded || std::any_of(it.attempts.begin(), it.attempts.end(), is_beyond);
}

void request_forwarder::log_attribution(time_point now, std::string_view event,
                                        crashes::element_fingerprint it, std::string_view reason)
{
    const auto standing = attribution_.suspicion_of(now, it);
    decision line;
    line.event = event;
    line.reason = reason;
    (is_part(it) ? line.parts : line.content) = to_hex(it);
    line.ends = static_cast<std::int64_t>(standing.ends);
    line.trials = standing.trials;
    line.evidence_age_ms = std::chrono::floor<milliseconds>(standing.age).count();
    hooks_.log(line);
}

} // namespace runlink::routing
