#include "runlink/routing/request_forwarder.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::routing
{
namespace
{

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

request_forwarder::request_forwarder(forwarder_options options, failure_domain_id own_domain,
                                     std::uint64_t instance_seed, forwarder_hooks hooks)
    : options_{std::move(options)}, hooks_{std::move(hooks)}, chooser_{options_.chooser,
                                                                       std::move(own_domain)},
      liveness_{options_.liveness}, rollouts_{options_.rollouts, instance_seed}, pins_{options_.session_ttl},
      cascade_{options_.cascade}, admission_{options_.admission}
{
}

void request_forwarder::apply(routing_table_ptr table)
{
    for (auto& [id, it] : flows_)
        if (!it.account.empty() && !it.key_held_at && table->find_account(it.request.key) == nullptr)
            it.key_held_at = proven_at_;
    table_ = std::move(table);
}

void request_forwarder::proven_current(time_point sent_at)
{
    proven_at_ = std::max(proven_at_.value_or(sent_at), sent_at);
}

std::optional<core::duration> request_forwarder::proof_age(time_point now) const
{
    return proven_at_ ? std::optional{now - *proven_at_} : std::nullopt;
}

bool request_forwarder::is_fresh(time_point now, milliseconds max_age) const
{
    return proven_at_ && now - *proven_at_ < max_age;
}

bool request_forwarder::keys_hold(time_point now) const
{
    return !options_.max_key_age || is_fresh(now, *options_.max_key_age);
}

// Arrival

void request_forwarder::on_request(time_point now, flow_id id, inbound_request request)
{
    ++counters_.requests;
    flow it;
    it.id = id;
    it.request = std::move(request);
    it.table = table_;
    it.arrived = now;
    it.last_progress = now;
    if (const auto why = admit(now, it))
    {
        ++counters_.refused;
        auto line = describe(now, it, "refused");
        line.reason = to_string(why->why.code);
        line.status = why->status;
        line.outcome = core::run_outcome::not_run;
        hooks_.log(line);
        hooks_.ended(line, {});
        return hooks_.refuse(id, *why);
    }
    auto& kept = flows_.emplace(id, std::move(it)).first->second;
    retries_.try_emplace(kept.service, options_.retries).first->second.on_first(now);
    if (!dispatch(now, kept))
        return end_without_answer(now, kept, core::errc::no_endpoint);
    arm(kept, next_check(kept));
}

std::optional<refusal> request_forwarder::admit(time_point now, flow& it)
{
    const auto unavailable = [&](core::errc code, std::string detail) {
        return refusal{status_unavailable, true, {code, std::move(detail), retry_after(now, it)}};
    };
    if (!table_)
        return unavailable(core::errc::not_ready, "configuration");
    it.via = table_->find_route(it.request.host, it.request.path);
    if (it.via == nullptr)
    {
        // An old table may lack a route that was just added.
        if (!is_fresh(now, options_.max_denial_age))
            return unavailable(core::errc::cut_off, "route");
        return refusal{status_not_found, true, {core::errc::unknown_service, "route"}};
    }
    if (auto why = check_key(now, it))
        return why;
    const auto time = std::min(it.request.time_left, it.via->timeout);
    it.deadline = now + time;
    if (time <= options_.least_time)
        return unavailable(core::errc::deadline_exceeded, "arrival");
    if (stop_ && now >= stop_->closed_from && it.deadline > stop_->end)
        return unavailable(core::errc::stopping, "instance");
    place(it);
    const auto expected = expect(now, it);
    if (!expected)
        return std::nullopt;
    const auto come_back =
        admission_.refuse_for(expected->wait, milliseconds{time}, core::stable_hash(it.request.id.str()));
    if (!come_back)
        return std::nullopt;
    return refusal{status_unavailable, true, {core::errc::overloaded, "backlog", come_back}};
}

std::optional<placed_prompt> request_forwarder::expect(time_point now, const flow& it) const
{
    if (it.request.prompt_tokens == 0 || it.via == nullptr || it.service.empty())
        return std::nullopt;
    const auto need = need_of(now, it);
    const auto* endpoint = chooser_.peek(now, endpoints_, need);
    if (endpoint == nullptr || !need.prompt)
        return std::nullopt;
    return chooser_.placement().expect(now, *endpoint, *need.prompt);
}

milliseconds request_forwarder::retry_after(time_point now, const flow& it) const
{
    const auto expected = expect(now, it);
    return admission_.retry_after(expected ? expected->wait : duration{},
                                  core::stable_hash(it.request.id.str()));
}

std::optional<refusal> request_forwarder::check_key(time_point now, flow& it)
{
    it.priority = it.via->priority;
    const auto* account = it.request.key.empty() ? nullptr : table_->find_account(it.request.key);
    const bool needs_key = table_->has_accounts() && !it.via->is_public;
    if (needs_key)
    {
        const refusal stale{status_unavailable, true, {core::errc::cut_off, "keys", retry_after(now, it)}};
        if (!keys_hold(now))
            return stale;
        if (account == nullptr && !is_fresh(now, options_.max_denial_age))
            return stale;
        if (account == nullptr)
            return refusal{status_unauthorized, true, {core::errc::unauthenticated, "key"}};
    }
    if (account != nullptr)
    {
        it.account = account->id;
        it.priority = account->priority.value_or(it.priority);
    }
    return std::nullopt;
}

void request_forwarder::place(flow& it) const
{
    const auto& request = it.request;
    const auto& name = request.session.empty() ? request.id.str() : request.session.str();
    it.session = session_hash{core::stable_hash(name)};
    // The last part is the request's own.
    for (std::size_t n = 0; n + 1 < request.prompt.size(); ++n)
    {
        it.shared_parts = core::stable_hash(request.prompt[n].id, it.shared_parts);
        it.shared_tokens += request.prompt[n].tokens;
    }
    it.last_event = request.last_event;
    if (!it.via->model_sizes.empty() && request.model.empty())
        it.size = cascade_.first_size(*it.via);
    std::uint64_t sum = 0;
    for (const auto& e : it.via->services)
        sum += e.weight;
    auto rest = sum == 0 ? 0 : core::stable_hash(name, 1) % sum;
    for (const auto& e : it.via->services)
    {
        it.service = e.service;
        if (rest < e.weight)
            break;
        rest -= e.weight;
    }
}

void request_forwarder::on_caller_left(time_point now, flow_id id)
{
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
}

// Attempts

endpoint_need request_forwarder::need_of(time_point now, const flow& it) const
{
    endpoint_need out;
    out.service = it.service;
    out.versions = rollouts_.choose(it.service, it.session, pins_.find(it.arrived, it.session));
    out.tried = &it.tried;
    if (it.request.prompt_tokens == 0)
        return out;
    prompt_need prompt;
    const auto model = model_of(it);
    prompt.model = model.empty() ? it.request.model : model;
    prompt.shared = hash_of(it.shared_parts, prompt.model);
    prompt.shared_tokens = std::min(it.shared_tokens, it.request.prompt_tokens);
    prompt.own_tokens = it.request.prompt_tokens - prompt.shared_tokens;
    prompt.request_bytes = it.request.body_bytes;
    prompt.time_to_target = it.arrived + it.via->target_latency - now;
    out.prompt = prompt;
    return out;
}

model_id request_forwarder::model_of(const flow& it) const
{
    return it.via->model_sizes.empty() || !it.request.model.empty() ? model_id{}
                                                                    : it.via->model_sizes[it.size];
}

std::optional<placed_prompt> request_forwarder::place_prompt(time_point now, const endpoint_entry& to,
                                                             const endpoint_need& need)
{
    if (!need.prompt)
        return std::nullopt;
    auto& placement = chooser_.placement();
    const auto out = placement.sent(now, to, *need.prompt);
    if (!placement.is_told(out))
        return out;
    ++counters_.prompts_told;
    hooks_.prompt_went({out.endpoint, need.prompt->shared, std::chrono::ceil<milliseconds>(out.work)});
    return out;
}

void request_forwarder::prompt_read(time_point now, attempt& it)
{
    if (!it.prompt)
        return;
    chooser_.placement().answered(now, *it.prompt);
    hooks_.prompt_came({it.prompt->endpoint, std::chrono::floor<milliseconds>(now - it.prompt->sent_at)});
    it.prompt.reset();
}

bool request_forwarder::may_still_run(time_point now, const flow& it) const
{
    const bool needs_key = table_->has_accounts() && !it.via->is_public;
    if (!needs_key)
        return true;
    if (table_->find_account(it.request.key) != nullptr)
        return keys_hold(now);
    return it.key_held_at && now - *it.key_held_at < options_.key_grace;
}

bool request_forwarder::dispatch(time_point now, flow& it)
{
    if (!may_still_run(now, it))
        return false;
    const auto need = need_of(now, it);
    const auto* endpoint = chooser_.choose(now, endpoints_, need);
    if (endpoint == nullptr)
        return false;
    attempt_order order;
    order.id = attempt_id{next_attempt_++};
    order.flow = it.id;
    order.request = it.request.id;
    order.endpoint = *endpoint;
    order.account = it.account;
    order.priority = it.priority;
    order.time_left = std::chrono::floor<milliseconds>(it.deadline - now);
    order.last_event = it.last_event;
    const auto* service = table_->find_service(it.service);
    order.runs_models = service != nullptr && service->runs_models;
    order.fresh_connection = !it.via->is_idempotent();
    order.model = model_of(it);
    ++it.sends;
    ++counters_.attempts;
    it.tried.insert(endpoint->id);
    it.attempts.insert(order.id);
    it.last_progress = now;
    it.ask_at = now + liveness_.options().ask_after;
    attempt record;
    record.flow = it.id;
    record.endpoint = endpoint->id;
    record.version = endpoint->version;
    record.model = order.model;
    record.number = it.sends;
    record.started = now;
    record.prompt = place_prompt(now, *endpoint, need);
    chooser_.started(endpoint->id);
    auto line = describe(now, it, "dispatched");
    line.endpoint = endpoint->id.str();
    line.version = endpoint->version.str();
    line.model = order.model.str();
    line.session = it.request.session.str();
    line.attempt = it.sends;
    line.time_left_ms = order.time_left.count();
    if (record.prompt)
    {
        line.expected_wait_ms = std::chrono::floor<milliseconds>(record.prompt->wait).count();
        line.expected_read_ms = std::chrono::floor<milliseconds>(record.prompt->work).count();
    }
    attempts_.emplace(order.id, std::move(record));
    hooks_.log(line);
    hooks_.start(order);
    return true;
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
    pins_.ran(now, it.session, version);
    if (rollouts_.spreads_runs(it.service, it.session))
        hooks_.session_ran({it.session, version});
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
    chooser_.finished(out.endpoint);
    return out;
}

void request_forwarder::cancel_attempts(time_point now, flow& it)
{
    const auto all = it.attempts;
    for (const auto id : all)
    {
        take_attempt(now, id);
        hooks_.cancel(id);
    }
}

void request_forwarder::sample_head(time_point now, const flow& it, const attempt& from)
{
    version_sample out;
    out.service = it.service;
    out.version = from.version;
    out.endpoint = from.endpoint;
    out.route = it.via->name;
    out.model = from.model;
    out.first = now - from.started;
    rollouts_.on_sample(out);
}

void request_forwarder::sample(time_point now, const flow& it, const attempt& from, bool is_bad)
{
    version_sample out;
    out.service = it.service;
    out.version = from.version;
    out.endpoint = from.endpoint;
    out.route = it.via->name;
    out.is_bad = is_bad;
    out.model = from.model;
    constexpr std::uint32_t least_events = 3;
    if (from.first_event && from.events >= least_events)
        out.pace = (now - *from.first_event) / (from.events - 1);
    rollouts_.on_sample(out);
}

} // namespace runlink::routing
