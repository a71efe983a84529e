#include "runlink/load/stream_forecaster.hpp"

#include <algorithm>

namespace runlink::load
{
namespace
{

/// Number of streams that have to end before there is a slot for another one.
std::uint32_t ends_for_slot(const endpoint_state& state, const engine_limits& limits)
{
    return limits.slots > 0 && state.running >= limits.slots ? state.running - limits.slots + 1 : 0;
}

/// Number of streams that have to end before the memory holds another one.
std::uint32_t ends_for_memory(const endpoint_state& state, const engine_limits& limits,
                              const stream_need& need)
{
    const auto wanted = std::uint64_t{state.held_tokens} + need.prompt_tokens + need.length.median;
    if (limits.memory_tokens == 0 || wanted <= limits.memory_tokens || state.running == 0)
        return 0;
    const auto mean = std::max<std::uint64_t>(state.held_tokens / state.running, 1);
    return static_cast<std::uint32_t>((wanted - limits.memory_tokens + mean - 1) / mean);
}

/// Mean time that the streams at the endpoint run on.
duration mean_run_left(forecast_kind kind, const endpoint_state& state, const stream_need& need,
                       const stream_speed& speed)
{
    return kind == forecast_kind::ends ? state.run_left / std::max(state.running, 1U)
                                       : speed.per_token * need.length.median / 2;
}

} // namespace

std::uint32_t running_with(const endpoint_state& state, const engine_limits& limits)
{
    return limits.slots > 0 ? std::min(state.running + 1, limits.slots) : state.running + 1;
}

stream_forecast forecast_stream(forecast_kind kind, const endpoint_state& state, const engine_limits& limits,
                                const stream_need& need, const stream_speed& speed)
{
    stream_forecast out;
    const auto running = limits.slots > 0 ? std::min(state.running, limits.slots) : state.running;
    const auto ends = std::max(ends_for_slot(state, limits), ends_for_memory(state, limits, need));
    // The ends of n streams are taken to be spread evenly over twice the mean time left.
    out.admission = mean_run_left(kind, state, need, speed) * 2 * ends / (running + 1);
    // Prompts that wait are read while this one waits to be admitted.
    out.first_token = std::max(out.admission, state.reading) + speed.read;
    out.per_token = speed.per_token;
    out.end = out.first_token + out.per_token * need.length.median;
    out.late_end = out.first_token + out.per_token * std::max(need.length.p90, need.length.median);
    const auto all = std::uint64_t{running} * need.length.median;
    const auto delayed = kind == forecast_kind::ends ? std::min(all, std::uint64_t{state.tokens_left}) : all;
    out.cost_to_others = speed.per_stream * static_cast<std::int64_t>(delayed);
    return out;
}

} // namespace runlink::load
