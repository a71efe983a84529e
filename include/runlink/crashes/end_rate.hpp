/// \file
/// Estimates how often endpoints end, and how likely it is that they end under one request by chance.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "runlink/core/units.hpp"
#include "runlink/crashes/crash_messages.hpp"

namespace runlink::crashes
{

/// Parameters of the rate estimate.
struct end_rate_options
{
    /// Time over which the rate is measured.
    core::seconds window{10};
    /// Lower bound of the rate: each endpoint ends at least once in this time on average.
    core::seconds max_mean_lifetime{600};
};

/// Measures the rate at which endpoints end.
class end_rate
{
public:
    explicit end_rate(end_rate_options options = {}) : options_{options} {}

    /// Sets the current number of endpoints. The measurement starts with the first call.
    void watch(core::time_point now, std::size_t endpoints);
    /// An endpoint has ended.
    void ended(core::time_point now, endpoint_id_hash it);
    /// Excludes the end of an endpoint whose cause is known from the rate of chance ends.
    void exclude(endpoint_id_hash it);
    /// Time over which the rate has been measured, from 1 s to `window`.
    core::duration observation_time(core::time_point now) const;
    /// Probability that at least as many endpoints end by chance as ended while they ran one request.
    /// `ended_under_request`: these endpoints, and how long the request had run on each.
    /// `by_others`: ends probably caused by another request, which do not count as chance.
    double chance_of(core::time_point now,
                     const std::map<endpoint_id_hash, core::duration>& ended_under_request,
                     const std::set<endpoint_id_hash>& by_others = {}) const;

private:
    end_rate_options options_;
    std::size_t endpoints_ = 1;
    std::optional<core::time_point> began_;
    struct end
    {
        core::time_point at{};
        endpoint_id_hash endpoint;
    };
    std::deque<end> ends_;
};

} // namespace runlink::crashes
