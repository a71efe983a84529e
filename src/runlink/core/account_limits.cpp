#include "runlink/core/account_limits.hpp"

#include <algorithm>

namespace runlink::core
{
namespace
{

/// A burst may be as large as the number of requests admitted in this time.
constexpr double burst_seconds = 1.0;
constexpr milliseconds in_flight_retry_after{200};

} // namespace

account_limits::account_limits(std::uint32_t instances) : instances_{std::max(instances, 1U)} {}

void account_limits::apply(const configuration& configuration)
{
    for (const auto& it : configuration.accounts)
    {
        auto& usage = usage_[it.id];
        const double rate = it.requests_per_second / instances_;
        const double burst = std::max(1.0, rate * burst_seconds);
        const bool was_limited = usage.rate_limited;
        usage.rate_limited = it.requests_per_second > 0;
        if (was_limited)
            usage.rate.reconfigure(rate, burst);
        else
            usage.rate = rate_limiter{rate, burst};
        usage.max_in_flight = it.max_in_flight == 0 ? 0 : std::max(1U, it.max_in_flight / instances_);
    }
    std::erase_if(usage_, [&](const auto& it)
                  { return it.second.in_flight == 0 && configuration.find_account(it.first) == nullptr; });
}

result<void> account_limits::admit(time_point now, const account_id& account)
{
    auto& it = usage_[account];
    if (it.max_in_flight > 0 && it.in_flight >= it.max_in_flight)
        return failure{errc::account_limit, "max_in_flight", in_flight_retry_after};
    if (it.rate_limited && !it.rate.try_take(now))
        return failure{errc::account_limit, "requests_per_second",
                       std::chrono::ceil<milliseconds>(it.rate.time_until_token(now))};
    ++it.in_flight;
    return boost::outcome_v2::success();
}

void account_limits::finished(const account_id& account)
{
    auto& it = usage_[account];
    if (it.in_flight > 0)
        --it.in_flight;
}

std::uint32_t account_limits::in_flight(const account_id& account) const
{
    const auto found = usage_.find(account);
    return found == usage_.end() ? 0 : found->second.in_flight;
}

} // namespace runlink::core
