#include "runlink/crashes/end_rate.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::crashes
{
namespace
{

double seconds_of(core::duration it)
{
    return std::chrono::duration<double>(it).count();
}

/// Probability of `at_least` or more events of a Poisson process with `expected` events on average.
double tail_of_poisson(double expected, std::size_t at_least)
{
    double term = std::exp(-expected);
    double below = 0;
    for (std::size_t n = 0; n < at_least; ++n)
    {
        below += term;
        term *= expected / static_cast<double>(n + 1);
    }
    return std::max(0.0, 1 - below);
}

/// Probability of `at_least` or more successes before the given number of failures.
double tail_of_negative_binomial(double success, double failures, std::size_t at_least)
{
    double term = std::pow(1 - success, failures);
    double below = 0;
    for (std::size_t n = 0; n < at_least; ++n)
    {
        below += term;
        term *= success * (failures + static_cast<double>(n)) / static_cast<double>(n + 1);
    }
    return std::max(0.0, 1 - below);
}

} // namespace

void end_rate::ended(core::time_point now, endpoint_id_hash it)
{
    while (!ends_.empty() && now - ends_.front().at > options_.window)
        ends_.pop_front();
    ends_.push_back({now, it});
}

void end_rate::exclude(endpoint_id_hash it)
{
    std::erase_if(ends_, [&](const end& e) { return e.endpoint == it; });
}

void end_rate::watch(core::time_point now, std::size_t endpoints)
{
    began_ = began_.value_or(now);
    endpoints_ = std::max<std::size_t>(endpoints, 1);
}

core::duration end_rate::observation_time(core::time_point now) const
{
    const core::duration min_chance = core::seconds{1};
    return std::clamp<core::duration>(now - began_.value_or(now), min_chance, options_.window);
}

double end_rate::chance_of(core::time_point now,
                           const std::map<endpoint_id_hash, core::duration>& ended_under_request,
                           const std::set<endpoint_id_hash>& by_others) const
{
    // Leaves out the ends under the request itself, which would raise the rate and so hide a harmful request.
    const auto others_ended = std::count_if(ends_.begin(), ends_.end(),
                                            [&](const end& it)
                                            {
                                                return now - it.at <= options_.window &&
                                                       !ended_under_request.contains(it.endpoint) &&
                                                       !by_others.contains(it.endpoint);
                                            });
    const auto observed_endpoint_s = static_cast<double>(endpoints_) * seconds_of(observation_time(now));
    core::duration at_endpoints{};
    for (const auto& [endpoint, run_duration] : ended_under_request)
        at_endpoints += run_duration;
    const auto request_endpoint_s = seconds_of(at_endpoints);
    const auto n = ended_under_request.size();
    const auto min_chance = tail_of_poisson(request_endpoint_s / seconds_of(options_.max_mean_lifetime), n);
    // The negative binomial distribution accounts for the uncertainty of a rate estimated from few ends.
    return others_ended == 0
               ? min_chance
               : std::max(min_chance, tail_of_negative_binomial(
                                          request_endpoint_s / (observed_endpoint_s + request_endpoint_s),
                                          static_cast<double>(others_ended), n));
}

} // namespace runlink::crashes
