#include "runlink/gateway/gateway.hpp"

#include <algorithm>
#include <utility>

#include "runlink/gateway/statement_reader.hpp"

namespace runlink::gateway
{
namespace
{

/// A caller with fewer unsent bytes than this is not taken for one that does not read.
constexpr std::size_t min_unsent_bytes = 64 * 1024;
constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_body_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;

routing::attempt_loss loss_of(net::exchange_failure it)
{
    switch (it)
    {
    case net::exchange_failure::not_connected: return routing::attempt_loss::not_sent;
    case net::exchange_failure::not_carried: return routing::attempt_loss::not_carried;
    case net::exchange_failure::withheld: return routing::attempt_loss::withheld;
    default: return routing::attempt_loss::broken;
    }
}

/// The refusal of a request that was not received to its end. `retry_after` is the time after which callers
/// without progress give way to others.
routing::refusal refusal_for(net::request_fault it, core::milliseconds retry_after)
{
    switch (it)
    {
    case net::request_fault::malformed:
        return {status_bad_request, true, {core::errc::malformed_request, "bytes"}};
    case net::request_fault::header_too_large:
        return {status_header_too_large, true, {core::errc::malformed_request, "header"}};
    case net::request_fault::body_too_large:
        return {status_body_too_large, true, {core::errc::body_too_large, "body"}};
    case net::request_fault::timed_out:
        return {status_request_timeout, true, {core::errc::deadline_exceeded, "header_timeout"}};
    case net::request_fault::no_room: break;
    }
    return {status_unavailable, true, {core::errc::overloaded, "memory", retry_after}};
}

std::string_view to_string(net::body_framing it)
{
    switch (it)
    {
    case net::body_framing::length: return "length";
    case net::body_framing::chunked: return "chunked";
    case net::body_framing::until_close: return "until_close";
    }
    return "unknown";
}

} // namespace

gateway::gateway(gateway_options options, header_names names, observe::decision_log& log,
                 observe::metrics& metrics, clock_source clock)
    : options_{options}, names_{std::move(names)}, log_{log}, metrics_{metrics}, clock_{std::move(clock)},
      listener_{[this](const connection_ptr& from, const net::http_request_head& head, std::string body)
                { on_request(from, head, std::move(body)); },
                [this](const connection_ptr& from, net::request_fault why) { on_bad_request(from, why); },
                options.callers}
{
    listener_.on_connection_refused = [this]
    {
        log_.write(clock_(), observe::log_line{"connection_refused"}.text("limit", "connections"),
                   observe::log_rank::notable);
    };
}

core::result<std::uint16_t> gateway::listen(const std::string& host, std::uint16_t port)
{
    return listener_.listen(host, port);
}

routing::forwarder_hooks gateway::hooks()
{
    routing::forwarder_hooks out;
    out.start = [this](const routing::attempt_order& it) { start(it); };
    out.cancel = [this](core::attempt_id id) { cancel(id); };
    out.ask = [this](const routing::endpoint_entry& it) { probe(it, {}); };
    out.ask_via = [this](const routing::endpoint_entry& it, const core::instance_id& via) { probe(it, via); };
    out.probe_path = [this](const routing::endpoint_entry& it) { probe_path(it); };
    out.query_reach = [this](const std::vector<core::instance_id>& to, const paths::reach_query& it)
    { on_reach_query(to, it); };
    out.carrier_gone = [this](const core::instance_id& id)
    {
        if (const auto it = carrier_address(id, {}))
            pool_.forget_carried(it->address);
    };
    out.forget_connections = [this](const routing::endpoint_entry& it) {
        pool_.forget_idle({it.host, it.port});
    };
    out.forward_answer = [this](routing::flow_id flow, core::attempt_id id) { forward_answer(flow, id); };
    out.forward_head = [this](routing::flow_id flow, core::attempt_id id) { forward_head(flow, id); };
    out.forward_bytes = [this](routing::flow_id flow, std::string_view it) { forward_bytes(flow, it); };
    out.forward_end = [this](routing::flow_id flow) { forward_end(flow); };
    out.break_off = [this](routing::flow_id flow)
    {
        if (const auto it = take_call(flow))
            it->connection->break_off();
    };
    out.refuse = [this](routing::flow_id flow, const routing::refusal& why)
    {
        if (const auto it = take_call(flow))
            refuse(it->connection, why, it->request_id);
    };
    out.announce_session_run = [this](const routing::session_run& it) { on_session_run(it); };
    out.announce_prompt_sent = [this](const routing::prompt_sent& it) { on_prompt_sent(it); };
    out.announce_prompt_answered = [this](const routing::prompt_answered& it) { on_prompt_answered(it); };
    out.announce_stream_ended = [this](const load::stream_ended& it) { on_stream_ended(it); };
    out.announce_counts = [this](const std::vector<load::request_counts>& it) { on_counts(it); };
    out.announce_crashes = [this](const crashes::crash_message& it) { on_crash_seen(it); };
    out.announce_limits = [this](const std::vector<core::instance_id>& to,
                                 const std::vector<places::limit_report>& it) { on_limits_told(to, it); };
    out.announce_leaving = [this](const routing::leaving_notices& it) { on_leaving_told(it); };
    out.found_harmful = [this](crashes::element_fingerprint it) { on_harmful_found(it); };
    out.run_began = [this](const core::account_id& it) { on_run_began(it); };
    out.log = [this](const routing::decision& it) { log(it); };
    out.ended = [this](const routing::decision& it, core::duration after) { on_ended(it, after); };
    return out;
}

// Requests from callers

void gateway::on_request(const connection_ptr& from, const net::http_request_head& head, std::string body)
{
    auto request = read_request(names_, head);
    if (!request)
        return refuse(from, {status_bad_request, true, request.error()}, {});
    request.value().body_bytes = static_cast<std::uint32_t>(body.size());
    request.value().content = crashes::hash_of(head.method, request.value().host, head.target, body);
    const routing::flow_id flow{next_flow_++};
    const auto& id = request.value().id.str();
    calls_.emplace(flow, call{from, head, std::move(body), id});
    from->on_left = [this, flow]
    {
        calls_.erase(flow);
        forwarder_->on_caller_left(clock_(), flow);
        on_activity();
    };
    forwarder_->on_request(clock_(), flow, std::move(request).value());
    on_activity();
}

void gateway::on_bad_request(const connection_ptr& from, net::request_fault fault)
{
    const auto why = refusal_for(fault, listener_.budget().limits().stall_time);
    from->write(write_refusal(why, {}, true));
    from->refuse_rest();
    log_.write(clock_(),
               observe::log_line{"refused"}
                   .text("reason", to_string(why.why.code))
                   .text("limit", why.why.detail)
                   .number("status", why.status)
                   .number("held_bytes", static_cast<std::int64_t>(listener_.budget().held_bytes())),
               observe::log_rank::notable);
}

void gateway::refuse(const connection_ptr& to, const routing::refusal& why, const std::string& request)
{
    const bool close = is_stopping_ || to->wants_close();
    to->write(write_refusal(why, request, close));
    to->finish(close);
}

std::optional<gateway::call> gateway::take_call(routing::flow_id flow)
{
    auto found = calls_.extract(flow);
    return found.empty() ? std::nullopt : std::optional{std::move(found.mapped())};
}

// Attempts at endpoints

void gateway::start(const routing::attempt_order& order)
{
    const auto flow = order.flow;
    const auto& from = calls_.at(flow);
    auto it = std::make_shared<attempt>(held_bytes_);
    it->id = order.id;
    it->flow = flow;
    it->endpoint = order.endpoint.id;
    it->request = order.request;
    attempts_.emplace(order.id, it);
    net::exchange_options options;
    options.connect_timeout = options_.connect_timeout;
    options.max_rest = order.needs_new_connection ? core::milliseconds{0} : options_.max_rest;
    it->exchange =
        pool_.send(path_to(order.endpoint, order.via), write_attempt(names_, from.head, from.body, order),
                   options, exchange_hooks(it));
}

net::exchange_hooks gateway::exchange_hooks(const attempt_ptr& it)
{
    net::exchange_hooks out;
    out.may_send = [this, it] { return forwarder_->may_write(clock_(), it->id); };
    out.sent = [this, it]
    {
        it->sent_at = clock_();
        forwarder_->on_sent(it->sent_at, it->id);
        on_activity();
    };
    out.head = [this, it](const net::http_response_head& head) { on_head(it, head); };
    out.body = [this, it](std::string_view bytes) { on_body(it, bytes); };
    out.end = [this, it] { on_end(it); };
    out.failed = [this, it](net::exchange_failure why) { on_failed(it, why); };
    out.is_due = [this, it](const net::http_response_head& head)
    { return is_answer_to(names_, head, it->request); };
    return out;
}

void gateway::forward_statement(const attempt& from, const net::http_response_head& head)
{
    if (const auto says = read_statement(names_, head, from.request))
        forwarder_->on_statement(clock_(), from.endpoint, from.sent_at, *says);
}

void gateway::on_head(const attempt_ptr& it, const net::http_response_head& head)
{
    forward_statement(*it, head);
    it->head = head;
    it->parsed_head = read_attempt_head(names_, head);
    if (!it->parsed_head.is_event_stream)
    {
        if (net::announced_length(head.fields).value_or(0) > options_.answers.max_answer_bytes)
            give_up(it, "answer_too_large");
        return;
    }
    it->events = std::make_unique<net::event_reader>(
        [this, it = it.get()](std::string_view event, std::optional<std::uint64_t> id)
        {
            if (net::is_comment(event))
                forwarder_->on_stream_comment(clock_(), it->id, event);
            else
                forwarder_->on_stream_event(clock_(), it->id, event, id);
        });
    forwarder_->on_stream_head(clock_(), it->id, it->parsed_head);
    on_activity();
}

void gateway::on_body(const attempt_ptr& it, std::string_view bytes)
{
    it->body_bytes += bytes.size();
    if (!it->events)
    {
        it->body.append(bytes);
        return hold(it);
    }
    if (!it->events->feed(bytes))
        return give_up(it, "event_too_large");
    hold(it);
    on_activity();
}

void gateway::hold(const attempt_ptr& it)
{
    it->held.set(it->events ? it->events->rest().size() : it->body.size());
    if (it->body.size() > options_.answers.max_answer_bytes)
        return give_up(it, "answer_too_large");
    const auto share = listener_.budget().share_for(it->held.get());
    if (held_bytes_ <= options_.answers.max_total_bytes && listener_.hold_answers(held_bytes_, share))
        return;
    const auto less = [](const auto& a, const auto& b)
    { return a.second->held.get() < b.second->held.get(); };
    const auto largest = std::max_element(attempts_.begin(), attempts_.end(), less);
    if (largest != attempts_.end())
        give_up(attempt_ptr{largest->second}, "answers_too_large");
}

void gateway::release(attempt& it)
{
    it.body = {};
    it.held.set(0);
    update_held_answers();
}

void gateway::update_held_answers()
{
    // Less than before, so there is room.
    (void)listener_.hold_answers(held_bytes_, core::budget_share::ordinary);
}

void gateway::give_up(const attempt_ptr& it, std::string_view limit)
{
    log_response_end(*it, limit, observe::log_rank::notable);
    cancel(it->id);
    release(*it);
    forwarder_->on_lost(clock_(), it->id, routing::attempt_loss::broken);
    on_activity();
}

void gateway::on_end(const attempt_ptr& it)
{
    const auto now = clock_();
    if (it->head->framing == net::body_framing::until_close)
        log_response_end(*it, "complete", observe::log_rank::routine);
    if (!it->events)
        forwarder_->on_answer(now, it->id, it->parsed_head);
    else if (!it->events->rest().empty())
        forwarder_->on_lost(now, it->id, routing::attempt_loss::broken);
    else
        forwarder_->on_stream_end(now, it->id);
    attempts_.erase(it->id);
    release(*it);
    on_activity();
}

void gateway::on_failed(const attempt_ptr& it, net::exchange_failure why)
{
    if (loss_of(why) == routing::attempt_loss::broken)
        log_response_end(*it, to_string(why), observe::log_rank::notable);
    attempts_.erase(it->id);
    release(*it);
    forwarder_->on_lost(clock_(), it->id, loss_of(why));
    on_activity();
}

void gateway::log_response_end(const attempt& it, std::string_view how, observe::log_rank rank)
{
    observe::log_line line{"response_ended"};
    line.text("request", it.request.str())
        .text("endpoint", it.endpoint.str())
        .text("reason", how)
        .number("status", it.head ? it.head->status.value() : 0)
        .number("body_bytes", static_cast<std::int64_t>(it.body_bytes));
    if (it.head)
        line.text("framing", to_string(it.head->framing));
    const auto connection = it.exchange.lock();
    if (connection && connection->error())
        line.text("error", connection->error().message());
    log_.write(clock_(), line, rank);
}

net::endpoint_path gateway::path_to(const routing::endpoint_entry& endpoint,
                                    const core::instance_id& via) const
{
    net::peer_address to{endpoint.host, endpoint.port};
    if (via.empty())
        return to;
    // An instance whose address is not known fails as a carrier at once.
    return {std::move(to), carrier_address(via, endpoint.id).value_or(net::carrier_address{})};
}

void gateway::probe(const routing::endpoint_entry& endpoint, const core::instance_id& via)
{
    pool_.ask(path_to(endpoint, via), options_.probe_timeout,
              [this, endpoint, via](core::contact it)
              {
                  if (it != core::contact::answered)
                      log_.write(clock_(),
                                 observe::log_line{"endpoint_silent"}
                                     .text("reason", to_string(it))
                                     .text("endpoint", endpoint.id.str())
                                     .text("service", endpoint.service.str())
                                     .text("via", via.str()),
                                 observe::log_rank::notable);
                  if (via.empty())
                      forwarder_->on_probe_result(clock_(), endpoint.id, it);
                  else
                      forwarder_->on_carried_probe_result(clock_(), endpoint.id, via, it);
                  on_activity();
              });
}

void gateway::probe_path(const routing::endpoint_entry& endpoint)
{
    connect_to(endpoint,
               [this, id = endpoint.id](core::contact it) { forwarder_->on_path_probed(clock_(), id, it); });
}

void gateway::connect_to(const routing::endpoint_entry& endpoint, std::function<void(core::contact)> to)
{
    pool_.ask(net::peer_address{endpoint.host, endpoint.port}, options_.connect_timeout,
              [this, to = std::move(to)](core::contact it)
              {
                  to(it);
                  on_activity();
              });
}

void gateway::cancel(core::attempt_id id)
{
    const auto found = attempts_.extract(id);
    if (found.empty())
        return;
    if (const auto it = found.mapped()->exchange.lock())
        it->abandon();
    release(*found.mapped());
}

// Answers to callers

void gateway::forward_answer(routing::flow_id flow, core::attempt_id id)
{
    const auto to = take_call(flow);
    if (!to)
        return;
    auto& from = *attempts_.at(id);
    auto fields = forwarded_fields(*from.head);
    const bool close = is_stopping_ || to->connection->wants_close();
    if (close)
        fields.add("Connection", "close");
    fields.add("Content-Length", std::to_string(from.body.size()));
    // From here on the answer is held by the connection.
    const auto body = std::exchange(from.body, {});
    release(from);
    to->connection->write(net::write_response_head(from.head->status, from.head->reason, fields));
    to->connection->write(body);
    to->connection->finish(close);
}

void gateway::forward_head(routing::flow_id flow, core::attempt_id id)
{
    auto& to = calls_.at(flow);
    const auto& from = *attempts_.at(id);
    auto fields = forwarded_fields(*from.head);
    if (is_stopping_ || to.connection->wants_close())
        fields.add("Connection", "close");
    fields.add("Transfer-Encoding", "chunked");
    to.connection->write(net::write_response_head(from.head->status, from.head->reason, fields));
}

void gateway::forward_bytes(routing::flow_id flow, std::string_view bytes)
{
    const auto found = calls_.find(flow);
    if (found == calls_.end())
        return;
    const auto to = found->second.connection;
    to->write(net::write_chunk(bytes));
    if (to->unsent_bytes() <= options_.max_unsent_bytes &&
        (to->has_room() || to->unsent_bytes() <= min_unsent_bytes))
        return;
    log_.write(clock_(), observe::log_line{"caller_reads_nothing"}.text("request", found->second.request_id),
               observe::log_rank::notable);
    calls_.erase(found);
    to->reset();
    forwarder_->on_caller_left(clock_(), flow);
}

void gateway::forward_end(routing::flow_id flow)
{
    const auto to = take_call(flow);
    if (!to)
        return;
    to->connection->write(net::write_chunk({}));
    to->connection->finish(is_stopping_ || to->connection->wants_close());
}

// Log

void gateway::log(const routing::decision& decision)
{
    observe::log_line line{decision.event};
    const auto text = [&](std::string_view name, std::string_view value)
    {
        if (!value.empty())
            line.text(name, value);
    };
    const auto number = [&](std::string_view name, std::int64_t value)
    {
        if (value >= 0)
            line.number(name, value);
    };
    text("request", decision.request);
    text("reason", decision.reason);
    text("content", decision.content);
    text("parts", decision.parts);
    text("route", decision.route);
    text("account", decision.account);
    text("session", decision.session);
    text("endpoint", decision.endpoint);
    text("version", decision.version);
    text("model", decision.model);
    text("failure_domain", decision.failure_domain);
    text("via", decision.via);
    text("source", decision.source);
    text("limit", decision.limit);
    if (decision.outcome)
        text("outcome", to_string(*decision.outcome));
    number("status", decision.status);
    number("confidence", decision.confidence);
    number("attempt", decision.attempt);
    text("resumed_after", decision.resumed_after);
    text("event_id", decision.event_id);
    text("previous_event_id", decision.previous_event_id);
    number("elapsed_ms", decision.elapsed_ms);
    number("time_left_ms", decision.time_left_ms);
    number("proof_age_ms", decision.proof_age_ms);
    number("table", decision.table_version);
    number("expected_wait_ms", decision.expected_wait_ms);
    number("expected_read_ms", decision.expected_read_ms);
    number("running", decision.running);
    number("expected_end_ms", decision.expected_end_ms);
    number("cold_ms", decision.cold_ms);
    number("ends", decision.ends);
    number("trials", decision.trials);
    number("evidence_age_ms", decision.evidence_age_ms);
    text("retry", decision.retry);
    text("service", decision.service);
    text("denied", decision.denied);
    number("key_gone_ms", decision.key_gone_ms);
    text("allowance_share", decision.allowance_share);
    number("instances", decision.instances);
    number("allowance_left", decision.allowance_left);
    number("endpoints_fitting", decision.endpoints_fitting);
    number("endpoints_limited", decision.endpoints_limited);
    number("place_ms", decision.place_ms);
    number("endpoints_resting", decision.endpoints_resting);
    number("rest_ms", decision.rest_ms);
    number("statement_age_ms", decision.statement_age_ms);
    number("lost_ms", decision.lost_ms);
    number("endpoints_failed", decision.endpoints_failed);
    if (decision.is_sender)
        number("sends", *decision.is_sender ? 1 : 0);
    const bool is_routine = decision.event == "dispatched" || decision.event == "stream_began" ||
                            decision.event == "endpoint_answered" ||
                            (decision.event == "ended" && decision.reason == "answered");
    log_.write(clock_(), line, is_routine ? observe::log_rank::routine : observe::log_rank::notable);
}

void gateway::on_ended(const routing::decision& it, core::duration after)
{
    metrics_.ended(core::account_id{it.account}, core::request_class{it.route}, after,
                   it.outcome.value_or(core::run_outcome::unknown));
}

} // namespace runlink::gateway
