#include "runlink/routing/request_forwarder.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::routing
{

namespace
{

load::model_choice_options choice_options(const forwarder_options& from)
{
    load::model_choice_options out;
    out.accept_confidence = from.cascade.accept_confidence;
    return out;
}

} // namespace

request_forwarder::request_forwarder(forwarder_options options, const failure_domain_id& own_domain,
                                     const core::instance_id& self, forwarder_hooks hooks)
    : options_{std::move(options)}, hooks_{std::move(hooks)},
      endpoints_{options_.directory}, chooser_{options_.chooser, own_domain}, liveness_{options_.liveness},
      bounds_{options_.bounds, self, own_domain, [this](const endpoint_id& it) { return domain_of(it); }},
      paths_{options_.paths, self, own_domain, path_hooks()}, attribution_{options_.crashes,
                                                                           core::stable_hash(self.str()),
                                                                           attribution_hooks()},
      rollouts_{options_.rollouts, core::stable_hash(self.str())}, pins_{options_.session_ttl},
      cascade_{options_.cascade}, model_choice_{choice_options(options_)}, admission_{options_.admission},
      start_queue_{options_.start}, retry_share_{options_.retries.slack}, self_hash_{
                                                                              core::stable_hash(self.str())}
{
    constexpr std::uint64_t phases = 1000;
    plain_.set_phase(static_cast<double>(core::stable_hash(self.str()) % phases) / phases);
    bounds_.brittle().place_of = [this](const endpoint_id& id) -> std::optional<places::endpoint_place>
    {
        const auto* it = endpoints_.find(id);
        return it == nullptr ? std::nullopt : std::optional{places::endpoint_place{it->service, it->slots}};
    };
}

void request_forwarder::apply(routing_table_ptr table)
{
    for (auto& [id, it] : flows_)
        if (!it.account.empty() && has_key(*table, it))
            it.key_last_valid_at.reset(); // the key may have been added again
        else if (!it.account.empty() && !it.key_last_valid_at)
            it.key_last_valid_at = proven_at_;
    for (const auto& it : table->services())
        bounds_.warm_up().set_limit(it.id, it.cold);
    table_ = std::move(table);
    newer_versions_.on_applied(table_->version());
    apply_load_switches();
    for (const auto& it : table_->services())
        if (const auto* group = endpoints_.index().group(it.id))
            for (const auto* e : group->all)
                put_plain(*e);
    is_start_queue_ready_ = true;
}

void request_forwarder::proven_current(time_point sent_at)
{
    proven_at_ = std::max(proven_at_.value_or(sent_at), sent_at);
    newer_versions_.on_proven(sent_at);
    retry_share_.confirm(sent_at);
    is_start_queue_ready_ = true;
}

bool request_forwarder::on_version_known(time_point now, std::uint64_t version)
{
    return newer_versions_.on_known(now, version);
}

bool request_forwarder::is_outdated(time_point now) const
{
    const auto since = newer_versions_.since();
    return since && now - *since >= options_.max_outdated_time;
}

std::optional<core::duration> request_forwarder::proof_age(time_point now) const
{
    return proven_at_ ? std::optional{now - *proven_at_} : std::nullopt;
}

bool request_forwarder::is_fresh(time_point now, milliseconds max_age) const
{
    return proven_at_ && now - *proven_at_ < max_age;
}

bool request_forwarder::are_keys_proven(time_point now) const
{
    return !options_.max_key_age || is_fresh(now, *options_.max_key_age);
}

void request_forwarder::on_order(time_point now, const rollout_order& order, time_point written_at)
{
    if (!rollouts_.on_order(written_at, order))
        return;
    // Runs before the order were not announced. A session may be idle for longer than the roll-out waits
    // before its first share, and then continue at an instance that would take it for a new session.
    for (const auto& it : pins_.all(now))
        if (rollouts_.announces_runs(order.service, it.session))
            hooks_.announce_session_run(it);
}

void request_forwarder::on_caller_left(time_point now, flow_id id)
{
    if (start_queue_.drop(id))
        ++counters_.callers_left;
    const auto found = flows_.find(id);
    if (found == flows_.end())
        return;
    ++counters_.callers_left;
    cancel_attempts(now, found->second);
    finish(now, found->second, "caller_left", -1);
}

void request_forwarder::keep_house(time_point now)
{
    pins_.expire(now);
    endpoints_.forget_vanished(now);
    chooser_.keep_only(endpoints_);
    chooser_.placement().expire(now);
    liveness_.keep_only(endpoints_);
    plain_.forget_if([this](load::endpoint_hash id) { return endpoints_.index().find(id) == nullptr; });
    std::erase_if(unreadable_loads_, [this](const auto& id) { return endpoints_.find(id) == nullptr; });
    bounds_.expire(now, [this](const endpoint_id& id) { return endpoints_.find(id) == nullptr; });
    attribution_.watch(now, endpoints_.size());
    attribution_.expire(now);
    rollouts_.set_instances(bounds_.warm_up().instances().size());
}

// Attempts

bool request_forwarder::has_key(const routing_table& table, const flow& it)
{
    const auto* account = table.find_account(it.request.key);
    return account != nullptr && account->id == it.account;
}

key_state request_forwarder::key_state_of(time_point now, const flow& it) const
{
    const bool needs_key = table_->has_accounts() && !it.matched_route->is_public;
    if (!needs_key)
        return key_state::valid;
    if (has_key(*table_, it))
        return are_keys_proven(now) ? key_state::valid : key_state::unproven;
    const bool is_in_grace = it.key_last_valid_at && now - *it.key_last_valid_at < options_.key_grace;
    return is_in_grace ? key_state::in_grace : key_state::removed;
}

milliseconds request_forwarder::time_since_key_valid(time_point now, const flow& it) const
{
    return it.key_last_valid_at ? std::chrono::floor<milliseconds>(now - *it.key_last_valid_at)
                                : milliseconds{-1};
}

std::size_t request_forwarder::count_without_key() const
{
    return static_cast<std::size_t>(std::count_if(flows_.begin(), flows_.end(),
                                                  [](const auto& it)
                                                  { return it.second.key_last_valid_at.has_value(); }));
}

void request_forwarder::send(time_point now, flow& request_flow, const successor& to)
{
    const auto& endpoint = *to.endpoint;
    request_flow.held_since.reset();
    end_wait(request_flow);
    request_flow.denied.reset();
    request_flow.replace_at.reset();
    if (costs_allowance(to.cause))
    {
        retries_.at(request_flow.service).try_take(now, retry_share_);
        ++counters_.retries_charged;
    }
    attempt_order order;
    order.id = attempt_id{next_attempt_++};
    order.flow = request_flow.id;
    order.request = request_flow.request.id;
    order.endpoint = endpoint;
    if (const auto via = paths_.carrier(endpoint.failure_domain))
        order.via = *via;
    order.account = request_flow.account;
    order.priority = request_flow.priority;
    order.time_left = std::chrono::floor<milliseconds>(request_flow.deadline - now);
    const auto* service = table_->find_service(request_flow.service);
    order.runs_models = service != nullptr && service->runs_models;
    order.needs_new_connection = !request_flow.matched_route->is_idempotent();
    order.model = model_of(request_flow);
    ++request_flow.sends;
    ++counters_.attempts;
    request_flow.tried.insert(endpoint.id);
    request_flow.attempts.insert(order.id);
    request_flow.last_progress = now;
    request_flow.probe_at = now + liveness_.options().probe_after;
    attempt record;
    record.flow = request_flow.id;
    record.endpoint = endpoint.id;
    record.name = endpoint.name;
    record.via = order.via;
    record.version = endpoint.version;
    record.model = order.model;
    record.number = request_flow.sends;
    record.started = now;
    record.run = request_flow.position.begin_run();
    order.last_event = record.run.after;
    record.is_trial = to.is_trial;
    record.stream = plan_stream(now, request_flow, to, order.id);
    record.prompt = place_prompt(now, endpoint, to.prompt, record.stream);
    if (record.prompt)
        record.expected = record.prompt->wait + record.prompt->work;
    chooser_.started(endpoint.id);
    chooser_.rotate();
    if (!order.via.empty())
    {
        paths_.started(order.via);
        ++counters_.carried;
    }
    if (bounds_.warm_up().is_cold(now, endpoint.id))
        ++counters_.cold_sends;
    if (bounds_.limits().limit_of(endpoint.id))
        ++counters_.limited_sends;
    bounds_.sent(now, endpoint.id);
    record.is_plain = is_plain(request_flow);
    if (to.is_trial)
    {
        ++counters_.trials;
        attribution_.begin_trial(now, request_flow.elements, crashes::hash_of_endpoint_id(endpoint.id));
    }
    log_dispatched(now, request_flow, order, record, to.cause);
    if (record.is_plain)
        note_plain_send(now, request_flow, endpoint);
    attempts_.emplace(order.id, std::move(record));
    hooks_.start(order);
}

void request_forwarder::log_dispatched(time_point now, const flow& it, const attempt_order& order,
                                       const attempt& sent, retry_cause cause)
{
    auto line = describe(now, it, "dispatched");
    line.endpoint = sent.endpoint.str();
    line.version = sent.version.str();
    line.model = sent.model.str();
    line.via = sent.via.str();
    line.session = it.request.session.str();
    line.content = to_hex(it.elements.content);
    line.parts = text_of_parts(it);
    line.reason = sent.is_trial ? "trial" : "";
    line.attempt = sent.number;
    line.resumed_after = text_of_id(order.last_event);
    line.time_left_ms = order.time_left.count();
    if (costs_allowance(cause))
    {
        line.retry = to_string(cause);
        describe_allowance(now, it, line);
    }
    if (sent.is_plain)
        line.running = std::lround(plain_.running(now, load::hash_of(sent.endpoint)));
    if (sent.prompt)
    {
        line.expected_wait_ms = std::chrono::floor<milliseconds>(sent.prompt->wait).count();
        line.expected_read_ms = std::chrono::floor<milliseconds>(sent.prompt->work).count();
    }
    describe_stream(sent, line);
    hooks_.log(line);
}

bool request_forwarder::may_write(time_point now, attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return false;
    const auto& it = found->second;
    if (it.via.empty())
        on_path_probed(now, it.endpoint, core::contact::answered);
    else
        paths_.on_carried(now, it.via, true);
    const bool may =
        !is_excluded_as_leaving(now, it.endpoint) && bounds_.confirm_send(now, it.endpoint, it.started);
    if (!may)
        ++counters_.withheld;
    return may;
}

bool request_forwarder::is_excluded_as_leaving(time_point now, const endpoint_id& id) const
{
    return endpoints_.leaving_marks().contains(id) && !endpoints_.is_last_resort(now, id);
}

void request_forwarder::on_sent(time_point now, attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || std::exchange(found->second.may_have_run, true))
        return;
    auto& it = flows_.at(found->second.flow);
    ++it.runs;
    rollouts_.on_sent(it.service, found->second.version);
    pin(now, it, found->second.version);
}

void request_forwarder::pin(time_point now, const flow& it, const version_id& version)
{
    if (it.request.session.empty())
        return;
    pins_.record_run(now, it.session, version);
    if (rollouts_.announces_runs(it.service, it.session))
        hooks_.announce_session_run({it.session, version});
}

request_forwarder::flow* request_forwarder::find(attempt_id id)
{
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : &flows_.at(found->second.flow);
}

std::optional<request_forwarder::attempt> request_forwarder::take_attempt(time_point now, attempt_id id)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return std::nullopt;
    auto out = std::move(found->second);
    attempts_.erase(found);
    auto& it = flows_.at(out.flow);
    it.attempts.erase(id);
    if (out.prompt)
        chooser_.placement().withdrawn(now, *out.prompt);
    end_stream(out);
    chooser_.finished(out.endpoint);
    bounds_.finished(now, out.endpoint, out.started);
    note_plain_end(now, it, out);
    if (bounds_.brittle().is_brittle(out.endpoint))
        recheck_first_waiting(now, it.service);
    if (!out.via.empty())
        paths_.finished(out.via);
    if (out.is_trial)
        attribution_.end_trial(now, it.elements, crashes::hash_of_endpoint_id(out.endpoint),
                               out.may_have_run);
    return out;
}

void request_forwarder::cancel_attempts(time_point now, flow& it)
{
    const auto all = it.attempts;
    for (const auto id : all)
    {
        sample_given_up(now, it, attempts_.at(id), false);
        take_attempt(now, id);
        hooks_.cancel(id);
    }
}

void request_forwarder::cancel_others(time_point now, flow& it, attempt_id but)
{
    if (it.attempts.size() < 2)
        return;
    const auto all = it.attempts;
    for (const auto id : all)
    {
        if (id == but)
            continue;
        take_attempt(now, id);
        hooks_.cancel(id);
    }
}

version_sample request_forwarder::sample_of(const flow& it, const attempt& from) const
{
    version_sample out;
    out.service = it.service;
    out.version = from.version;
    out.endpoint = from.endpoint;
    out.group = {it.matched_route->name, from.model};
    out.expected = from.expected;
    return out;
}

void request_forwarder::sample_head(time_point now, const flow& it, attempt& from)
{
    auto out = sample_of(it, from);
    out.first = now - from.started;
    from.has_head = true;
    rollouts_.on_sample(now, out, from.counted);
}

void request_forwarder::sample_end(time_point now, const flow& it, attempt& from, bool is_bad)
{
    auto out = sample_of(it, from);
    out.is_bad = is_bad;
    if (!from.has_head && !is_bad)
        out.first = now - from.started;
    constexpr std::uint32_t least_events = 3;
    if (from.first_event && from.events >= least_events)
        out.pace = (now - *from.first_event) / (from.events - 1);
    rollouts_.on_sample(now, out, from.counted);
}

void request_forwarder::sample_given_up(time_point now, const flow& it, attempt& from, bool is_stalled)
{
    if (!from.may_have_run || (from.has_head && !is_stalled) || may_be_path_loss(from))
        return;
    auto out = sample_of(it, from);
    out.is_stalled = is_stalled;
    out.is_open = true;
    if (!from.has_head)
        out.first = now - from.started;
    rollouts_.on_sample(now, out, from.counted);
}

} // namespace runlink::routing
