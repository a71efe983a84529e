#include "runlink/routing/liveness.hpp"

namespace runlink::routing
{

bool liveness::try_probe(time_point now, const endpoint_id& id)
{
    auto& it = records_[id];
    const bool was_heard = it.heard != time_point::min() && now - it.heard < options_.probe_after;
    const bool was_asked = it.asked != time_point::min() && now - it.asked < options_.probe_interval;
    if (was_heard || was_asked)
        return false;
    it.asked = now;
    return true;
}

time_point liveness::last_heard(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? time_point::min() : found->second.heard;
}

void liveness::keep_only(const endpoint_directory& directory)
{
    std::erase_if(records_, [&](const auto& it) { return directory.find(it.first) == nullptr; });
}

} // namespace runlink::routing
