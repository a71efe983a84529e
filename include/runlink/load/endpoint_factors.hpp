/// \file
/// How much slower or faster each endpoint is than the fleet, learned from samples.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "runlink/load/load_messages.hpp"

namespace runlink::load
{

/// Parameters of the estimate.
struct endpoint_factor_options
{
    /// Weight of factor 1, in samples. Single samples scatter by about 20 %, the endpoints of a fleet by
    /// about 13 % (a third of them 1.3 times slower): (20 / 13)^2, rounded up.
    double prior_samples = 3;
    /// Largest weight of the samples of an endpoint; about so many of the latest samples count.
    double most_samples = 16;
    /// Samples of other endpoints after which the samples of an endpoint have half their weight. An endpoint
    /// that is avoided as slow is not sampled, and would otherwise remain avoided for ever.
    double half_life = 4096;
    /// A sample counts as at most this multiple of the present estimate, and at least its inverse: beyond it,
    /// something else such as a pause delayed the sample.
    double max_ratio = 2;
    /// Endpoints that are remembered; the one sampled longest ago is forgotten first.
    std::size_t most_endpoints = 1024;
};

/// Estimates a factor for each endpoint, shrunk towards 1 while its samples are few.
class endpoint_factors
{
public:
    explicit endpoint_factors(endpoint_factor_options options = {}) : options_{options} {}

    /// Adds a sample: a time at the endpoint, divided by the time expected of the fleet.
    void observe(endpoint_hash at, double ratio);
    /// Time at the endpoint, relative to the fleet; 1 for an endpoint without samples.
    double factor(endpoint_hash at) const;

private:
    struct estimate
    {
        double log_ratio = 0;   ///< mean over the latest samples
        double samples = 0;     ///< weight of the samples, at `last`
        std::uint64_t last = 0; ///< value of `count_` at the latest sample
    };

    double weight_of(const estimate& it) const;
    double shrunk(const estimate& it) const;
    void forget_oldest();

    endpoint_factor_options options_;
    std::uint64_t count_ = 0; ///< samples of all endpoints
    std::unordered_map<endpoint_hash, estimate> endpoints_;
};

} // namespace runlink::load
