#include "runlink/routing/typical_time.hpp"

#include <algorithm>

namespace runlink::routing
{

void typical_time::add(core::duration it)
{
    if (latest_.size() < most_samples)
        return latest_.push_back(it);
    latest_[next_] = it;
    next_ = (next_ + 1) % most_samples;
}

std::optional<core::duration> typical_time::median() const
{
    if (latest_.size() < least_samples)
        return std::nullopt;
    auto sorted = latest_;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace runlink::routing
