/// \file
/// Rate and concurrency limits of client accounts.
#pragma once

#include <cstdint>
#include <map>

#include "runlink/core/configuration.hpp"
#include "runlink/core/rate_limiter.hpp"

namespace runlink::core
{

/// Admits requests within this instance's share of each account's limits.
///
/// The share is fixed: the limit divided by the number of instances that the deployment runs. The sum of the
/// shares therefore never exceeds the limit, also during a network partition.
class account_limits
{
public:
    explicit account_limits(std::uint32_t instances);

    void apply(const configuration& configuration);
    /// Counts a request as in flight. Fails with `account_limit` and the time after which to retry.
    result<void> admit(time_point now, const account_id& account);
    void finished(const account_id& account);
    std::uint32_t in_flight(const account_id& account) const;

private:
    struct usage
    {
        bool rate_limited = false;
        rate_limiter rate{0, 0};
        std::uint32_t max_in_flight = 0;
        std::uint32_t in_flight = 0;
    };

    std::uint32_t instances_;
    std::map<account_id, usage> usage_;
};

} // namespace runlink::core
