#include "runlink/load/prompt_speed.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace runlink::load
{
namespace
{

constexpr std::int64_t tokens_per_unit = 1000;
/// Samples above this multiple of the median rate are ignored: they were delayed by something else, such as a
/// frozen process.
constexpr int max_ratio_to_median = 4;

} // namespace

core::duration prompt_speed::sample::rate() const
{
    return time * tokens_per_unit / static_cast<std::int64_t>(tokens);
}

void prompt_speed::observe(const core::model_id& model, std::uint32_t tokens, core::duration time)
{
    if (tokens < options_.least_tokens)
        return;
    auto& it = models_[model];
    it.latest.push_back({tokens, time});
    if (it.latest.size() > options_.most_samples)
        it.latest.pop_front();
    it.per_1k_tokens = rate_of(it.latest);
}

core::duration prompt_speed::rate_of(const std::deque<sample>& samples)
{
    std::vector<core::duration> rates;
    rates.reserve(samples.size());
    for (const auto& e : samples)
        rates.push_back(e.rate());
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    const auto highest = *middle * max_ratio_to_median;
    std::int64_t tokens = 0;
    core::duration time{};
    for (const auto& e : samples)
    {
        if (e.rate() > highest)
            continue;
        tokens += e.tokens;
        time += e.time;
    }
    return time * tokens_per_unit / tokens;
}

core::duration prompt_speed::time_to_read(const core::model_id& model, std::uint32_t tokens) const
{
    const auto found = models_.find(model);
    const auto per_1k = found == models_.end() ? options_.initial_per_1k_tokens : found->second.per_1k_tokens;
    return per_1k * static_cast<std::int64_t>(tokens) / tokens_per_unit;
}

void prompt_speed::observe(const core::model_id& model, endpoint_hash at, std::uint32_t tokens,
                           core::duration time)
{
    if (tokens < options_.least_tokens)
        return;
    observe(model, tokens, time);
    const auto expected = time_to_read(model, tokens);
    factors_.observe(at, static_cast<double>(time.count()) / static_cast<double>(expected.count()));
}

core::duration prompt_speed::time_to_read(const core::model_id& model, endpoint_hash at,
                                          std::uint32_t tokens) const
{
    const auto expected = static_cast<double>(time_to_read(model, tokens).count());
    return core::duration{std::llround(expected * factors_.factor(at))};
}

} // namespace runlink::load
