// The choice between the answer of a smaller model and larger models, by the forecasts of their endpoints.

#include <chrono>
#include <utility>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

double price_of(const service& it, const model_id& model)
{
    for (const auto& e : it.models)
        if (e.model == model)
            return e.per_1k_tokens;
    return 0;
}

} // namespace

std::optional<load::stream_forecast>
request_forwarder::forecast_of(time_point now, const endpoint_entry& to,
                               const std::optional<prompt_need>& need) const
{
    if (!need)
        return std::nullopt;
    return options_.forecast ? options_.forecast(now, to, *need)
                             : chooser_.placement().forecast(now, to, *need);
}

load::model_choice_input request_forwarder::choice_input_of(time_point now, const flow& it,
                                                            const attempt& from, int confidence) const
{
    load::model_choice_input out;
    out.model = from.model;
    out.size = it.model_index;
    out.sizes = it.matched_route->model_sizes.size();
    out.confidence = confidence;
    out.elapsed = now - it.arrived;
    out.target_latency = it.matched_route->target_latency;
    out.deadline_left = it.deadline - now;
    out.target_gap = it.matched_route->target_gap;
    const auto* endpoint = endpoints_.find(from.endpoint);
    if (endpoint == nullptr)
        return out;
    if (const auto own = forecast_of(now, *endpoint, need_of(now, it).prompt))
    {
        out.rest = own->end - own->first_token;
        out.late_rest = own->late_end - own->first_token;
    }
    return out;
}

bool request_forwarder::add_larger(time_point now, const flow& it, larger_models& out)
{
    const auto* service = table_->find_service(it.service);
    if (service == nullptr)
        return false;
    out.in.tokens_per_event = service->engine.tokens_per_event;
    auto larger = it;
    larger.tried.clear(); // the same endpoint may run the larger model
    for (++larger.model_index; larger.model_index < out.in.sizes; ++larger.model_index)
    {
        const auto next = plan_successor(now, larger, retry_cause::escalation);
        if (!next)
            continue;
        const auto& to = next.value();
        const auto expected = forecast_of(now, *to.endpoint, to.prompt);
        if (!expected)
            return false;
        const auto reading = chooser_.placement().expect(now, *to.endpoint, *to.prompt).work;
        out.in.larger.push_back(
            {larger.model_index, *expected, reading, price_of(*service, model_of(larger))});
        out.to.push_back(to);
    }
    return !out.to.empty();
}

std::optional<bool> request_forwarder::try_choose_model(time_point now, flow& it, attempt_id from,
                                                        int confidence)
{
    const auto& sent = attempts_.at(from);
    model_choice_.observe(sent.model, confidence);
    larger_models all;
    all.in = choice_input_of(now, it, sent, confidence);
    // Most answers are kept at any load. For them, no endpoint is sought.
    if (confidence >= options_.cascade.accept_confidence && !model_choice_.may_gain(all.in))
        return false;
    if (!add_larger(now, it, all))
        return std::nullopt;
    const auto chosen = model_choice_.decide(all.in);
    if (!chosen.ask)
    {
        note_kept(now, it, from, all, chosen.reason);
        return false;
    }
    const auto& larger = all.in.larger[*chosen.ask];
    auto line = describe(now, it, "escalated");
    line.confidence = confidence;
    line.endpoint = sent.endpoint.str();
    line.model = it.matched_route->model_sizes[larger.size].str();
    line.expected_end_ms = std::chrono::floor<milliseconds>(larger.forecast.end).count();
    line.time_left_ms = std::chrono::floor<milliseconds>(all.in.deadline_left).count();
    line.reason = to_string(chosen.reason);
    hooks_.log(line);
    if (larger.size + 1 < all.in.sizes)
        ++counters_.escalated_to_middle;
    ask_larger(now, it, from, larger.size, all.to[*chosen.ask]);
    return true;
}

void request_forwarder::note_kept(time_point now, flow& it, attempt_id from, const larger_models& all,
                                  load::choice_reason why)
{
    // Logged only where the thresholds would have decided otherwise.
    const auto& largest = all.to.back();
    if (cascade_.accepts(cascade_input_of(now, it, all.in.confidence, largest)))
        return;
    if (why == load::choice_reason::deadline)
        ++counters_.kept_for_time;
    else if (why != load::choice_reason::confidence)
        ++counters_.kept_for_load;
    auto line = describe(now, it, "not_escalated");
    line.confidence = all.in.confidence;
    line.endpoint = attempts_.at(from).endpoint.str();
    line.model = attempts_.at(from).model.str();
    line.expected_end_ms = std::chrono::floor<milliseconds>(all.in.larger.back().forecast.end).count();
    line.time_left_ms = std::chrono::floor<milliseconds>(all.in.deadline_left).count();
    line.reason = to_string(why);
    hooks_.log(line);
}

} // namespace runlink::routing
