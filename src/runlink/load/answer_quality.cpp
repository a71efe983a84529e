#include "runlink/load/answer_quality.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::load
{
namespace
{

/// Confidence at which an answer is as likely good as bad by the prior.
constexpr int neutral_confidence = 50;

/// Part of the confidences below `confidence` in the prior distribution.
double prior_rank(int confidence, int max_confidence, double share)
{
    const auto at_neutral = 1 - share;
    if (confidence <= neutral_confidence)
        return at_neutral * confidence / neutral_confidence;
    return at_neutral + share * (confidence - neutral_confidence) / (max_confidence - neutral_confidence);
}

} // namespace

answer_quality::answer_quality(const answer_quality_options& options)
    : options_{options}, middle_share_{share_after_rejection()}
{
}

void answer_quality::observe(const core::model_id& model, int confidence)
{
    auto& it = models_[model];
    it.latest.push_back(static_cast<std::uint8_t>(std::clamp(confidence, 0, max_confidence)));
    ++it.counts[it.latest.back()];
    if (it.latest.size() <= options_.max_samples)
        return;
    --it.counts[it.latest.front()];
    it.latest.pop_front();
}

double answer_quality::curve(double rank, double share) const
{
    const auto logistic = 1 / (1 + std::exp(options_.steepness * (1 - share - rank)));
    return options_.doubt + (1 - 2 * options_.doubt) * logistic;
}

double answer_quality::rank(const core::model_id& model, int confidence, double share) const
{
    const auto at = std::clamp(confidence, 0, max_confidence);
    const auto prior = prior_rank(at, max_confidence, share);
    const auto found = models_.find(model);
    if (found == models_.end())
        return prior;
    const auto& counts = found->second.counts;
    double below = counts[static_cast<std::size_t>(at)] / 2.0;
    for (int n = 0; n < at; ++n)
        below += counts[static_cast<std::size_t>(n)];
    return (prior * options_.prior_samples + below) /
           (options_.prior_samples + static_cast<double>(found->second.latest.size()));
}

double answer_quality::chance_good(const core::model_id& model, std::size_t size, std::size_t sizes,
                                   int confidence) const
{
    if (size + 1 >= sizes)
        return 1;
    const auto share = size == 0 ? options_.smallest_good : middle_share_;
    return curve(rank(model, confidence, share), share);
}

double answer_quality::prior_chance_good(int confidence) const
{
    const auto at = std::clamp(confidence, 0, max_confidence);
    return curve(prior_rank(at, max_confidence, options_.smallest_good), options_.smallest_good);
}

double answer_quality::share_of(std::size_t size, std::size_t sizes) const
{
    if (size + 1 >= sizes)
        return 1;
    return size == 0 ? options_.smallest_good : options_.middle_good;
}

double answer_quality::chance_of_larger(double chance, std::size_t size, std::size_t larger,
                                        std::size_t sizes) const
{
    const auto own = share_of(size, sizes);
    if (own >= 1)
        return chance;
    return chance + (1 - chance) * std::max(share_of(larger, sizes) - own, 0.0) / (1 - own);
}

double answer_quality::share_after_rejection() const
{
    // Rejected are about the answers that rank below the part of bad ones.
    constexpr int steps = 64;
    const auto rejected = 1 - options_.smallest_good;
    double sum = 0;
    for (int n = 0; n < steps; ++n)
        sum += curve(rejected * (n + 0.5) / steps, options_.smallest_good);
    constexpr std::size_t three_sizes = 3;
    return chance_of_larger(sum / steps, 0, 1, three_sizes);
}

} // namespace runlink::load
