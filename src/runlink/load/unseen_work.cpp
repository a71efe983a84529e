#include "runlink/load/unseen_work.hpp"

#include <cmath>

namespace runlink::load
{
namespace
{

constexpr double time_constant_us = 1e6;
/// Middle of the usual ages of announcements, 60 to 300 ms.
constexpr double mean_age_us = 180e3;

} // namespace

double unseen_work::recent_us(core::time_point now) const
{
    return sum_us_ * std::exp(-static_cast<double>((now - at_).count()) / time_constant_us);
}

void unseen_work::add(core::time_point now, core::duration work)
{
    sum_us_ = recent_us(now) + static_cast<double>(work.count());
    at_ = now;
}

core::duration unseen_work::unseen(core::time_point now) const
{
    return core::duration{static_cast<core::duration::rep>(recent_us(now) * mean_age_us / time_constant_us)};
}

} // namespace runlink::load
