#include "runlink/load/token_speed.hpp"

namespace runlink::load
{
namespace
{

/// Time per token of a model of pace 1, in microseconds: alone, and for each running stream.
constexpr double alone_us = 2600;
constexpr double per_stream_us = 120;
constexpr double weight_of_sample = 0.1;

double line_us(std::uint32_t running)
{
    return alone_us + per_stream_us * running;
}

duration us(double it)
{
    return duration{static_cast<duration::rep>(it)};
}

} // namespace

double token_speed::pace_of(const core::model_id& model) const
{
    const auto found = paces_.find(model);
    return found == paces_.end() ? 1 : found->second;
}

void token_speed::observe(const core::model_id& model, endpoint_hash, std::uint32_t running,
                          duration time_per_token)
{
    const auto pace = static_cast<double>(time_per_token.count()) / line_us(running);
    auto& known = paces_.try_emplace(model, pace).first->second;
    known += (pace - known) * weight_of_sample;
}

duration token_speed::per_token(const core::model_id& model, endpoint_hash, std::uint32_t running) const
{
    return us(line_us(running) * pace_of(model));
}

duration token_speed::per_stream(const core::model_id& model, endpoint_hash) const
{
    return us(per_stream_us * pace_of(model));
}

} // namespace runlink::load
