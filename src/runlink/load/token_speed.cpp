#include "runlink/load/token_speed.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace runlink::load
{
namespace
{

duration to_duration(double microseconds)
{
    return duration{std::llround(microseconds)};
}

} // namespace

token_speed::line token_speed::initial() const
{
    return {static_cast<double>(options_.initial_per_token.count()),
            static_cast<double>(options_.initial_per_stream.count())};
}

token_speed::line token_speed::line_of(const core::model_id& model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? initial() : found->second.fitted;
}

void token_speed::observe(const core::model_id& model, endpoint_hash at, std::uint32_t running,
                          duration time_per_token)
{
    if (time_per_token <= duration::zero())
        return;
    if (models_.size() >= options_.most_models && !models_.contains(model))
        forget_oldest();
    const auto time = static_cast<double>(time_per_token.count());
    auto& it = models_[model];
    it.last = ++count_;
    it.latest.push_front({static_cast<double>(running), time / factors_.factor(at)});
    if (it.latest.size() > options_.most_samples)
        it.latest.pop_back();
    it.fitted = fit(it.latest);
    factors_.observe(at, time / it.fitted.at(running));
}

double token_speed::weight_of(std::size_t age) const
{
    return std::exp2(-static_cast<double>(age) / options_.half_life);
}

double token_speed::median_ratio(const std::deque<sample>& newest_first) const
{
    const auto expected = initial();
    std::vector<std::pair<double, double>> ratios; // with weights
    ratios.reserve(newest_first.size());
    double total = 0;
    for (std::size_t n = 0; n < newest_first.size(); ++n)
    {
        const auto& it = newest_first[n];
        ratios.emplace_back(it.time / expected.at(it.running), weight_of(n));
        total += ratios.back().second;
    }
    std::sort(ratios.begin(), ratios.end());
    double below = 0;
    for (const auto& [ratio, weight] : ratios)
        if ((below += weight) * 2 >= total)
            return ratio;
    return 1;
}

token_speed::line token_speed::fit(const std::deque<sample>& newest_first) const
{
    // The limits for outliers depend on the line, so that it is fitted again with better limits.
    constexpr int passes = 3;
    const auto typical = initial().scaled(median_ratio(newest_first));
    auto out = typical;
    for (int n = 0; n < passes; ++n)
        out = fit_within(newest_first, out, typical);
    return out;
}

token_speed::line token_speed::fit_within(const std::deque<sample>& newest_first, const line& expected,
                                          const line& typical) const
{
    const auto limited = [&](const sample& it)
    {
        // An expected time near zero would limit all samples to zero.
        const auto center = std::max(expected.at(it.running), typical.at(it.running) / options_.max_ratio);
        return std::clamp(it.time, center / options_.max_ratio, center * options_.max_ratio);
    };
    // First the scale of the initial line, then the deviation from its slope around the mean `running`.
    const auto shape = initial();
    double weights = 0;
    double times = 0;
    double shapes = 0;
    double runnings = 0;
    for (std::size_t n = 0; n < newest_first.size(); ++n)
    {
        const auto& it = newest_first[n];
        const auto weight = weight_of(n);
        weights += weight;
        times += weight * limited(it);
        shapes += weight * shape.at(it.running);
        runnings += weight * it.running;
    }
    const auto scaled = shape.scaled(times / shapes);
    const auto mean = runnings / weights;
    double covariance = 0;
    double variance = options_.prior_samples * options_.prior_spread * options_.prior_spread;
    for (std::size_t n = 0; n < newest_first.size(); ++n)
    {
        const auto& it = newest_first[n];
        const auto weighted = weight_of(n) * (it.running - mean);
        covariance += weighted * (limited(it) - scaled.at(it.running));
        variance += weighted * (it.running - mean);
    }
    // Neither the time per stream nor the fixed time may be negative.
    auto slope = std::max(covariance / variance, -scaled.per_stream);
    if (mean > 0)
        slope = std::min(slope, scaled.fixed / mean);
    return {std::max(0.0, scaled.fixed - slope * mean), std::max(0.0, scaled.per_stream + slope)};
}

duration token_speed::per_token(const core::model_id& model, endpoint_hash at, std::uint32_t running) const
{
    return to_duration(line_of(model).at(running) * factors_.factor(at));
}

duration token_speed::per_stream(const core::model_id& model, endpoint_hash at) const
{
    return to_duration(line_of(model).per_stream * factors_.factor(at));
}

void token_speed::forget_oldest()
{
    const auto oldest =
        std::min_element(models_.begin(), models_.end(),
                         [](const auto& a, const auto& b) { return a.second.last < b.second.last; });
    models_.erase(oldest);
}

} // namespace runlink::load
