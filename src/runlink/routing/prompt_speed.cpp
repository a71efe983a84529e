#include "runlink/routing/prompt_speed.hpp"

namespace runlink::routing
{
namespace
{

constexpr std::int64_t tokens_per_unit = 1000;

} // namespace

void prompt_speed::observe(const core::model_id& model, std::uint32_t tokens, core::duration time)
{
    if (tokens < options_.least_tokens)
        return;
    auto& it = models_[model];
    it.latest.push_back({tokens, time});
    if (it.latest.size() > options_.most_samples)
        it.latest.pop_front();
    std::int64_t all_tokens = 0;
    core::duration all_time{};
    for (const auto& e : it.latest)
    {
        all_tokens += e.tokens;
        all_time += e.time;
    }
    it.per_1k_tokens = all_time * tokens_per_unit / all_tokens;
}

core::duration prompt_speed::time_to_read(const core::model_id& model, std::uint32_t tokens) const
{
    const auto found = models_.find(model);
    const auto per_1k = found == models_.end() ? options_.first_guess : found->second.per_1k_tokens;
    return per_1k * static_cast<std::int64_t>(tokens) / tokens_per_unit;
}

} // namespace runlink::routing
