// What becomes of attempts: answers, streams, losses, and the final word.

#include <algorithm>
#include <utility>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_server_error = 500;
constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

} // namespace

// Answers

void request_forwarder::on_answer(time_point now, attempt_id id, const attempt_head& head)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    const bool refused = head.not_run || head.status == status_misdirected;
    const bool is_invalid = is_success(head.status) && !head.is_sealed;
    const bool is_bad = is_invalid || head.status >= first_server_error;
    // An endpoint that fails at once has not run the request: that clears no suspect.
    if (!refused && !is_bad)
        attribution_.on_answered(now, it->fingerprint);
    auto from = take_attempt(now, id);
    liveness_.heard(now, from->endpoint);
    auto line = describe(now, *it, refused ? "endpoint_refused" : "endpoint_answered");
    line.endpoint = from->endpoint.str();
    line.version = from->version.str();
    line.status = head.status;
    line.attempt = from->number;
    hooks_.log(line);
    if (refused)
    {
        ++counters_.endpoint_refusals;
        if (from->may_have_run)
            --it->runs;
        chooser_.refused(now, from->endpoint);
        return again_or_end(now, *it, core::errc::endpoint_refused, true);
    }
    sample_end(now, *it, *from, is_bad);
    if (!is_bad)
        chooser_.answered(from->endpoint);
    if (is_invalid)
    {
        chooser_.broke(now, from->endpoint);
        return again_or_end(now, *it, core::errc::endpoint_answer_invalid, true);
    }
    if (is_bad && !it->attempts.empty())
        return; // another attempt is under way
    if (is_bad && it->via->is_idempotent() && !it->head_forwarded && may_send_again(now, *it) &&
        retries_.at(it->service).try_take(now))
    {
        ++counters_.repeats;
        if (dispatch(now, *it))
            return arm(*it, next_check(*it));
    }
    if (it->head_forwarded)
        return end_without_answer(now, *it, core::errc::endpoint_answer_invalid);
    cancel_attempts(now, *it);
    ++counters_.answered;
    hooks_.forward_answer(it->id, id);
    finish(now, *it, "answered", head.status);
}

// Streams

void request_forwarder::on_stream_head(time_point now, attempt_id id, const attempt_head& head)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    auto& from = attempts_.at(id);
    liveness_.heard(now, from.endpoint);
    it->ask_at = now + liveness_.options().ask_after;
    if (!head.is_sealed)
    {
        sample_end(now, *it, from, true);
        chooser_.broke(now, from.endpoint);
        take_attempt(now, id);
        hooks_.cancel(id);
        return again_or_end(now, *it, core::errc::endpoint_answer_invalid, true);
    }
    prompt_read(now, from);
    it->last_progress = now;
    sample_head(now, *it, from);
    if (it->head_forwarded)
        return; // a resumed stream keeps the head of its first endpoint
    if (head.confidence && !it->via->model_sizes.empty() && it->request.model.empty())
    {
        if (!cascade_.accepts(cascade_input_of(now, *it, *head.confidence)))
            return escalate(now, *it, id, *head.confidence);
    }
    auto line = describe(now, *it, "stream_began");
    line.endpoint = from.endpoint.str();
    line.version = from.version.str();
    line.model = from.model.str();
    line.confidence = head.confidence.value_or(-1);
    hooks_.log(line);
    it->head_forwarded = true;
    hooks_.forward_head(it->id, id);
    arm(*it, next_check(*it)); // a pause between events is noticed sooner than a late first one
}

cascade_input request_forwarder::cascade_input_of(time_point now, const flow& it, int confidence)
{
    cascade_input out;
    out.size = it.size;
    out.sizes = it.via->model_sizes.size();
    out.confidence = confidence;
    out.elapsed = now - it.arrived;
    out.target_latency = it.via->target_latency;
    out.may_retry = may_send_again(now, it) && retries_.at(it.service).left(now) >= 1;
    if (out.size + 1 >= out.sizes)
        return out;
    auto larger = it;
    larger.size = cascade_policy::next_size(out);
    larger.tried.clear();
    const auto expected = expect(now, larger);
    if (!expected)
        return out;
    out.larger_wait = expected->wait;
    out.larger_read = expected->work;
    return out;
}

void request_forwarder::escalate(time_point now, flow& it, attempt_id from, int confidence)
{
    auto line = describe(now, it, "escalated");
    line.confidence = confidence;
    line.endpoint = attempts_.at(from).endpoint.str();
    hooks_.log(line);
    ++counters_.escalated;
    take_attempt(now, from);
    hooks_.cancel(from);
    cascade_input in;
    in.sizes = it.via->model_sizes.size();
    it.size = cascade_policy::next_size(in);
    it.tried.clear(); // another model may be kept at the same endpoint
    again_or_end(now, it, core::errc::endpoint_answer_invalid, true);
}

void request_forwarder::on_stream_event(time_point now, attempt_id id, std::string_view event,
                                        std::optional<std::uint64_t> event_id)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    auto& from = attempts_.at(id);
    if (!from.first_event)
        from.first_event = now;
    ++from.events;
    liveness_.heard(now, from.endpoint);
    it->last_progress = now;
    it->ask_at = now + liveness_.options().ask_after;
    if (event_id && it->last_event && *event_id <= *it->last_event)
        return; // the caller has it
    if (event_id)
        it->last_event = event_id;
    hooks_.forward_bytes(it->id, event);
}

void request_forwarder::on_stream_end(time_point now, attempt_id id)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    // The rest of a stream that has no event left says nothing of what its run does to an endpoint.
    if (attempts_.at(id).events > 0)
        attribution_.on_answered(now, it->fingerprint);
    auto from = take_attempt(now, id);
    sample_end(now, *it, *from, false);
    pin(now, *it, from->version);
    chooser_.answered(from->endpoint);
    ++counters_.answered;
    hooks_.forward_end(it->id);
    finish(now, *it, "answered", first_success);
}

// Losses

void request_forwarder::on_lost(time_point now, attempt_id id, attempt_loss loss)
{
    lose(now, id, loss, true);
}

void request_forwarder::lose(time_point now, attempt_id id, attempt_loss loss, bool asks_endpoint)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    if (loss == attempt_loss::broken)
        note_broken(now, *it, attempts_.at(id), asks_endpoint);
    auto from = take_attempt(now, id);
    ++counters_.attempts_lost;
    auto line = describe(now, *it, "attempt_lost");
    line.endpoint = from->endpoint.str();
    line.reason = loss == attempt_loss::not_sent ? "not_sent" : "broken";
    line.content = to_hex(it->fingerprint);
    line.attempt = from->number;
    hooks_.log(line);
    if (loss == attempt_loss::not_sent)
    {
        ++it->unsent;
        chooser_.not_reached(now, from->endpoint);
        suspect_unreachable(now, from->endpoint);
    }
    else
    {
        sample_end(now, *it, *from, true);
        chooser_.broke(now, from->endpoint);
    }
    const auto endpoint = from->endpoint;
    again_or_end(now, *it, core::errc::endpoint_lost, loss != attempt_loss::not_sent);
    if (loss == attempt_loss::not_sent)
        lose_silent_attempts(now, endpoint);
}

bool request_forwarder::may_send_again(time_point now, const flow& it) const
{
    // Attempts that are still connecting may run as well.
    auto runs = it.runs;
    for (const auto id : it.attempts)
        runs += attempts_.at(id).may_have_run ? 0 : 1;
    const bool may_repeat = it.via->is_idempotent() || runs == 0;
    return may_repeat && it.sends - it.unsent < options_.max_sends && it.unsent < options_.max_unsent &&
           runs < std::max(it.via->max_attempts, 1U) && it.deadline - now > options_.least_time;
}

void request_forwarder::again_or_end(time_point now, flow& it, core::errc why, bool costs_budget)
{
    if (!it.attempts.empty())
        return;
    it.denied = denial_of(now, it, costs_budget);
    if (!may_send_again(now, it))
        return end_without_answer(now, it, why);
    if (costs_budget && !retries_.at(it.service).try_take(now))
        return end_without_answer(now, it, core::errc::overloaded);
    ++counters_.repeats;
    if (it.head_forwarded)
        ++counters_.resumed;
    if (!dispatch(now, it))
        return end_without_answer(now, it, why);
    arm(it, next_check(it));
}

// Endings

void request_forwarder::end_without_answer(time_point now, flow& it, core::errc why)
{
    cancel_attempts(now, it);
    if (attribution_.judge(now, it.fingerprint) == crashes::permission::refused)
    {
        why = core::errc::request_harmful;
        ++counters_.harmful_refused;
    }
    if (it.head_forwarded)
    {
        ++counters_.broken;
        hooks_.break_off(it.id);
        return finish(now, it, to_string(why), -1);
    }
    refusal out;
    out.not_run = it.runs == 0;
    out.why = {why, it.service.str(), retry_after(now, it)};
    if (out.not_run)
        ++counters_.refused;
    else
        ++counters_.failed;
    out.status = out.not_run                            ? status_unavailable
                 : why == core::errc::deadline_exceeded ? status_gateway_timeout
                                                        : status_bad_gateway;
    hooks_.refuse(it.id, out);
    finish(now, it, to_string(why), out.status);
}

void request_forwarder::finish(time_point now, flow& it, std::string_view outcome, int status)
{
    auto line = describe(now, it, "ended");
    line.reason = outcome;
    line.content = to_hex(it.fingerprint);
    line.status = status;
    line.attempt = it.sends;
    if (outcome != "answered")
        describe_denial(now, it, line);
    line.outcome = outcome == "answered" ? core::run_outcome::ran
                   : it.runs == 0        ? core::run_outcome::not_run
                                         : core::run_outcome::unknown;
    hooks_.log(line);
    hooks_.ended(line, now - it.arrived);
    timers_.erase({it.check_at, it.id});
    flows_.erase(it.id);
}

decision request_forwarder::describe(time_point now, const flow& it, std::string_view event) const
{
    decision out;
    out.event = event;
    out.request = it.request.id.str();
    out.account = it.account.str();
    out.route = it.via == nullptr ? std::string{} : it.via->name;
    out.elapsed_ms = std::chrono::floor<milliseconds>(now - it.arrived).count();
    if (proven_at_)
        out.proof_age_ms = std::chrono::floor<milliseconds>(now - *proven_at_).count();
    if (it.table)
        out.table_version = static_cast<std::int64_t>(it.table->version());
    return out;
}

} // namespace runlink::routing
