// Handling of a request on arrival: its route and API key, whether it can be served, and the placement of its
// prompt.

#include <algorithm>
#include <chrono>
#include <utility>

#include "runlink/core/hash.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

constexpr int status_unauthorized = 401;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
/// Parts of a prompt that are examined for crashes; bounds the cost of a request and of reports.
constexpr std::size_t max_examined_parts = 64;

std::vector<crashes::element_fingerprint> shared_parts_of(const inbound_request& it)
{
    std::vector<crashes::element_fingerprint> out;
    const auto shared = it.prompt.empty() ? 0 : it.prompt.size() - 1;
    const auto n = std::min(shared, max_examined_parts);
    out.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        out.push_back(crashes::fingerprint_of_part(it.prompt[i].id));
    return out;
}

} // namespace

void request_forwarder::on_request(time_point now, flow_id id, inbound_request request)
{
    ++counters_.requests;
    const auto arrived = paused_since_.value_or(now);
    if (is_started(now) || !start_queue_.try_hold(now, arrived, id, request))
        start_flow(now, arrived, id, std::move(request));
}

void request_forwarder::on_wake(time_point now, time_point since)
{
    paused_since_ = since;
    bounds_.on_wake(now);
    start_queue_.open(now); // keys may need a new proof, which is expected shortly
}

bool request_forwarder::is_started(time_point now) const
{
    return table_ && (!table_->has_accounts() || are_keys_proven(now));
}

void request_forwarder::process_start_queue(time_point now)
{
    const bool all = std::exchange(is_start_queue_ready_, false) && is_started(now);
    for (auto& it : all ? start_queue_.take_all() : start_queue_.take_due(now))
        start_flow(now, it.arrived, it.id, std::move(it.request));
}

void request_forwarder::start_flow(time_point now, time_point arrived, flow_id id, inbound_request request)
{
    flow it;
    it.id = id;
    it.request = std::move(request);
    it.table = table_;
    it.arrived = arrived;
    it.last_progress = now;
    if (const auto why = admit(now, it))
    {
        ++counters_.refused;
        auto line = describe(now, it, "refused");
        line.reason = to_string(why->why.code);
        line.content = to_hex(it.elements.content);
        line.status = why->status;
        line.outcome = core::run_outcome::not_run;
        hooks_.log(line);
        hooks_.ended(line, {});
        return hooks_.refuse(id, *why);
    }
    auto& kept = flows_.emplace(id, std::move(it)).first->second;
    retries_.try_emplace(kept.service, options_.retries).first->second.on_request(arrived);
    const auto first = plan_successor(now, kept, retry_cause::unsent);
    note_plain_arrival(now, kept, first ? first.value().endpoint : nullptr);
    if (first)
        send(now, kept, first.value());
    else if (first.error() == succession_denial::suspected)
        hold(now, kept);
    else if (first.error() == succession_denial::no_endpoint && may_wait(now, kept))
        wait_for_slot(now, kept);
    else
    {
        kept.denied = first.error();
        ++counters_.without_place;
        return end_without_answer(now, kept, core::errc::no_endpoint);
    }
    arm(kept, next_check(kept));
}

std::optional<refusal> request_forwarder::admit(time_point now, flow& request_flow)
{
    const auto unavailable = [&](core::errc code, std::string detail) {
        return refusal{status_unavailable, true, {code, std::move(detail), retry_after(now, request_flow)}};
    };
    if (!table_)
        return unavailable(core::errc::not_ready, "configuration");
    if (is_outdated(now))
        return unavailable(core::errc::cut_off, "newer configuration");
    request_flow.matched_route = table_->find_route(request_flow.request.host, request_flow.request.path);
    if (request_flow.matched_route == nullptr)
    {
        // An outdated table may lack a route that was added recently.
        if (!is_fresh(now, options_.max_denial_age))
            return unavailable(core::errc::cut_off, "route");
        return refusal{status_not_found, true, {core::errc::unknown_service, "route"}};
    }
    if (auto why = check_key(now, request_flow))
        return why;
    request_flow.deadline =
        request_flow.arrived + std::min(request_flow.request.time_left, request_flow.matched_route->timeout);
    const auto time = std::chrono::floor<milliseconds>(request_flow.deadline - now);
    if (time <= options_.min_time_left)
        return unavailable(core::errc::deadline_exceeded, "arrival");
    if (stop_ && now >= stop_->closed_from && request_flow.deadline > stop_->end)
        return unavailable(core::errc::stopping, "instance");
    request_flow.elements = {crashes::fingerprint_of(request_flow.request.content, request_flow.account),
                             shared_parts_of(request_flow.request)};
    if (attribution_.judge(now, request_flow.elements) == crashes::permission::refused)
    {
        ++counters_.harmful_refused;
        return unavailable(core::errc::request_harmful, "content");
    }
    assign_service(request_flow);
    const auto expected = expected_prompt(now, request_flow);
    if (!expected)
        return std::nullopt;
    const auto come_back = admission_.retry_after_if_overloaded(
        expected->wait, time, core::stable_hash(request_flow.request.id.str()));
    if (!come_back)
        return std::nullopt;
    return refusal{status_unavailable, true, {core::errc::overloaded, "backlog", come_back}};
}

std::optional<placed_prompt> request_forwarder::expected_prompt(time_point now, const flow& it) const
{
    if (it.request.prompt_tokens == 0 || it.matched_route == nullptr || it.service.empty())
        return std::nullopt;
    const auto need = need_of(now, it);
    const auto* endpoint = chooser_.peek(now, endpoints_, need);
    if (endpoint == nullptr || !need.prompt)
        return std::nullopt;
    return chooser_.placement().expect(now, *endpoint, *need.prompt);
}

milliseconds request_forwarder::retry_after(time_point now, const flow& it) const
{
    // A retry before this time would be refused again.
    if (const auto left = attribution_.refusal_time_left(now, it.elements); left > duration{})
        return std::chrono::ceil<milliseconds>(left);
    const auto expected = expected_prompt(now, it);
    const auto wait = expected ? expected->wait : it.service.empty() ? duration{} : time_to_slot(now, it);
    return admission_.retry_after(wait, core::stable_hash(it.request.id.str()));
}

std::optional<refusal> request_forwarder::check_key(time_point now, flow& it)
{
    it.priority = it.matched_route->priority;
    const auto* account = it.request.key.empty() ? nullptr : table_->find_account(it.request.key);
    const bool needs_key = table_->has_accounts() && !it.matched_route->is_public;
    if (needs_key)
    {
        const refusal stale{status_unavailable, true, {core::errc::cut_off, "keys", retry_after(now, it)}};
        if (!are_keys_proven(now))
            return stale;
        if (account == nullptr && !is_fresh(now, options_.max_denial_age))
            return stale;
        if (account == nullptr)
            return refusal{status_unauthorized, true, {core::errc::unauthenticated, "key"}};
    }
    if (account != nullptr)
    {
        it.account = account->id;
        it.owner = account;
        it.priority = account->priority.value_or(it.priority);
    }
    return std::nullopt;
}

void request_forwarder::assign_service(flow& it) const
{
    const auto& request = it.request;
    const auto& name = request.session.empty() ? request.id.str() : request.session.str();
    it.session = session_hash{core::stable_hash(name)};
    // The last part is not shared with other requests.
    for (std::size_t n = 0; n + 1 < request.prompt.size(); ++n)
    {
        it.shared_parts = core::stable_hash(request.prompt[n].id, it.shared_parts);
        it.shared_tokens += request.prompt[n].tokens;
    }
    it.position = stream_position{request.last_event};
    if (!it.matched_route->model_sizes.empty() && request.model.empty())
        it.model_index = cascade_.first_size(*it.matched_route);
    std::uint64_t sum = 0;
    for (const auto& e : it.matched_route->services)
        sum += e.weight;
    auto rest = sum == 0 ? 0 : core::stable_hash(name, 1) % sum;
    for (const auto& e : it.matched_route->services)
    {
        it.service = e.service;
        if (rest < e.weight)
            break;
        rest -= e.weight;
    }
}

// Prompts

endpoint_need request_forwarder::need_of(time_point now, const flow& it) const
{
    endpoint_need out;
    out.service = it.service;
    out.versions = rollouts_.choose(it.service, it.session, pins_.find(it.arrived, it.session));
    out.tried = &it.tried;
    out.may_use = [this, now, &it](const endpoint_entry& e) { return may_use(now, it, e); };
    if (it.request.prompt_tokens == 0)
        return out;
    prompt_need prompt;
    const auto model = model_of(it);
    prompt.model = model.empty() ? it.request.model : model;
    prompt.shared = hash_of(it.shared_parts, prompt.model);
    prompt.shared_tokens = std::min(it.shared_tokens, it.request.prompt_tokens);
    prompt.own_tokens = it.request.prompt_tokens - prompt.shared_tokens;
    prompt.request_bytes = it.request.body_bytes;
    prompt.time_to_target = it.arrived + it.matched_route->target_latency - now;
    add_stream_need(it, prompt);
    out.prompt = prompt;
    return out;
}

model_id request_forwarder::model_of(const flow& it) const
{
    return it.matched_route->model_sizes.empty() || !it.request.model.empty()
               ? model_id{}
               : it.matched_route->model_sizes[it.model_index];
}

std::optional<placed_prompt> request_forwarder::place_prompt(time_point now, const endpoint_entry& to,
                                                             const std::optional<prompt_need>& need,
                                                             const std::optional<tracked_stream>& stream)
{
    if (!need)
        return std::nullopt;
    auto& placement = chooser_.placement();
    const auto out = placement.sent(now, to, *need);
    if (stream)
        placement.stream_sent(now, *stream);
    else if (!placement.should_announce(out))
        return out;
    ++counters_.prompts_told;
    hooks_.announce_prompt_sent(
        stream ? stream->sent
               : prompt_sent{out.endpoint, need->shared, std::chrono::ceil<milliseconds>(out.work)});
    return out;
}

void request_forwarder::on_prompt_read(time_point now, attempt& it)
{
    if (!it.prompt)
        return;
    chooser_.placement().answered(now, *it.prompt);
    hooks_.announce_prompt_answered({it.prompt->endpoint,
                                     std::chrono::floor<milliseconds>(now - it.prompt->sent_at),
                                     it.stream ? it.stream->sent.stream : load::stream_hash{}});
    it.prompt.reset();
}

} // namespace runlink::routing
