#include "runlink/load/endpoint_factors.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::load
{

double endpoint_factors::weight_of(const estimate& it) const
{
    return it.samples * std::exp2(-static_cast<double>(count_ - it.last) / options_.half_life);
}

double endpoint_factors::shrunk(const estimate& it) const
{
    const auto weight = weight_of(it);
    return it.log_ratio * weight / (weight + options_.prior_samples);
}

void endpoint_factors::observe(endpoint_hash at, double ratio)
{
    if (!std::isfinite(ratio) || ratio <= 0)
        return;
    if (endpoints_.size() >= options_.most_endpoints && !endpoints_.contains(at))
        forget_oldest();
    auto& it = endpoints_[at];
    const auto center = shrunk(it);
    const auto limit = std::log(options_.max_ratio);
    const auto sample = std::clamp(std::log(ratio), center - limit, center + limit);
    it.samples = std::min(weight_of(it) + 1, options_.most_samples);
    it.log_ratio += (sample - it.log_ratio) / it.samples;
    it.last = ++count_;
}

double endpoint_factors::factor(endpoint_hash at) const
{
    const auto found = endpoints_.find(at);
    return found == endpoints_.end() ? 1 : std::exp(shrunk(found->second));
}

void endpoint_factors::forget_oldest()
{
    const auto oldest =
        std::min_element(endpoints_.begin(), endpoints_.end(),
                         [](const auto& a, const auto& b) { return a.second.last < b.second.last; });
    endpoints_.erase(oldest);
}

} // namespace runlink::load
