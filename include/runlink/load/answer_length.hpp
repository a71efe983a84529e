/// \file
/// Estimates from earlier answers how many tokens an answer will have, by route.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runlink/load/forecast.hpp"

namespace runlink::load
{

/// Parameters of the estimate.
struct answer_length_options
{
    std::size_t most_samples = 64; ///< latest answers that are used per route
    /// Answers after which only samples count. Before, they are mixed with what hint and limit suggest.
    std::size_t enough_samples = 16;
    /// Assumed before any sample without hint and limit: the length of a chat answer.
    length_estimate initial{300, 900};
    /// Before any sample, p90 is this multiple of the hint: hints are often off by several times.
    double initial_hint_spread = 3;
    /// Share of the hint's logarithmic deviation from the mean that is assumed to show in the length, and the
    /// weight of this assumption in samples.
    double initial_hint_share = 0.7;
    double hint_prior_samples = 4;
    /// Routes that are remembered; the one sampled longest ago is forgotten first.
    std::size_t most_routes = 256;
};

/// Estimates the number of tokens that an answer will have.
///
/// Works on logarithms, as lengths and the errors of hints vary by factors. How much of a hint's deviation
/// from the usual hint shows in the length is learned by route with a regression; the deviations that remain
/// give median and p90. A useless hint thereby leaves the distribution of the route, an exact one replaces
/// it. Answers that did not end are lower bounds (Kaplan-Meier estimate): deadlines cut the long ones, so
/// that those that end are too short on average.
class answer_length
{
public:
    explicit answer_length(answer_length_options options = {}) : options_{options} {}

    /// An answer ended after this many tokens.
    void observe(const std::string& route, std::optional<std::uint32_t> hint, std::uint32_t tokens);
    /// An answer was cut, or given up by the caller, after this many tokens.
    void observe_cut(const std::string& route, std::optional<std::uint32_t> hint, std::uint32_t tokens);
    /// Expected length of an answer with at most `most` tokens. 0: unknown.
    length_estimate expect(const std::string& route, std::optional<std::uint32_t> hint,
                           std::uint32_t most) const;

private:
    struct sample
    {
        std::optional<double> hint; ///< logarithm
        double tokens = 0;          ///< logarithm
        bool is_cut = false;
    };
    /// Median and p90 of logarithms.
    struct quantiles
    {
        double median = 0;
        double p90 = 0;
    };
    struct route_samples
    {
        std::deque<sample> latest;
        quantiles lengths;
        quantiles remaining;    ///< of what the hint does not explain
        double hint_mean = 0;   ///< logarithm
        double hint_share = 0;  ///< share of a hint's deviation from `hint_mean` that shows in the length
        std::size_t hints = 0;  ///< samples with a hint
        std::uint64_t last = 0; ///< value of `count_` at the latest sample
    };
    struct remainder
    {
        double value = 0;
        bool is_cut = false;
    };

    void add(const std::string& route, std::optional<std::uint32_t> hint, std::uint32_t tokens, bool is_cut);
    void learn_hints(route_samples& to) const;
    /// Kaplan-Meier estimate.
    static quantiles quantiles_of(std::vector<remainder> all);
    quantiles initial(std::optional<std::uint32_t> hint, std::uint32_t most) const;
    quantiles learned(const route_samples& it, std::optional<std::uint32_t> hint) const;
    void forget_oldest();

    answer_length_options options_;
    std::uint64_t count_ = 0; ///< samples of all routes
    std::map<std::string, route_samples> routes_;
};

} // namespace runlink::load
