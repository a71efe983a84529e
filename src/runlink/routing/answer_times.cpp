#include "runlink/routing/answer_times.hpp"

#include <algorithm>

namespace runlink::routing
{
namespace
{

/// Multiples of the expected time above which an answer has the flaw; see `answer_flaw`.
constexpr double late_from = 1.25;
constexpr double slow_from = 3;
constexpr double very_slow_from = 6;
/// Lower limit of the expected time to first byte: the network path and one step of an inference engine take
/// this long.
constexpr core::milliseconds least_expected{20};

std::optional<core::duration> median_of(const auto& all, const auto& key)
{
    const auto found = all.find(key);
    return found == all.end() ? std::nullopt : found->second.median();
}

/// `value` divided by `reference`; 0 if either is unknown.
double multiple(core::duration value, std::optional<core::duration> reference)
{
    if (value.count() <= 0 || !reference || reference->count() <= 0)
        return 0;
    return static_cast<double>(value.count()) / static_cast<double>(reference->count());
}

} // namespace

std::optional<core::duration> answer_times::expected_first(const version_sample& it) const
{
    if (it.expected.count() > 0)
        return std::max(it.expected, std::chrono::duration_cast<core::duration>(least_expected));
    const auto of_route = median_of(first_, it.group);
    // With few requests a route has no median for long. Both versions are compared with the same time.
    if (of_route || !it.group.model.empty())
        return of_route;
    return first_of_all_routes_.median();
}

answer_counts answer_times::classify(const version_sample& it) const
{
    const auto first = multiple(it.first, expected_first(it));
    const auto pace = multiple(it.pace, median_of(pace_, it.group.model));
    const auto slowest = std::max(first, pace);
    answer_counts out{1, {}};
    out[answer_flaw::failed] = it.is_bad ? 1 : 0;
    // The pace varies with the engine's load by more than `late_from`, so only a slow pace counts as late.
    out[answer_flaw::late] = first > late_from || slowest > slow_from || it.is_stalled ? 1 : 0;
    out[answer_flaw::slow] = slowest > slow_from || it.is_stalled ? 1 : 0;
    out[answer_flaw::very_slow] = slowest > very_slow_from || it.is_stalled ? 1 : 0;
    if (it.is_open && !it.is_bad && out[answer_flaw::late] == 0)
        return {};
    return out;
}

void answer_times::learn(const version_sample& it)
{
    if (it.is_bad || it.is_open || it.is_stalled)
        return;
    if (it.first.count() > 0 && it.expected.count() == 0)
        first_[it.group].add(it.first);
    if (it.first.count() > 0 && it.group.model.empty())
        first_of_all_routes_.add(it.first);
    if (it.pace.count() > 0)
        pace_[it.group.model].add(it.pace);
}

} // namespace runlink::routing
