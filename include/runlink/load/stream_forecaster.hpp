/// \file
/// Forecast of a stream from the state of the endpoint that it would be sent to.
#pragma once

#include "runlink/load/forecast.hpp"
#include "runlink/load/load_options.hpp"

namespace runlink::load
{

/// What is known of the speed of a model at an endpoint.
struct stream_speed
{
    duration read{};       ///< time to read the part of the prompt that is not cached
    duration per_token{};  ///< with the streams that would run there, this one included
    duration per_stream{}; ///< by which one more stream prolongs each token
};

/// Number of streams that run at the same time if one is added; the others wait.
std::uint32_t running_with(const endpoint_state& state, const engine_limits& limits);

/// Forecasts a stream that is sent now. It is pure: equal arguments give equal results.
///
/// `counts` takes the streams there to have the length and speed of this one, half of it generated. `ends`
/// uses their own expected lengths and ends.
stream_forecast forecast_stream(forecast_kind kind, const endpoint_state& state, const engine_limits& limits,
                                const stream_need& need, const stream_speed& speed);

} // namespace runlink::load
