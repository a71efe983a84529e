#include "runlink/core/rate_limiter.hpp"

#include <algorithm>

namespace runlink::core
{
namespace
{

constexpr double microseconds_per_second = 1e6;

} // namespace

void rate_limiter::reconfigure(double rate, double burst)
{
    rate_ = rate;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst);
}

bool rate_limiter::try_take(time_point now)
{
    refill(now);
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

duration rate_limiter::time_until_token(time_point now)
{
    refill(now);
    if (tokens_ >= 1)
        return duration::zero();
    if (rate_ <= 0)
        return duration::max();
    return duration{static_cast<duration::rep>((1 - tokens_) / rate_ * microseconds_per_second) + 1};
}

void rate_limiter::refill(time_point now)
{
    if (now <= last_)
        return;
    const double elapsed = static_cast<double>((now - last_).count()) / microseconds_per_second;
    tokens_ = std::min(burst_, tokens_ + elapsed * rate_);
    last_ = now;
}

} // namespace runlink::core
