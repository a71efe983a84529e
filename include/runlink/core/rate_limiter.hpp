/// \file
/// Token bucket rate limiter.
#pragma once

#include "runlink/core/units.hpp"

namespace runlink::core
{

/// Admits `rate` events per second on average, and up to `burst` events at once.
class rate_limiter
{
public:
    rate_limiter(double rate, double burst) : rate_{rate}, burst_{burst}, tokens_{burst} {}

    /// Changes the rate and the burst. Saved tokens are kept, up to the new burst.
    void reconfigure(double rate, double burst);
    /// Takes a token if one is available.
    bool try_take(time_point now);
    /// Time until a token is available; zero if one is available now, the maximum if the rate is 0.
    duration time_until_token(time_point now);

private:
    void refill(time_point now);

    double rate_;
    double burst_;
    double tokens_; ///< tokens in the bucket; each admits one event
    time_point last_{};
};

} // namespace runlink::core
