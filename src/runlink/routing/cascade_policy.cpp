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
    const auto latest =
        std::chrono::duration_cast<core::duration>(it.target_latency * options_.latest_escalation);
    return it.confidence >= options_.accept_confidence || it.elapsed > latest;
}

} // namespace runlink::routing
