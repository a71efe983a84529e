#include "runlink/core/request_router.hpp"

#include <algorithm>
#include <utility>

namespace runlink::core
{
namespace
{

constexpr int first_error_status = 400;
constexpr int first_server_error = 500;
constexpr double service_time_weight = 0.1;
constexpr std::uint64_t tokens_per_price = 1000;

bill_id bill_of(const caller_request& it)
{
    if (it.key)
        return bill_id{"k:" + it.account.str() + "/" + it.key->str()};
    return bill_id{"r:" + it.id.str()};
}

run_outcome outcome_of(int status)
{
    return status < first_error_status ? run_outcome::ran : run_outcome::unknown;
}

} // namespace

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
    pump(now_);
}

// Arrival

void request_router::on_request(time_point now, const caller_request& request)
{
    now_ = now;
    const auto id = request.id;
    auto checked = check(now, request);
    if (!checked)
    {
        const refusal it{checked.error(), run_outcome::not_run};
        count_refusal(it);
        return hooks_.refuse(id, it);
    }
    ++counters_.admitted;
    auto& it = requests_.emplace(id, std::move(checked).value()).first->second;
    it.arrived = now;
    if (it.request.key)
        return claim(now, id);
    enqueue(id, false);
    pump(now);
}

result<request_router::active> request_router::check(time_point now, const caller_request& request) const
{
    if (stopping_)
        return failure{errc::stopping, "instance", options_.retry_after};
    if (!configuration_)
        return failure{errc::not_ready, "configuration", options_.retry_after};
    if (parts_.ledger.is_full())
        return failure{errc::ledger_unavailable, "pending", options_.retry_after};
    const auto* account = configuration_->find_account(request.account);
    if (account == nullptr)
        return failure{errc::unauthenticated, "account"};
    active it;
    it.request = request;
    BOOST_OUTCOME_TRYV(check_target(*account, it));
    BOOST_OUTCOME_TRYV(check_room(now, it));
    BOOST_OUTCOME_TRYV(parts_.limits.admit(now, request.account));
    return it;
}

result<void> request_router::check_target(const account_settings& account, active& it) const
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
    BOOST_OUTCOME_TRY(version, version_for(now_, it));
    it.version = version;
    return boost::outcome_v2::success();
}

result<void> request_router::check_session(const account_settings& account, active& it) const
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
    it.pin = pin.version;
    return boost::outcome_v2::success();
}

result<void> request_router::check_room(time_point now, const active& it) const
{
    const auto demand = demand_of(it);
    const auto capacity = parts_.selector.capacity(now, demand);
    if (capacity == 0)
        return failure{errc::no_endpoint, queue_name(it), options_.retry_after};
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
    parts_.ledger.claim(now, entry_of(it), it.request.repeatable, on_claim);
}

void request_router::on_claimed(const request_id& id, const result<ledger_reply>& reply)
{
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.at != phase::claiming)
        return;
    auto& it = found->second;
    const bool granted = reply && reply.value().status == ledger_status::granted;
    it.claimed = granted;
    if (granted && it.caller_gone)
        return refuse_not_run(now_, it, {errc::caller_left, "connection"});
    if (granted || (!reply && it.request.repeatable))
    {
        enqueue(id, false);
        return pump(now_);
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
        return end_with(errc::request_in_progress, run_outcome::unknown, options_.retry_after);
    case ledger_status::key_reused: return end_with(errc::key_reused, run_outcome::not_run, std::nullopt);
    default: return end_with(errc::request_unknown, run_outcome::unknown, std::nullopt);
    }
}

void request_router::replay(active& it, const ledger_entry& record)
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

std::string request_router::queue_name(const active& it) const
{
    return it.request.service ? "service/" + it.request.service->str() : "model/" + it.request.model.str();
}

void request_router::enqueue(const request_id& id, bool front)
{
    auto& it = requests_.at(id);
    it.at = phase::queued;
    auto& queue = queues_[queue_name(it)];
    if (front)
        queue.push_front(it.request.account, id, it.request.quick);
    else
        queue.push(it.request.account, id, it.request.quick);
}

void request_router::pump(time_point now)
{
    if (std::exchange(pumping_, true))
        return;
    std::vector<std::string> names;
    for (const auto& [name, it] : queues_)
        if (it.size() > 0)
            names.push_back(name);
    for (const auto& name : names)
        queues_[name].offer([&](const request_id& id) { return try_start(now, id); });
    std::erase_if(queues_, [](const auto& it) { return it.second.size() == 0; });
    pumping_ = false;
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
    if (!it.request.service)
    {
        const auto version = version_for(now, it);
        if (!version)
        {
            if (it.may_have_run)
                end_unknown(now, it, version.error());
            else
                refuse_not_run(now, it, version.error());
            return true;
        }
        it.version = version.value();
    }
    const auto* endpoint = parts_.selector.pick(now, demand_of(it));
    if (endpoint == nullptr)
        return false;
    dispatch(now, it, *endpoint);
    return true;
}

result<version_ref> request_router::version_for(time_point now, const active& it) const
{
    const auto* account = configuration_->find_account(it.request.account);
    if (account == nullptr)
        return failure{errc::unauthenticated, "account"};
    if (it.pin)
        return check_version(*configuration_, *account, *it.pin, true);
    if (it.request.version)
        return check_version(*configuration_, *account, {it.request.model, *it.request.version}, false);
    const auto filter = [&](const version_settings& settings, const version_ref& ref)
    { return parts_.guard.admits(now, ref, settings.state); };
    return choose_version(*configuration_, *account, it.request, filter);
}

endpoint_demand request_router::demand_of(const active& it) const
{
    endpoint_demand out;
    out.quick = it.request.quick;
    out.prefix_hash = it.request.prefix_hash;
    out.excluded = it.tried.empty() ? nullptr : &it.tried;
    if (it.request.service)
        out.pool = configuration_->find_service(*it.request.service)->pool;
    else
        out.version = it.version;
    return out;
}

void request_router::dispatch(time_point now, active& it, const endpoint_settings& endpoint)
{
    const attempt_id id{next_attempt_++};
    it.at = phase::running;
    it.endpoint = endpoint.id;
    it.attempts.insert(id);
    it.may_have_run = true;
    ++it.tries;
    ++counters_.attempts;
    if (it.tries == 1)
        retries_.on_first_attempt();
    attempts_.emplace(id, attempt{it.request.id, endpoint.id, it.version, now, false});
    parts_.selector.started(endpoint.id);
    if (!it.request.service)
        parts_.guard.started(now, it.version);
    const auto left = it.request.deadline - std::chrono::floor<milliseconds>(now - it.arrived);
    hooks_.dispatch({id, it.request.id, endpoint, it.version, left});
}

// What becomes of an attempt

std::optional<request_router::attempt> request_router::take_attempt(time_point now, attempt_id id,
                                                                    attempt_result result)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
    {
        ++counters_.late_events;
        return std::nullopt;
    }
    auto out = std::move(found->second);
    attempts_.erase(found);
    parts_.selector.finished(now, out.endpoint, result);
    requests_.at(out.request).attempts.erase(id);
    return out;
}

void request_router::on_head(time_point now, attempt_id id, int status, const std::string& content_type)
{
    now_ = now;
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
    {
        ++counters_.late_events;
        return;
    }
    parts_.selector.first_byte(found->second.endpoint, now - found->second.started);
    auto& it = requests_.at(found->second.request);
    if (it.request.stream && status < first_error_status)
        begin(it, status, content_type);
}

void request_router::on_bytes(time_point now, attempt_id id, std::string bytes)
{
    now_ = now;
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
    {
        ++counters_.late_events;
        return;
    }
    auto& it = requests_.at(found->second.request);
    it.keep = it.keep && it.kept.size() + bytes.size() <= options_.kept_answer_bytes;
    if (it.keep)
        it.kept += bytes;
    if (!it.caller_gone)
        hooks_.forward(it.request.id, std::move(bytes));
}

void request_router::on_answered(time_point now, attempt_id id, endpoint_answer answer)
{
    now_ = now;
    const auto from = take_attempt(
        now, id, answer.status >= first_server_error ? attempt_result::lost : attempt_result::answered);
    if (!from)
        return;
    auto& it = requests_.at(from->request);
    if (answer.status >= first_server_error && !it.request.service)
        parts_.guard.failed(from->version);
    if (answer.status >= first_server_error && !it.begun && may_retry(now, it))
    {
        it.tried.insert(from->endpoint);
        enqueue(it.request.id, true);
        return pump(now);
    }
    const double took_ms = static_cast<double>((now - from->started).count()) / 1000.0;
    mean_service_ms_ += mean_service_ms_ <= 0 ? took_ms : service_time_weight * (took_ms - mean_service_ms_);
    charge(it, *from, answer.usage);
    if (!it.begun)
        begin(it, answer.status, answer.content_type);
    if (!it.request.service && answer.status < first_error_status)
        hooks_.answered(it.request.id, from->version, it.kept + answer.tail);
    settle(now, it, outcome_of(answer.status), std::move(answer.tail), std::nullopt);
    pump(now);
}

void request_router::on_refused(time_point now, attempt_id id)
{
    now_ = now;
    const auto from = take_attempt(now, id, attempt_result::refused);
    if (!from)
        return;
    ++counters_.endpoint_refusals;
    auto& it = requests_.at(from->request);
    --it.tries;
    it.may_have_run = it.tries > 0;
    if (++it.refusals >= options_.max_refusals && !it.may_have_run)
        refuse_not_run(now, it, {errc::endpoint_refused, from->endpoint.str(), options_.retry_after});
    else if (it.refusals >= options_.max_refusals)
        end_unknown(now, it, {errc::endpoint_refused, from->endpoint.str()});
    else
        enqueue(it.request.id, true);
    pump(now);
}

void request_router::on_lost(time_point now, attempt_id id, const attempt_loss& loss)
{
    now_ = now;
    const auto from = take_attempt(now, id, attempt_result::lost);
    if (!from)
        return;
    auto& it = requests_.at(from->request);
    if (!it.request.service && loss.why.code == errc::endpoint_answer_invalid)
        parts_.guard.failed(from->version);
    if (!loss.may_have_run)
    {
        --it.tries;
        it.may_have_run = it.tries > 0;
    }
    it.tried.insert(from->endpoint);
    retry_or_end(now, it, loss);
    pump(now);
}

bool request_router::may_retry(time_point now, const active& it)
{
    const bool safe = it.request.repeatable || !it.may_have_run;
    const bool in_time = now - it.arrived < it.request.deadline;
    return safe && !it.begun && !it.caller_gone && in_time && it.tries < options_.max_tries &&
           retries_.try_take();
}

void request_router::retry_or_end(time_point now, active& it, const attempt_loss& loss)
{
    if (may_retry(now, it))
    {
        ++counters_.retries;
        if (!parts_.selector.any_usable(now, demand_of(it)))
            it.tried.clear();
        return enqueue(it.request.id, true);
    }
    if (it.may_have_run)
        end_unknown(now, it, loss.why);
    else
        refuse_not_run(now, it, loss.why);
}

// The end

void request_router::begin(active& it, int status, const std::string& content_type)
{
    it.begun = true;
    it.status = status;
    it.content_type = content_type;
    if (it.caller_gone)
        return;
    answer_head head;
    head.status = status;
    head.content_type = content_type;
    head.version = it.version;
    head.outcome = outcome_of(status);
    if (!it.session.empty())
        head.session_token = parts_.sessions.issue({it.request.account, it.version, it.session});
    hooks_.begin(it.request.id, head);
}

void request_router::charge(active& it, const attempt& from, const token_usage& usage) const
{
    it.usage.prompt = token_count{it.usage.prompt.value() + usage.prompt.value()};
    it.usage.answer = token_count{it.usage.answer.value() + usage.answer.value()};
    const auto* version = configuration_->find_version(from.version);
    const auto price = version == nullptr ? 0 : version->cost_per_1k_tokens.value();
    const auto tokens = usage.prompt.value() + usage.answer.value();
    it.cost = micro_cost{it.cost.value() + tokens * price / tokens_per_price};
}

ledger_entry request_router::entry_of(const active& it) const
{
    ledger_entry out;
    out.bill = bill_of(it.request);
    out.request = it.request.id;
    out.holder = self_;
    out.account = it.request.account;
    out.keyed = it.request.key.has_value();
    out.repeatable = it.request.repeatable;
    out.fingerprint = it.request.fingerprint;
    out.at = hooks_.wall_clock();
    out.version = it.version;
    out.service = it.request.service.value_or(service_id{});
    out.endpoint = it.endpoint;
    out.prompt_tokens = it.usage.prompt;
    out.answer_tokens = it.usage.answer;
    out.cost = it.cost;
    return out;
}

void request_router::settle(time_point now, active& it, run_outcome outcome, std::string tail,
                            std::optional<refusal> why)
{
    leave_queue(it);
    it.at = phase::settling;
    auto entry = entry_of(it);
    entry.outcome = outcome;
    const bool keep =
        it.request.key && it.keep && !why && it.kept.size() + tail.size() <= options_.kept_answer_bytes;
    if (keep)
        entry.answer = {true, it.status, it.content_type, it.kept + tail};
    it.kept.clear();
    const auto id = it.request.id;
    const auto on_safe = [this, id, tail = std::move(tail), why = std::move(why)](bill_safety safety)
    { finish(id, safety, tail, why); };
    parts_.ledger.settle(now, std::move(entry), on_safe);
}

void request_router::finish(const request_id& id, bill_safety safety, std::string tail,
                            const std::optional<refusal>& why)
{
    counters_.bills_copied += safety == bill_safety::copied ? 1 : 0;
    counters_.bills_at_risk += safety == bill_safety::at_risk ? 1 : 0;
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    const bool listens = !found->second.caller_gone;
    if (why)
        tell(found->second, *why);
    forget(id);
    if (why || !listens)
        return;
    ++counters_.answered;
    hooks_.end(id, std::move(tail));
}

void request_router::tell(active& it, const refusal& why)
{
    if (std::exchange(it.caller_gone, true))
        return;
    count_refusal(why);
    hooks_.refuse(it.request.id, why);
}

void request_router::refuse_not_run(time_point now, active& it, failure why)
{
    const auto id = it.request.id;
    if (it.claimed)
        parts_.ledger.release(now, entry_of(it));
    if (!why.retry_after && why.code != errc::session_version_withdrawn)
        why.retry_after = options_.retry_after;
    finish(id, bill_safety::committed, {}, refusal{std::move(why), run_outcome::not_run});
}

void request_router::end_unknown(time_point now, active& it, failure why)
{
    // The caller is told at once; only the record waits for the ledger.
    const refusal final_word{std::move(why), run_outcome::unknown};
    tell(it, final_word);
    settle(now, it, run_outcome::unknown, {}, final_word);
}

void request_router::forget(const request_id& id)
{
    const auto found = requests_.find(id);
    leave_queue(found->second);
    parts_.limits.finished(found->second.request.account);
    requests_.erase(found);
}

void request_router::leave_queue(const active& it)
{
    if (it.at != phase::queued)
        return;
    if (const auto queue = queues_.find(queue_name(it)); queue != queues_.end())
        queue->second.remove(it.request.id);
}

void request_router::count_refusal(const refusal& it)
{
    ++(it.outcome == run_outcome::not_run ? counters_.refused_not_run : counters_.ended_unknown);
}

// Callers that leave, and time

void request_router::on_caller_left(time_point now, const request_id& id)
{
    now_ = now;
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    counters_.callers_left += found->second.caller_gone ? 0 : 1;
    found->second.caller_gone = true;
    give_up(now, found->second);
}

void request_router::give_up(time_point now, active& it)
{
    if (it.at == phase::queued && !it.may_have_run)
        return refuse_not_run(now, it, {errc::caller_left, "connection"});
    // With a key the answer is wanted: the caller will ask for it again.
    if (it.request.key || it.at == phase::settling)
        return;
    for (const auto attempt : std::set<attempt_id>{it.attempts})
    {
        hooks_.cancel(attempt);
        take_attempt(now, attempt, attempt_result::cancelled);
    }
    end_unknown(now, it, {errc::caller_left, "connection"});
    pump(now);
}

void request_router::expire(time_point now, active& it)
{
    const failure why{errc::deadline_exceeded, "Runlink-Deadline-Ms"};
    if (it.at == phase::queued && !it.may_have_run)
        return refuse_not_run(now, it, why);
    if (it.at == phase::queued)
        return end_unknown(now, it, why);
    if (it.at != phase::running || it.caller_gone)
        return;
    tell(it, {why, run_outcome::unknown});
    give_up(now, it);
}

void request_router::tick(time_point now)
{
    now_ = now;
    std::vector<request_id> expired;
    for (const auto& [id, it] : requests_)
        if (now - it.arrived >= it.request.deadline && it.at != phase::settling)
            expired.push_back(id);
    for (const auto& id : expired)
        if (const auto found = requests_.find(id); found != requests_.end())
            expire(now, found->second);
    pump(now);
}

std::size_t request_router::waiting_callers() const
{
    return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(),
                                                  [](const auto& it) { return !it.second.caller_gone; }));
}

std::size_t request_router::queued_count() const
{
    std::size_t out = 0;
    for (const auto& [unused, it] : queues_)
        out += it.size();
    return out;
}

} // namespace runlink::core
