// Whether an attempt may be replaced by another one, and the handling of denials.

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

/// Two decimals.
std::string text_of(double it)
{
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), it, std::chars_format::fixed, 2).ptr;
    return {buf.data(), end};
}

} // namespace

crashes::permission request_forwarder::content_permission(time_point now, const flow& it) const
{
    // An isolated run does not block its own successor: if the run hangs it is replaced, because all copies
    // of the request wait for it.
    const bool is_trial = std::any_of(it.attempts.begin(), it.attempts.end(),
                                      [this](attempt_id id) { return attempts_.at(id).is_trial; });
    if (is_trial && attribution_.may_repeat_trial(it.elements))
        return crashes::permission::alone;
    return attribution_.judge(now, it.elements);
}

succession_input request_forwarder::input_of(time_point now, const flow& it, retry_cause cause)
{
    // Attempts that are still connecting may run too.
    auto runs = it.runs;
    for (const auto id : it.attempts)
        runs += attempts_.at(id).may_have_run ? 0 : 1;
    const auto left = [](std::uint32_t of, std::uint32_t used) { return of > used ? of - used : 0; };
    succession_input out;
    out.may_repeat = it.matched_route->is_idempotent() || runs == 0;
    out.may_resume = it.position.may_resume();
    out.runs_left = left(std::max(it.matched_route->max_attempts, 1U), runs);
    out.sends_left = std::min(left(options_.max_sends, it.sends - it.unsent),
                              left(options_.max_unsent_attempts, it.unsent));
    out.time_left = it.deadline - now;
    out.min_time_left = options_.min_time_left;
    out.key = key_state_of(now, it);
    out.content = content_permission(now, it);
    out.cause = cause;
    out.allowance_left = allowance_left(now, it.service) - reserve_fraction(cause) * retry_share_.at(now);
    return out;
}

succession request_forwarder::plan_successor(time_point now, const flow& it, retry_cause cause)
{
    const auto in = input_of(now, it, cause);
    if (const auto why = find_denial(in))
    {
        if (*why == succession_denial::allowance_spent)
            ++counters_.retries_unaffordable;
        return *why;
    }
    successor out;
    out.cause = cause;
    out.is_trial = in.content == crashes::permission::alone;
    auto need = need_of(now, it);
    isolate_suspects(now, need, out.is_trial);
    out.endpoint = choose_endpoint(now, it, need);
    if (out.endpoint == nullptr)
        return succession_denial::no_endpoint;
    out.prompt = std::move(need.prompt);
    return out;
}

void request_forwarder::send_retry(time_point now, flow& it, const successor& to)
{
    ++counters_.repeats;
    if (it.head_forwarded)
        ++counters_.resumed;
    send(now, it, to);
    arm(it, next_check(it));
}

std::optional<succession_denial> request_forwarder::try_replace(time_point now, attempt_id id)
{
    auto& from = attempts_.at(id);
    auto& it = flows_.at(from.flow);
    // The loss may end the use of its version, so it is counted before the next endpoint is chosen.
    if (!may_be_path_loss(from) && plan_successor(now, it, retry_cause::loss))
        sample_end(now, it, from, true);
    const auto next = plan_successor(now, it, retry_cause::loss);
    if (!next)
        return next.error();
    hooks_.cancel(id);
    record_loss(now, id, attempt_loss::broken);
    send_retry(now, it, next.value());
    return std::nullopt;
}

void request_forwarder::replace(time_point now, attempt_id id, bool has_ended)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto& it = flows_.at(found->second.flow);
    if (has_ended)
        report_broken(now, it, found->second, false);
    const auto why = try_replace(now, id);
    if (!why)
        return;
    if (has_ended && is_temporary(*why))
    {
        attempts_.at(id).has_ended = true;
        it.replace_at = now + options_.replace_interval;
        arm(it, next_check(it));
    }
    log_denial(now, it, *why, "not_replaced");
}

void request_forwarder::replace_ended(time_point now, flow& it)
{
    it.replace_at.reset();
    const auto all = it.attempts;
    for (const auto id : all)
    {
        if (!attempts_.at(id).has_ended)
            continue;
        const auto why = try_replace(now, id);
        if (!why)
            return;
        if (is_temporary(*why))
            it.replace_at = now + options_.replace_interval;
    }
    arm(it, next_check(it));
}

void request_forwarder::retry_or_end(time_point now, flow& it, core::errc why, retry_cause cause)
{
    if (!it.attempts.empty())
    {
        // The successor of a stalled stream has failed: try the next one without waiting again.
        const bool are_stalled = std::all_of(it.attempts.begin(), it.attempts.end(),
                                             [this](attempt_id id) { return attempts_.at(id).is_stalled; });
        if (are_stalled)
            move_with_last_attempt(now, it);
        return;
    }
    const auto next = plan_successor(now, it, cause);
    if (next)
        return send_retry(now, it, next.value());
    if (next.error() == succession_denial::suspected)
    {
        hold(now, it);
        return arm(it, next_check(it));
    }
    if (next.error() == succession_denial::no_endpoint && may_wait(now, it))
    {
        wait_for_slot(now, it);
        return arm(it, next_check(it));
    }
    it.denied = next.error();
    const bool is_spent = next.error() == succession_denial::allowance_spent;
    end_without_answer(now, it, is_spent ? core::errc::overloaded : why);
}

void request_forwarder::log_denial(time_point now, flow& it, succession_denial why, std::string_view event)
{
    it.denied = why;
    ++counters_.successors_denied;
    auto line = describe(now, it, event);
    line.content = to_hex(it.elements.content);
    line.attempt = it.sends;
    line.time_left_ms = std::chrono::floor<milliseconds>(it.deadline - now).count();
    describe_denial(now, it, line);
    hooks_.log(line);
}

double request_forwarder::allowance_left(time_point now, const service_id& of)
{
    retry_share_.set_instances(now, bounds_.warm_up().instances().size());
    return retries_.at(of).left(now, retry_share_);
}

void request_forwarder::describe_allowance(time_point now, const flow& it, decision& to)
{
    to.service = it.service.str();
    to.allowance_share = text_of(retry_share_.at(now));
    to.instances = static_cast<std::int64_t>(retry_share_.instances());
    to.allowance_left = static_cast<std::int64_t>(std::max(allowance_left(now, it.service), 0.0));
}

void request_forwarder::describe_denial(time_point now, const flow& it, decision& to)
{
    if (!it.denied)
        return;
    to.denied = lacks_room(now, it) ? "no_room" : to_string(*it.denied);
    to.key_gone_ms = time_since_key_valid(now, it).count();
    describe_allowance(now, it, to);
    to.endpoints_fitting =
        static_cast<std::int64_t>(chooser_.fitting(now, endpoints_, need_of(now, it)).size());
    const auto limited = restricted_slots(now, it, sender::any);
    if (limited.empty())
        return;
    to.endpoints_limited = static_cast<std::int64_t>(limited.size());
    to.endpoints_resting = static_cast<std::int64_t>(bounds_.rests().count_resting(now));
    if (const auto at = slot_behind(slot_queue_.count_before(it.service, queue_entry_of(it)), limited))
        to.place_ms = std::chrono::ceil<milliseconds>(*at - now).count();
}

} // namespace runlink::routing
