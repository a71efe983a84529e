// What streams show about speeds and lengths. Only active while the load of engines is tracked.

#include <utility>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

/// Events in one sample of the time per token. Fewer cost more CPU time and scatter with the network and the
/// prompts that the engine processes in between; more leave short responses without a sample.
constexpr std::uint32_t events_per_sample = 4;

} // namespace

std::uint32_t request_forwarder::running_at(time_point now, const endpoint_id& at) const
{
    return chooser_.placement().state_of(now, load::hash_of(at)).running;
}

std::uint32_t request_forwarder::tokens_per_event(const flow& it)
{
    const auto* found = it.table->find_service(it.service);
    return found == nullptr ? 0 : found->engine.tokens_per_event;
}

model_id request_forwarder::asked_model(const flow& it, const attempt& from)
{
    return from.model.empty() ? it.request.model : from.model;
}

void request_forwarder::learn_token_speed(time_point now, const flow& it, attempt& from)
{
    if (!load_active_.engine_load || (from.events - 1) % events_per_sample != 0)
        return;
    const auto since = std::exchange(from.sampled_at, now);
    const auto tokens = tokens_per_event(it) * events_per_sample;
    if (from.events == 1 || tokens == 0 || since == time_point{})
        return;
    chooser_.placement().token_speeds().observe(asked_model(it, from), load::hash_of(from.endpoint),
                                                running_at(now, from.endpoint), (now - since) / tokens);
}

void request_forwarder::learn_length(const flow& it, bool is_complete)
{
    const auto tokens = it.events * tokens_per_event(it);
    if (!load_active_.engine_load || tokens == 0)
        return;
    // The events that the caller received before it resumed the stream itself are not known.
    if (is_complete && !it.request.last_event)
        chooser_.placement().answer_lengths().observe(it.matched_route->name, it.request.length_hint, tokens);
    else
        chooser_.placement().answer_lengths().observe_cut(it.matched_route->name, it.request.length_hint,
                                                          tokens);
}

} // namespace runlink::routing
