/// \file
/// How likely an answer of a smaller model is good, from the confidence that the model reports.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "runlink/core/ids.hpp"

namespace runlink::load
{

/// Parameters of the calibration.
struct answer_quality_options
{
    /// Part of all requests that the smallest model answers well. The router never learns whether an answer
    /// was good, and the part is not configured anywhere, so it is a prior: models answer about half of what
    /// they are asked well if they are asked hard requests too.
    double smallest_good = 0.5;
    /// The same for the models between the smallest and the largest. A request that a smaller model answers
    /// well is answered well by each larger one; the largest answers all well.
    double middle_good = 0.6;
    /// The probability stays this far from 0 and 1: the confidence is a rough estimate at its extremes too.
    double doubt = 0.05;
    /// Slope of the probability over the rank. With 8, the mean probability over all ranks equals the prior
    /// part of good answers to within 0.02.
    double steepness = 8;
    /// Confidences that are kept of each model: some minutes of the load of an instance.
    std::size_t max_samples = 256;
    /// Number of samples that the prior distribution of confidences counts for.
    double prior_samples = 50;
};

/// Maps confidence to the probability that the answer is good.
///
/// The confidence is ranked among the recent ones of the same model, so that a model whose confidences are
/// all high or all low is ranked as well. The probability is a logistic function of the rank, centred at the
/// rank below which answers are expected to be bad. Before there are samples, the prior distribution has
/// confidence 50 at this rank and is linear on both sides of it.
class answer_quality
{
public:
    explicit answer_quality(const answer_quality_options& options = {});

    /// An answer of the model has arrived with this confidence, 0 to 100.
    void observe(const core::model_id& model, int confidence);
    /// Probability that the answer is good, given that all smaller models' answers were rejected. It
    /// increases with the confidence. `size` is the index of the model among `sizes`.
    double chance_good(const core::model_id& model, std::size_t size, std::size_t sizes,
                       int confidence) const;
    /// The same by the prior alone, for the smallest model.
    double prior_chance_good(int confidence) const;
    /// Probability that a larger model answers well what the model of index `size` does with probability
    /// `chance`.
    double chance_of_larger(double chance, std::size_t size, std::size_t larger, std::size_t sizes) const;

private:
    static constexpr int max_confidence = 100;
    /// The recent confidences of a model.
    struct recent
    {
        std::deque<std::uint8_t> latest;
        std::array<std::uint32_t, max_confidence + 1> counts{};
    };

    /// Part of all requests that the model answers well.
    double share_of(std::size_t size, std::size_t sizes) const;
    /// Part of the requests whose answer by the smallest model is rejected that a middle model answers well.
    double share_after_rejection() const;
    double curve(double rank, double share) const;
    double rank(const core::model_id& model, int confidence, double share) const;

    answer_quality_options options_;
    std::map<core::model_id, recent> models_;
    double middle_share_;
};

} // namespace runlink::load
