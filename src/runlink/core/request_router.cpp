#include "runlink/core/request_router.hpp"

#include <algorithm>
#include <utility>

namespace runlink::core
{
request_router::request_router(router_options options, incarnation_id self, router_hooks hooks,
                               router_parts parts)
    : options_{options}, self_{std::move(self)}, hooks_{std::move(hooks)}, parts_{parts}
{
}

void request_router::apply(configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    parts_.selector.apply(configuration_);
    parts_.limits.apply(*configuration_);
    dispatch_queued(now_);
}

// Arrival

void request_router::on_request(time_point now, const caller_request& request)
{
    now_ = now;
    const auto id = request.id;
    auto admitted_request = admit_request(now, request);
    if (!admitted_request)
    {
        const refusal it{admitted_request.error(), run_outcome::not_run};
        count_refusal(it);
        return hooks_.refuse(id, it);
    }
    ++counters_.admitted;
    auto& it = requests_.emplace(id, std::move(admitted_request).value()).first->second;
    it.arrived = now;
    if (it.request.key)
        return claim(now, id);
    enqueue(id, false);
    dispatch_queued(now);
}

result<request_router::active_request> request_router::admit_request(time_point now,
                                                                     const caller_request& request) const
{
    if (stopping_)
        return failure{errc::stopping, "instance", options_.default_retry_after};
    if (!configuration_)
        return failure{errc::not_ready, "configuration", options_.default_retry_after};
    if (parts_.ledger.is_full())
        return failure{errc::ledger_unavailable, "pending", options_.default_retry_after};
    const auto* account = configuration_->find_account(request.account);
    if (account == nullptr)
        return failure{errc::unauthenticated, "account"};
    active_request it;
    it.request = request;
    BOOST_OUTCOME_TRYV(check_target(*account, it));
    BOOST_OUTCOME_TRYV(check_capacity(now, it));
    BOOST_OUTCOME_TRYV(parts_.limits.admit(now, request.account));
    return it;
}

result<void> request_router::check_target(const account_settings& account, active_request& it) const
{
    if (it.request.service)
    {
        if (configuration_->find_service(*it.request.service) == nullptr)
            return failure{errc::unknown_service, it.request.service->str()};
        if (!account.allows_service(*it.request.service))
            return failure{errc::not_allowed, it.request.service->str()};
        return boost::outcome_v2::success();
    }
    if (configuration_->find_model(it.request.model) == nullptr)
        return failure{errc::unknown_model, it.request.model.str()};
    BOOST_OUTCOME_TRYV(check_session(account, it));
    BOOST_OUTCOME_TRY(version, select_version(now_, it));
    it.version = version;
    return boost::outcome_v2::success();
}

result<void> request_router::check_session(const account_settings& account, active_request& it) const
{
    const auto& session = it.request.session;
    if (session.empty())
        return boost::outcome_v2::success();
    it.session = session_id{it.request.id.str()};
    if (session == new_session)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(pin, parts_.sessions.verify(session));
    const bool fits = pin.account == account.id && pin.version.model == it.request.model &&
                      (!it.request.version || *it.request.version == pin.version.version);
    if (!fits)
        return failure{errc::session_token_invalid, "Runlink-Session"};
    it.session = pin.session;
    it.pinned_version = pin.version;
    return boost::outcome_v2::success();
}

result<void> request_router::check_capacity(time_point now, const active_request& it) const
{
    const auto demand = demand_of(it);
    const auto capacity = parts_.selector.capacity(now, demand);
    if (capacity == 0)
        return failure{errc::no_endpoint, queue_name(it), options_.default_retry_after};
    const auto found = queues_.find(queue_name(it));
    const auto queued = found == queues_.end() ? 0 : found->second.size();
    if (queued == 0)
        return boost::outcome_v2::success();
    const auto wait_ms = static_cast<double>(queued) / capacity * mean_service_ms_;
    const milliseconds wait{static_cast<milliseconds::rep>(wait_ms)};
    if (queued >= options_.max_queued ||
        wait + milliseconds{static_cast<milliseconds::rep>(mean_service_ms_)} > it.request.deadline)
        return failure{errc::overloaded, queue_name(it), std::max(wait, milliseconds{100})};
    return boost::outcome_v2::success();
}

// Idempotency key

void request_router::claim(time_point now, const request_id& id)
{
    const auto& it = requests_.at(id);
    const auto on_claim = [this, id](const result<ledger_reply>& reply) { on_claimed(id, reply); };
    parts_.ledger.claim(now, ledger_entry_of(it), it.request.repeatable, on_claim);
}

void request_router::on_claimed(const request_id& id, const result<ledger_reply>& reply)
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.current_phase != phase::claiming)
        return;
    auto& it = found->second;
    const bool granted = reply && reply.value().status == ledger_status::granted;
    it.key_claimed = granted;
    if (granted && it.caller_gone)
        return refuse_not_run(now_, it, {errc::caller_left, "connection"});
    if (granted || (!reply && it.request.repeatable))
    {
        enqueue(id, false);
        return dispatch_queued(now_);
    }
    if (!reply)
        return refuse_not_run(now_, it, reply.error());
    const auto end_with = [&](errc code, run_outcome outcome, std::optional<milliseconds> retry_after)
    {
        const refusal why{{code, "Idempotency-Key", retry_after}, outcome};
        finish(id, bill_safety::committed, {}, why);
    };
    switch (reply.value().status)
    {
    case ledger_status::settled: return replay(it, reply.value().record);
    case ledger_status::in_progress:
        return end_with(errc::request_in_progress, run_outcome::unknown, options_.default_retry_after);
    case ledger_status::key_reused: return end_with(errc::key_reused, run_outcome::not_run, std::nullopt);
    default: return end_with(errc::request_unknown, run_outcome::unknown, std::nullopt);
    }
}

void request_router::replay(active_request& it, const ledger_entry& record)
{
    const auto id = it.request.id;
    if (!record.answer.kept)
    {
        const bool ran = record.outcome == run_outcome::ran;
        const auto code = ran ? errc::answer_not_kept : errc::request_unknown;
        return finish(id, bill_safety::committed, {}, refusal{{code, "Idempotency-Key"}, record.outcome});
    }
    ++counters_.replayed;
    answer_head head;
    head.status = record.answer.status;
    head.content_type = record.answer.content_type;
    head.version = record.version;
    head.outcome = record.outcome;
    head.replayed = true;
    if (!it.session.empty())
        head.session_token = parts_.sessions.issue({it.request.account, record.version, it.session});
    if (!it.caller_gone)
        hooks_.begin(id, head);
    finish(id, bill_safety::committed, record.answer.body, std::nullopt);
}

// Queue and dispatch

std::string request_router::queue_name(const active_request& it) const
{
    return it.request.service ? "service/" + it.request.service->str() : "model/" + it.request.model.str();
}

void request_router::enqueue(const request_id& id, bool front)
{
    auto& it = requests_.at(id);
    it.current_phase = phase::queued;
    auto& queue = queues_[queue_name(it)];
    if (front)
        queue.push_front(it.request.account, id, it.request.quick);
    else
        queue.push(it.request.account, id, it.request.quick);
}

void request_router::dispatch_queued(time_point now)
{
    if (std::exchange(dispatching_queued_, true))
        return;
    std::vector<std::string> names;
    for (const auto& [name, it] : queues_)
        if (it.size() > 0)
            names.push_back(name);
    for (const auto& name : names)
        queues_[name].offer([&](const request_id& id) { return try_start(now, id); });
    std::erase_if(queues_, [](const auto& it) { return it.second.size() == 0; });
    dispatching_queued_ = false;
}

bool request_router::try_start(time_point now, const request_id& id)
{
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return true;
    auto& it = found->second;
    if (now - it.arrived >= it.request.deadline)
    {
        expire(now, it);
        return true;
    }
    if (const auto target = refresh_target(now, it); !target)
    {
        if (it.may_have_run)
            end_unknown(now, it, target.error());
        else
            refuse_not_run(now, it, target.error());
        return true;
    }
    const auto* endpoint = parts_.selector.pick(now, demand_of(it));
    if (endpoint == nullptr)
        return false;
    dispatch(now, it, *endpoint);
    return true;
}

result<void> request_router::refresh_target(time_point now, active_request& it) const
{
    const auto& service = it.request.service;
    if (service && configuration_->find_service(*service) == nullptr)
        return failure{errc::unknown_service, service->str()};
    if (service)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(version, select_version(now, it));
    it.version = version;
    return boost::outcome_v2::success();
}

result<version_ref> request_router::select_version(time_point now, const active_request& it) const
{
    const auto* account = configuration_->find_account(it.request.account);
    if (account == nullptr)
        return failure{errc::unauthenticated, "account"};
    if (it.pinned_version)
        return check_version(*configuration_, *account, *it.pinned_version, true);
    if (it.request.version)
        return check_version(*configuration_, *account, {it.request.model, *it.request.version}, false);
    const auto filter = [&](const version_settings& settings, const version_ref& ref)
    { return parts_.guard.admits(now, ref, settings.state); };
    return choose_version(*configuration_, *account, it.request, filter);
}

endpoint_demand request_router::demand_of(const active_request& it) const
{
    endpoint_demand out;
    out.quick = it.request.quick;
    out.prefix_hash = it.request.prefix_hash;
    out.excluded = it.failed_endpoints.empty() ? nullptr : &it.failed_endpoints;
    if (it.request.service)
    {
        // The empty id of a service that was removed matches no pool.
        const auto* service = configuration_->find_service(*it.request.service);
        out.pool = service == nullptr ? pool_id{} : service->pool;
    }
    else
        out.version = it.version;
    return out;
}

void request_router::dispatch(time_point now, active_request& it, const endpoint_settings& endpoint)
{
    const attempt_id id{next_attempt_++};
    it.current_phase = phase::running;
    it.endpoint = endpoint.id;
    it.attempts.insert(id);
    it.may_have_run = true;
    ++it.attempt_count;
    ++counters_.attempts;
    if (it.attempt_count == 1)
        retry_budget_.on_first_attempt();
    attempts_.emplace(id, attempt{it.request.id, endpoint.id, it.version, now, false});
    parts_.selector.started(endpoint.id);
    if (!it.request.service)
        parts_.guard.started(now, it.version);
    const auto left = it.request.deadline - std::chrono::floor<milliseconds>(now - it.arrived);
    hooks_.dispatch({id, it.request.id, endpoint, it.version, left});
}

} // namespace runlink::core
