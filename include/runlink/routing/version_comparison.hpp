/// \file
/// Statistical test whether a flaw is more frequent in the answers of one version than in those of another.
#pragma once

#include <vector>

#include "runlink/routing/answer_counts.hpp"

namespace runlink::routing
{

/// Answers of both versions in one group of comparable answers.
struct answer_pair
{
    answer_counts fresh; ///< of the new version
    answer_counts old;
};

/// Prior share of a flaw, and the difference between versions that is tolerated.
struct flaw_options
{
    double usual_share = 0; ///< share of a sound version's answers that have the flaw
    double tolerance = 0;   ///< how far the new version's share may exceed the old version's
};

/// Parameters of the comparison.
struct comparison_options
{
    /// Weight of the usual share, as a number of old answers.
    double usual_answers = 20;
    /// Number of standard errors that are added to the observed share of the old version.
    double old_errors = 1;
};

/// Evidence that the flaw is more frequent in the new version: the negative natural logarithm of an upper
/// bound on the probability of seeing this many flawed answers by chance if both versions have the same flaw
/// rate. At evidence `e`, at most one comparison in exp(e) is wrong.
///
/// Uses the Chernoff bound for sums of independent trials with different probabilities, as answers of several
/// routes are. Unlike a minimum rate or a fixed factor over the old version, the test works at any rate: it
/// finds a share of 0.15 from about 60 answers, 0.06 from about 200, and 0.6 against an old share of 0.33
/// from about 130, where a factor of three would require a share of 0.99.
double evidence_of(const std::vector<answer_pair>& groups, answer_flaw flaw, const flaw_options& of,
                   const comparison_options& options);

} // namespace runlink::routing
