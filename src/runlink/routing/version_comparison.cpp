#include "runlink/routing/version_comparison.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::routing
{
namespace
{

/// Kullback-Leibler divergence of a share from a lower one, per answer.
double divergence(double share, double from)
{
    const double hits = share > 0 ? share * std::log(share / from) : 0;
    const double rest = share < 1 ? (1 - share) * std::log((1 - share) / (1 - from)) : 0;
    return hits + rest;
}

/// Estimated share of a flaw in the old version's answers, and the variance of the estimate.
struct old_share
{
    double mean = 0;
    double variance = 0;
};

old_share share_of(const answer_counts& old, answer_flaw flaw, const flaw_options& of,
                   const comparison_options& options)
{
    const double answers = old.all + options.usual_answers;
    const double mean = (old[flaw] + of.usual_share * options.usual_answers) / answers;
    return {mean, mean * (1 - mean) / answers};
}

} // namespace

double evidence_of(const std::vector<answer_pair>& groups, answer_flaw flaw, const flaw_options& of,
                   const comparison_options& options)
{
    double answers = 0;
    double hits = 0;
    double expected = 0;
    double variance = 0;
    for (const auto& it : groups)
    {
        const double n = it.fresh.all;
        const auto old = share_of(it.old, flaw, of, options);
        answers += n;
        hits += it.fresh[flaw];
        expected += n * old.mean;
        variance += n * n * old.variance;
    }
    if (answers == 0)
        return 0;
    constexpr double highest = 0.999; // keeps the logarithm in `divergence` finite
    const auto allowed =
        expected / answers + options.old_errors * std::sqrt(variance) / answers + of.tolerance;
    const auto share = hits / answers;
    if (allowed >= highest || share <= allowed)
        return 0;
    return answers * divergence(share, allowed);
}

} // namespace runlink::routing
