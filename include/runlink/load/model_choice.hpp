/// \file
/// Whether the answer of a smaller model is kept, or which larger model is asked instead.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/load/answer_quality.hpp"
#include "runlink/load/forecast.hpp"

namespace runlink::load
{

/// Parameters of the choice. A good answer that is in time has the value 1.
struct model_choice_options
{
    /// Confidence from which the smallest model's answer is kept while the fleet is idle, by the prior of
    /// `quality`. It states what asking the most expensive model is worth to the operator: the value of a new
    /// answer is reduced to the expected value of a ready answer of this confidence.
    int accept_confidence = 50;
    double wrong_value = 0.05;   ///< value of an answer that is not good
    double late_value = 1.0 / 3; ///< value of an answer whose first event or a gap is late
    /// Value of generating with the most expensive model, as money. 0.02 is less than two points of
    /// confidence, so that money decides only between options that are worth about the same.
    double price_weight = 0.02;
    /// Standard deviation of a forecast time at the least. The aim for the first token is an error below
    /// 0.5 s for 95 % of streams, which is 1.645 standard deviations.
    duration forecast_error{300'000};
    answer_quality_options quality;
};

/// A larger model that may be asked.
struct larger_model
{
    std::size_t size = 0; ///< index among the models of the route
    stream_forecast forecast;
    duration reading{};      ///< time to read the prompt
    double price_per_1k = 0; ///< price of 1,000 generated tokens; 0: unknown
};

/// Input of the decision, which is taken when the head of an answer has arrived.
struct model_choice_input
{
    core::model_id model; ///< the model that answered
    std::size_t size = 0; ///< its index among the models of the route, smallest first
    std::size_t sizes = 1;
    int confidence = 100;
    duration elapsed{}; ///< since the request arrived
    duration target_latency{};
    duration deadline_left{};
    duration target_gap{};
    std::uint32_t tokens_per_event = 1;
    duration rest{};      ///< time until the answer that has arrived ends, with a median length
    duration late_rest{}; ///< with the p90 length
    bool may_retry = true;
    std::vector<larger_model> larger; ///< smallest first
};

/// Why an answer is kept, or why the model was chosen that is asked.
enum class choice_reason
{
    confidence, ///< the answer is expected to be good enough; or not, and the largest model is asked
    denied,     ///< no further attempt is allowed
    deadline,   ///< larger models are expected to end after the deadline
    load,       ///< larger models are late, or take more from other requests than they add
    price,
};

/// Returns the name used in the structured log.
std::string_view to_string(choice_reason it);

/// The decision.
struct model_decision
{
    std::optional<std::size_t> ask; ///< index into `larger`; empty: the answer is kept
    choice_reason reason = choice_reason::confidence;
};

/// Chooses between the answer that has arrived and larger models by expected value.
///
/// The value of an option is the probability that its answer is good, times the value of an answer at the
/// time when it is expected, less what it takes from other requests and its price. A larger model that is
/// expected to end after the deadline is never asked.
class model_choice
{
public:
    explicit model_choice(const model_choice_options& options = {});

    /// An answer of the model has arrived with this confidence, 0 to 100.
    void observe(const core::model_id& model, int confidence) { quality_.observe(model, confidence); }
    /// Whether the answer is worth less than a ready answer of `accept_confidence`. Otherwise it is kept at
    /// any load. Needs no `larger`.
    bool may_gain(const model_choice_input& it) const;
    model_decision decide(const model_choice_input& it) const;

private:
    /// Value of a larger model by what it depends on, before the deductions.
    struct worth
    {
        double in_time = 0;  ///< if it were in time
        double expected = 0; ///< at its forecast time
        double others = 0;   ///< what it takes from other requests
        double money = 0;
    };

    double value_of_quality(double chance_good) const;
    /// Probability that what is expected at `median`, and by `late` with 0.9, happens by `limit`.
    double chance_by(duration limit, duration median, duration late) const;
    double value_of_kept(const model_choice_input& it) const;
    double value_in_time(const model_choice_input& it, const larger_model& of) const;
    double cost_to_others(const model_choice_input& it, const larger_model& of) const;
    /// Value of an answer at the time of the forecast if it is good.
    double value_by_time(const model_choice_input& it, const stream_forecast& of) const;
    worth worth_of(const model_choice_input& it, const larger_model& of) const;
    choice_reason reason_to_keep(const model_choice_input& it, double kept) const;

    model_choice_options options_;
    answer_quality quality_;
    double reduction_; ///< of the value of an answer of the most expensive model
};

} // namespace runlink::load
