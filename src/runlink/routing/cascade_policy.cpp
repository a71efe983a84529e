#include "runlink/routing/cascade_policy.hpp"

namespace runlink::routing
{

std::size_t cascade_policy::first_size(const route& it) const
{
    const auto largest = it.model_sizes.size() - 1;
    if (!options_.start_small)
        return largest;
    return 0;
}

bool cascade_policy::accepts(const cascade_input& it) const
{
    if (it.size + 1 >= it.sizes || !it.may_retry)
        return true;
    return it.confidence >= threshold(it);
}

int cascade_policy::threshold(const cascade_input& it) const
{
    const auto spare = core::duration{it.target_latency} - it.elapsed - it.larger_read;
    const auto range = options_.accept_confidence - options_.accept_confidence_late;
    if (it.larger_wait >= spare)
        return options_.accept_confidence_late;
    const auto part = static_cast<double>(it.larger_wait.count()) / static_cast<double>(spare.count());
    return options_.accept_confidence - static_cast<int>(part * range);
}

} // namespace runlink::routing
