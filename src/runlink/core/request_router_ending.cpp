// The part of `request_router` that handles events of attempts and ends requests.

#include "runlink/core/request_router.hpp"

#include <algorithm>
#include <utility>

namespace runlink::core
{
namespace
{

constexpr int first_error_status = 400;
constexpr int first_server_error_status = 500;
constexpr double service_time_average_weight = 0.1;
constexpr std::uint64_t tokens_per_priced_unit = 1000;

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

// Events of attempts

std::optional<request_router::attempt> request_router::end_attempt(time_point now, attempt_id id,
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
    it.can_keep_answer =
        it.can_keep_answer && it.kept_answer.size() + bytes.size() <= options_.max_kept_answer_bytes;
    if (it.can_keep_answer)
        it.kept_answer += bytes;
    if (!it.caller_gone)
        hooks_.forward(it.request.id, std::move(bytes));
}

void request_router::on_answered(time_point now, attempt_id id, endpoint_answer answer)
{
    now_ = now;
    const auto from = end_attempt(now, id,
                                  answer.status >= first_server_error_status ? attempt_result::lost
                                                                             : attempt_result::answered);
    if (!from)
        return;
    auto& it = requests_.at(from->request);
    if (answer.status >= first_server_error_status && !it.request.service)
        parts_.guard.failed(from->version);
    if (answer.status >= first_server_error_status && !it.answer_begun && may_retry(now, it))
    {
        it.failed_endpoints.insert(from->endpoint);
        enqueue(it.request.id, true);
        return dispatch_queued(now);
    }
    const double took_ms = static_cast<double>((now - from->started).count()) / 1000.0;
    mean_service_ms_ +=
        mean_service_ms_ <= 0 ? took_ms : service_time_average_weight * (took_ms - mean_service_ms_);
    charge(it, *from, answer.usage);
    if (!it.answer_begun)
        begin(it, answer.status, answer.content_type);
    if (!it.request.service && answer.status < first_error_status)
        hooks_.answered(it.request.id, from->version, it.kept_answer + answer.tail);
    settle(now, it, outcome_of(answer.status), std::move(answer.tail), std::nullopt);
    dispatch_queued(now);
}

void request_router::on_refused(time_point now, attempt_id id)
{
    now_ = now;
    const auto from = end_attempt(now, id, attempt_result::refused);
    if (!from)
        return;
    ++counters_.endpoint_refusals;
    auto& it = requests_.at(from->request);
    --it.attempt_count;
    it.may_have_run = it.attempt_count > 0;
    if (++it.refusals >= options_.max_refusals && !it.may_have_run)
        refuse_not_run(now, it, {errc::endpoint_refused, from->endpoint.str(), options_.default_retry_after});
    else if (it.refusals >= options_.max_refusals)
        end_unknown(now, it, {errc::endpoint_refused, from->endpoint.str()});
    else
        enqueue(it.request.id, true);
    dispatch_queued(now);
}

void request_router::on_lost(time_point now, attempt_id id, const attempt_loss& loss)
{
    now_ = now;
    const auto from = end_attempt(now, id, attempt_result::lost);
    if (!from)
        return;
    auto& it = requests_.at(from->request);
    if (!it.request.service && loss.why.code == errc::endpoint_answer_invalid)
        parts_.guard.failed(from->version);
    if (!loss.may_have_run)
    {
        --it.attempt_count;
        it.may_have_run = it.attempt_count > 0;
    }
    it.failed_endpoints.insert(from->endpoint);
    retry_or_end(now, it, loss);
    dispatch_queued(now);
}

bool request_router::may_retry(time_point now, const active_request& it)
{
    const bool safe = it.request.repeatable || !it.may_have_run;
    const bool in_time = now - it.arrived < it.request.deadline;
    return safe && !it.answer_begun && !it.caller_gone && in_time &&
           it.attempt_count < options_.max_attempts && retry_budget_.try_take();
}

void request_router::retry_or_end(time_point now, active_request& it, const attempt_loss& loss)
{
    if (may_retry(now, it))
    {
        ++counters_.retries;
        if (!parts_.selector.any_usable(now, demand_of(it)))
            it.failed_endpoints.clear();
        return enqueue(it.request.id, true);
    }
    if (it.may_have_run)
        end_unknown(now, it, loss.why);
    else
        refuse_not_run(now, it, loss.why);
}

// End of requests

void request_router::begin(active_request& it, int status, const std::string& content_type)
{
    it.answer_begun = true;
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

void request_router::charge(active_request& it, const attempt& from, const token_usage& usage) const
{
    it.usage.prompt = token_count{it.usage.prompt.value() + usage.prompt.value()};
    it.usage.answer = token_count{it.usage.answer.value() + usage.answer.value()};
    const auto* version = configuration_->find_version(from.version);
    const auto price = version == nullptr ? 0 : version->cost_per_1k_tokens.value();
    const auto tokens = usage.prompt.value() + usage.answer.value();
    it.cost = micro_cost{it.cost.value() + tokens * price / tokens_per_priced_unit};
}

ledger_entry request_router::ledger_entry_of(const active_request& it) const
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

void request_router::settle(time_point now, active_request& it, run_outcome outcome, std::string tail,
                            std::optional<refusal> why)
{
    remove_from_queue(it);
    it.current_phase = phase::settling;
    auto entry = ledger_entry_of(it);
    entry.outcome = outcome;
    const bool keep = it.request.key && it.can_keep_answer && !why &&
                      it.kept_answer.size() + tail.size() <= options_.max_kept_answer_bytes;
    if (keep)
        entry.answer = {true, it.status, it.content_type, it.kept_answer + tail};
    it.kept_answer.clear();
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
    const bool caller_waits = !found->second.caller_gone;
    if (why)
        report_refusal(found->second, *why);
    remove_request(id);
    if (why || !caller_waits)
        return;
    ++counters_.answered;
    hooks_.end(id, std::move(tail));
}

void request_router::report_refusal(active_request& it, const refusal& why)
{
    if (std::exchange(it.caller_gone, true))
        return;
    count_refusal(why);
    hooks_.refuse(it.request.id, why);
}

void request_router::refuse_not_run(time_point now, active_request& it, failure why)
{
    const auto id = it.request.id;
    if (it.key_claimed)
        parts_.ledger.release(now, ledger_entry_of(it));
    if (!why.retry_after && why.code != errc::session_version_withdrawn)
        why.retry_after = options_.default_retry_after;
    finish(id, bill_safety::committed, {}, refusal{std::move(why), run_outcome::not_run});
}

void request_router::end_unknown(time_point now, active_request& it, failure why)
{
    // The caller is informed at once; only the record waits for the ledger.
    const refusal final_refusal{std::move(why), run_outcome::unknown};
    report_refusal(it, final_refusal);
    settle(now, it, run_outcome::unknown, {}, final_refusal);
}

void request_router::remove_request(const request_id& id)
{
    const auto found = requests_.find(id);
    remove_from_queue(found->second);
    parts_.limits.finished(found->second.request.account);
    requests_.erase(found);
}

void request_router::remove_from_queue(const active_request& it)
{
    if (it.current_phase != phase::queued)
        return;
    if (const auto queue = queues_.find(queue_name(it)); queue != queues_.end())
        queue->second.remove(it.request.id);
}

void request_router::count_refusal(const refusal& it)
{
    ++(it.outcome == run_outcome::not_run ? counters_.refused_not_run : counters_.ended_unknown);
}

// Disconnected callers and deadlines

void request_router::on_caller_left(time_point now, const request_id& id)
{
    now_ = now;
    const auto found = requests_.find(id);
    if (found == requests_.end())
        return;
    counters_.callers_left += found->second.caller_gone ? 0 : 1;
    found->second.caller_gone = true;
    abandon(now, found->second);
}

void request_router::abandon(time_point now, active_request& it)
{
    if (it.current_phase == phase::queued && !it.may_have_run)
        return refuse_not_run(now, it, {errc::caller_left, "connection"});
    // A request with an idempotency key goes on, because the caller can ask for its answer again.
    if (it.request.key || it.current_phase == phase::settling)
        return;
    for (const auto attempt : std::set<attempt_id>{it.attempts})
    {
        hooks_.cancel(attempt);
        end_attempt(now, attempt, attempt_result::cancelled);
    }
    end_unknown(now, it, {errc::caller_left, "connection"});
    dispatch_queued(now);
}

void request_router::expire(time_point now, active_request& it)
{
    const failure why{errc::deadline_exceeded, "Runlink-Deadline-Ms"};
    if (it.current_phase == phase::queued && !it.may_have_run)
        return refuse_not_run(now, it, why);
    if (it.current_phase == phase::queued)
        return end_unknown(now, it, why);
    if (it.current_phase != phase::running || it.caller_gone)
        return;
    report_refusal(it, {why, run_outcome::unknown});
    abandon(now, it);
}

void request_router::tick(time_point now)
{
    now_ = now;
    std::vector<request_id> expired;
    for (const auto& [id, it] : requests_)
        if (now - it.arrived >= it.request.deadline && it.current_phase != phase::settling)
            expired.push_back(id);
    for (const auto& id : expired)
        if (const auto found = requests_.find(id); found != requests_.end())
            expire(now, found->second);
    dispatch_queued(now);
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
