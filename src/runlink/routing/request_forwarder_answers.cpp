// Results of attempts: answers, streams, losses, and the end of a request.

#include <algorithm>
#include <utility>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

std::string_view to_string(attempt_loss it)
{
    switch (it)
    {
    case attempt_loss::not_sent: return "not_sent";
    case attempt_loss::not_carried: return "not_carried";
    case attempt_loss::withheld: return "withheld";
    case attempt_loss::broken: return "broken";
    }
    return "unknown";
}

} // namespace

// Answers

void request_forwarder::on_answer(time_point now, attempt_id id, const attempt_head& head)
{
    auto* request_flow = find(id);
    if (request_flow == nullptr)
        return;
    const bool refused = head.not_run || head.status == status_misdirected;
    const bool is_invalid = head.status.is_success() && !head.is_sealed;
    const bool is_bad = is_invalid || head.status.is_server_error();
    // An endpoint may fail at once without running the request, so an error does not clear a suspected
    // request.
    if (!refused && !is_bad)
        report_answered(now, *request_flow, attempts_.at(id), head.ends_with_connection);
    auto from = take_attempt(now, id);
    on_heard(now, from->endpoint);
    if (from->is_plain && (head.not_run || !is_bad))
        note_plain_answer(now, *from, head.not_run);
    auto line = describe(now, *request_flow, refused ? "endpoint_refused" : "endpoint_answered");
    line.endpoint = from->endpoint.str();
    line.version = from->version.str();
    line.status = head.status.value();
    line.attempt = from->number;
    hooks_.log(line);
    if (refused)
    {
        ++counters_.endpoint_refusals;
        if (from->may_have_run)
            --request_flow->runs;
        chooser_.refused(now, from->endpoint);
        bounds_.brittle().refused(now, from->endpoint);
        return retry_or_end(now, *request_flow, core::errc::endpoint_refused, retry_cause::loss);
    }
    bounds_.rests().on_accepted(from->endpoint, from->started);
    note_run(*request_flow);
    sample_end(now, *request_flow, *from, is_bad);
    if (!is_bad)
        chooser_.answered(from->endpoint);
    if (is_invalid)
    {
        chooser_.answer_failed(now, from->endpoint);
        return retry_or_end(now, *request_flow, core::errc::endpoint_answer_invalid, retry_cause::loss);
    }
    if (is_bad && !request_flow->attempts.empty() && !request_flow->head_forwarded)
        return; // another attempt is active
    if (request_flow->head_forwarded)
        return retry_or_end(now, *request_flow, core::errc::endpoint_answer_invalid, retry_cause::loss);
    if (is_bad && request_flow->matched_route->is_idempotent())
        if (const auto next = plan_successor(now, *request_flow, retry_cause::loss))
            return send_retry(now, *request_flow, next.value());
    cancel_attempts(now, *request_flow);
    ++counters_.answered;
    hooks_.forward_answer(request_flow->id, id);
    finish(now, *request_flow, "answered", head.status.value());
}

void request_forwarder::note_run(flow& it)
{
    if (!std::exchange(it.run_counted, true) && !it.account.empty())
        hooks_.run_began(it.account);
}

std::map<service_id, std::uint32_t> request_forwarder::running() const
{
    std::map<service_id, std::uint32_t> out;
    for (const auto& [id, it] : attempts_)
        ++out[flows_.at(it.flow).service];
    return out;
}

// Streams

void request_forwarder::on_stream_head(time_point now, attempt_id id, const attempt_head& head)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    auto& from = attempts_.at(id);
    from.has_ended = false;
    from.ends_with_connection = head.ends_with_connection;
    on_heard(now, from.endpoint);
    bounds_.rests().on_accepted(from.endpoint, from.started);
    it->probe_at = now + liveness_.options().probe_after;
    note_run(*it);
    if (!head.is_sealed)
    {
        sample_end(now, *it, from, true);
        chooser_.answer_failed(now, from.endpoint);
        take_attempt(now, id);
        hooks_.cancel(id);
        return retry_or_end(now, *it, core::errc::endpoint_answer_invalid, retry_cause::loss);
    }
    on_prompt_read(now, from);
    begin_stream(now, from);
    it->last_progress = now;
    sample_head(now, *it, from);
    if (it->head_forwarded)
        return cancel_others(now, *it, id); // a resumed stream keeps the head of its first endpoint
    if (head.confidence && try_escalate(now, *it, id, *head.confidence))
        return;
    auto line = describe(now, *it, "stream_began");
    line.endpoint = from.endpoint.str();
    line.version = from.version.str();
    line.model = from.model.str();
    line.confidence = head.confidence.value_or(-1);
    hooks_.log(line);
    it->head_forwarded = true;
    hooks_.forward_head(it->id, id);
    arm(*it, next_check(*it)); // the limit for a pause between events is shorter than for the first event
}

cascade_input request_forwarder::cascade_input_of(time_point now, const flow& it, int confidence,
                                                  const succession& larger)
{
    cascade_input out;
    out.size = it.model_index;
    out.sizes = it.matched_route->model_sizes.size();
    out.confidence = confidence;
    out.elapsed = now - it.arrived;
    out.target_latency = it.matched_route->target_latency;
    out.may_retry = larger.has_value();
    if (!larger || !larger.value().prompt)
        return out;
    const auto expected = chooser_.placement().expect(now, *larger.value().endpoint, *larger.value().prompt);
    out.larger_wait = expected.wait;
    out.larger_read = expected.work;
    return out;
}

bool request_forwarder::try_escalate(time_point now, flow& it, attempt_id from, int confidence)
{
    const bool has_larger = it.model_index + 1 < it.matched_route->model_sizes.size();
    if (!has_larger || !it.request.model.empty())
        return false;
    if (load_active_.model_choice)
        if (const auto asked = try_choose_model(now, it, from, confidence))
            return *asked;
    auto larger = it;
    larger.model_index = it.matched_route->model_sizes.size() - 1;
    larger.tried.clear(); // the same endpoint may run the larger model
    const auto next = plan_successor(now, larger, retry_cause::escalation);
    const auto in = cascade_input_of(now, it, confidence, next);
    if (!next && confidence < cascade_.threshold(in))
        log_denial(now, it, next.error(), "not_escalated");
    if (cascade_.accepts(in))
        return false;
    auto line = describe(now, it, "escalated");
    line.confidence = confidence;
    line.endpoint = attempts_.at(from).endpoint.str();
    hooks_.log(line);
    ask_larger(now, it, from, larger.model_index, next.value());
    return true;
}

void request_forwarder::ask_larger(time_point now, flow& it, attempt_id from, std::size_t size,
                                   const successor& to)
{
    ++counters_.escalated;
    take_attempt(now, from);
    hooks_.cancel(from);
    it.model_index = size;
    it.tried.clear();
    send_retry(now, it, to);
}

void request_forwarder::on_stream_event(time_point now, attempt_id id, std::string_view event,
                                        std::optional<std::uint64_t> event_id)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    auto& from = attempts_.at(id);
    const auto place = it->position.place(from.run, event_id);
    if (place == event_place::contradiction)
        return on_event_out_of_order(now, id, event_id);
    if (!from.first_event)
        from.first_event = now;
    ++from.events;
    learn_token_speed(now, *it, from);
    if (from.stream)
        chooser_.placement().stream_progressed(*from.stream);
    from.has_ended = false;
    from.is_stalled = false;
    on_heard(now, from.endpoint);
    it->last_progress = now;
    it->probe_at = now + liveness_.options().probe_after;
    cancel_others(now, *it, id);
    if (place == event_place::repeat)
        return;
    ++it->events;
    hooks_.forward_bytes(it->id, event);
}

void request_forwarder::on_stream_comment(time_point now, attempt_id id, std::string_view bytes)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    const auto& from = attempts_.at(id);
    on_heard(now, from.endpoint);
    if (it->position.is_current(from.run))
        hooks_.forward_bytes(it->id, bytes);
}

void request_forwarder::on_event_out_of_order(time_point now, attempt_id id,
                                              std::optional<std::uint64_t> event_id)
{
    const auto& from = attempts_.at(id);
    auto line = describe(now, flows_.at(from.flow), "event_out_of_order");
    line.endpoint = from.endpoint.str();
    line.attempt = from.number;
    line.event_id = text_of_id(event_id);
    line.previous_event_id = text_of_id(from.run.last ? from.run.last : from.run.after);
    hooks_.log(line);
    hooks_.cancel(id);
    on_lost(now, id, attempt_loss::broken);
}

void request_forwarder::on_stream_end(time_point now, attempt_id id)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    const auto& ended = attempts_.at(id);
    // An endpoint that crashes before the first event ends the connection too.
    if (ended.ends_with_connection && ended.events == 0)
        return on_lost(now, id, attempt_loss::broken);
    if (!it->position.may_end(ended.run))
        return on_event_out_of_order(now, id, std::nullopt);
    // A resumed stream without further events shows nothing about the effect of the request on an endpoint.
    if (ended.events > 0)
        report_answered(now, *it, ended, ended.ends_with_connection);
    auto from = take_attempt(now, id);
    sample_end(now, *it, *from, false);
    pin(now, *it, from->version);
    chooser_.answered(from->endpoint);
    cancel_attempts(now, *it);
    ++counters_.answered;
    hooks_.forward_end(it->id);
    finish(now, *it, "answered", status_ok);
}

// Losses

void request_forwarder::on_lost(time_point now, attempt_id id, attempt_loss loss)
{
    auto* it = find(id);
    if (it == nullptr)
        return;
    const bool is_unsent = loss != attempt_loss::broken;
    if (!is_unsent)
        report_broken(now, *it, attempts_.at(id), true);
    const auto endpoint = attempts_.at(id).endpoint;
    const auto via = attempts_.at(id).via;
    record_loss(now, id, loss);
    retry_or_end(now, *it, core::errc::endpoint_lost, is_unsent ? retry_cause::unsent : retry_cause::loss);
    if (loss == attempt_loss::not_sent)
        replace_silent_attempts(now, endpoint, via, false);
}

void request_forwarder::record_loss(time_point now, attempt_id id, attempt_loss loss)
{
    auto from = take_attempt(now, id);
    auto& it = flows_.at(from->flow);
    ++counters_.attempts_lost;
    auto line = describe(now, it, "attempt_lost");
    line.endpoint = from->endpoint.str();
    line.via = from->via.str();
    line.reason = to_string(loss);
    line.content = to_hex(it.elements.content);
    line.parts = text_of_parts(it);
    line.attempt = from->number;
    hooks_.log(line);
    if (loss != attempt_loss::broken)
        ++it.unsent;
    if (loss == attempt_loss::withheld)
        return;
    if (loss == attempt_loss::not_carried)
    {
        it.tried.erase(from->endpoint);
        return paths_.on_carrier_failed(now, from->via);
    }
    if (loss == attempt_loss::not_sent)
        return record_failed_connection(now, *from);
    if (may_be_path_loss(*from))
        return;
    sample_end(now, it, *from, true);
    chooser_.answer_failed(now, from->endpoint);
}

void request_forwarder::record_failed_connection(time_point now, const attempt& it)
{
    chooser_.connect_failed(now, it.endpoint);
    if (!it.via.empty())
        return paths_.on_carried(now, it.via, false);
    mark_unreachable_cold(now, it.endpoint);
    on_path_probed(now, it.endpoint, core::contact::silent);
}

// Endings

void request_forwarder::end_without_answer(time_point now, flow& it, core::errc why)
{
    cancel_attempts(now, it);
    if (attribution_.judge(now, it.elements) == crashes::permission::refused)
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
    if (lacks_room(now, it))
        ++counters_.no_room;
    refusal out;
    out.not_run = it.runs == 0;
    out.why = {why, it.service.str(),
               it.denied == succession_denial::no_endpoint ? slot_retry_after(now, it)
                                                           : retry_after(now, it)};
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
    line.content = to_hex(it.elements.content);
    line.parts = text_of_parts(it);
    line.status = status;
    line.attempt = it.sends;
    if (outcome != "answered")
        describe_denial(now, it, line);
    line.outcome = outcome == "answered" ? core::run_outcome::ran
                   : it.runs == 0        ? core::run_outcome::not_run
                                         : core::run_outcome::unknown;
    hooks_.log(line);
    hooks_.ended(line, now - it.arrived);
    learn_length(it, outcome == "answered");
    end_wait(it);
    timers_.erase({it.check_at, it.id});
    flows_.erase(it.id);
}

std::string request_forwarder::text_of_id(std::optional<std::uint64_t> event_id)
{
    return event_id ? std::to_string(*event_id) : std::string{};
}

std::string request_forwarder::text_of_parts(const flow& it)
{
    constexpr std::size_t max_logged_parts = 8;
    std::string out;
    for (std::size_t n = 0; n < std::min(it.elements.parts.size(), max_logged_parts); ++n)
        out.append(n == 0 ? "" : ",").append(to_hex(it.elements.parts[n]));
    return out;
}

decision request_forwarder::describe(time_point now, const flow& it, std::string_view event) const
{
    decision out;
    out.event = event;
    out.request = it.request.id.str();
    out.account = it.account.str();
    out.route = it.matched_route == nullptr ? std::string{} : it.matched_route->name;
    out.elapsed_ms = std::chrono::floor<milliseconds>(now - it.arrived).count();
    if (proven_at_)
        out.proof_age_ms = std::chrono::floor<milliseconds>(now - *proven_at_).count();
    if (it.table)
        out.table_version = static_cast<std::int64_t>(it.table->version());
    return out;
}

} // namespace runlink::routing
