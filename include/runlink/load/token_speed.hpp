/// \file
/// Estimates from streams how long endpoints take to generate a token, by model and number of streams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "runlink/load/endpoint_factors.hpp"
#include "runlink/load/forecast.hpp"

namespace runlink::load
{

/// Parameters of the estimate.
struct token_speed_options
{
    /// Time per token before any sample: of a model of medium size on usual hardware.
    duration initial_per_token{2600};
    /// Time that each running stream adds to a token, before any sample.
    duration initial_per_stream{120};
    /// Samples after which a sample of a model has half its weight. An instance with 1/133 of the load of a
    /// fleet takes about ten samples per second, so a change is followed within two to four seconds.
    double half_life = 16;
    /// Latest samples that are used per model: four half-lives.
    std::size_t most_samples = 64;
    /// Weight of the initial ratio of `initial_per_stream` to `initial_per_token`, in samples whose numbers
    /// of running streams scatter by `prior_spread`. Samples of equal `running` do not show the slope.
    double prior_samples = 4;
    double prior_spread = 8;
    /// Samples count as at most this multiple of the median, and at least its inverse: longer ones include a
    /// pause, a preemption or a frozen process, shorter ones events that a pause had held up. Prompts that
    /// are processed between tokens lengthen them by less and have to count.
    double max_ratio = 2;
    /// Models that are remembered; the one sampled longest ago is forgotten first.
    std::size_t most_models = 64;
    endpoint_factor_options endpoints;
};

/// Estimates the time per token as a linear function of the number of running streams.
///
/// The line is learned per model, over all endpoints. Each endpoint has a factor that applies to all models,
/// since it reflects its hardware. A model without samples has the initial line, as the speed of other models
/// does not show its size, but the factors of the endpoints apply to it.
class token_speed
{
public:
    explicit token_speed(token_speed_options options = {}) : options_{options}, factors_{options.endpoints} {}

    /// Adds a sample: with `running` streams at the endpoint, this one included, a token took so long.
    void observe(const core::model_id& model, endpoint_hash at, std::uint32_t running,
                 duration time_per_token);
    /// Expected time per token with `running` streams at the endpoint.
    duration per_token(const core::model_id& model, endpoint_hash at, std::uint32_t running) const;
    /// Time that one more stream adds to each token of the streams at the endpoint.
    duration per_stream(const core::model_id& model, endpoint_hash at) const;

private:
    /// Times in microseconds.
    struct line
    {
        double fixed = 0;
        double per_stream = 0;

        double at(double running) const { return fixed + per_stream * running; }
        line scaled(double by) const { return {fixed * by, per_stream * by}; }
    };
    struct sample
    {
        double running = 0;
        double time = 0; ///< microseconds, divided by the factor of the endpoint
    };
    struct model_samples
    {
        std::deque<sample> latest; ///< newest first
        line fitted;
        std::uint64_t last = 0; ///< value of `count_` at the latest sample
    };

    line initial() const;
    line line_of(const core::model_id& model) const;
    line fit(const std::deque<sample>& newest_first) const;
    /// Fits a line with samples limited to `max_ratio` around the expected line.
    line fit_within(const std::deque<sample>& newest_first, const line& expected, const line& typical) const;
    /// Median of the samples' ratios to the initial line; newer samples have more weight.
    double median_ratio(const std::deque<sample>& newest_first) const;
    double weight_of(std::size_t age) const;
    void forget_oldest();

    token_speed_options options_;
    endpoint_factors factors_;
    std::uint64_t count_ = 0; ///< samples of all models
    std::map<core::model_id, model_samples> models_;
};

} // namespace runlink::load
