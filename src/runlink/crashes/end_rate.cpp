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

/// Probability of so many or more where this many are expected.
double tail_of_poisson(double expected, std::size_t many)
{
    double term = std::exp(-expected);
    double below = 0;
    for (std::size_t n = 0; n < many; ++n)
    {
        below += term;
        term *= expected / static_cast<double>(n + 1);
    }
    return std::max(0.0, 1 - below);
}

/// Probability of so many successes or more before that many failures.
double tail_of_negative_binomial(double success, double failures, std::size_t many)
{
    double term = std::pow(1 - success, failures);
    double below = 0;
    for (std::size_t n = 0; n < many; ++n)
    {
        below += term;
        term *= success * (failures + static_cast<double>(n)) / static_cast<double>(n + 1);
    }
    return std::max(0.0, 1 - below);
}

} // namespace

void end_rate::ended(core::time_point now, endpoint_life it)
{
    while (!ends_.empty() && now - ends_.front().at > options_.window)
        ends_.pop_front();
    ends_.push_back({now, it});
}

void end_rate::explained(endpoint_life it)
{
    std::erase_if(ends_, [&](const end& e) { return e.endpoint == it; });
}

void end_rate::watch(core::time_point now, std::size_t endpoints)
{
    began_ = began_.value_or(now);
    endpoints_ = std::max<std::size_t>(endpoints, 1);
}

core::duration end_rate::watched(core::time_point now) const
{
    const core::duration least = core::seconds{1};
    return std::clamp<core::duration>(now - began_.value_or(now), least, options_.window);
}

double end_rate::chance_of(core::time_point now, const std::map<endpoint_life, core::duration>& under_it,
                           const std::set<endpoint_life>& by_others) const
{
    // Its own ends would hide it.
    const auto others = std::count_if(ends_.begin(), ends_.end(),
                                      [&](const end& it)
                                      {
                                          return now - it.at <= options_.window &&
                                                 !under_it.contains(it.endpoint) &&
                                                 !by_others.contains(it.endpoint);
                                      });
    const auto all = static_cast<double>(endpoints_) * seconds_of(watched(now));
    core::duration at_endpoints{};
    for (const auto& [endpoint, ran] : under_it)
        at_endpoints += ran;
    const auto there = seconds_of(at_endpoints);
    const auto n = under_it.size();
    const auto least = tail_of_poisson(there / seconds_of(options_.longest_life), n);
    // The rate is known no better than the ends tell that it was learned from.
    return others == 0 ? least
                       : std::max(least, tail_of_negative_binomial(there / (all + there),
                                                                   static_cast<double>(others), n));
}

} // namespace runlink::crashes
