#include "runlink/core/leave_marks.hpp"

#include <algorithm>

namespace runlink::core
{

bool leave_marks::mark(const leave_mark& it)
{
    auto& newest = newest_[it.endpoint];
    if (it.incarnation < newest)
        return false;
    newest = it.incarnation;
    const auto [found, is_new] = leaving_.try_emplace(it.endpoint, it.incarnation);
    if (is_new)
        return true;
    if (found->second >= it.incarnation)
        return false;
    found->second = it.incarnation;
    return true;
}

void leave_marks::seen_live(const endpoint_id& endpoint, endpoint_incarnation incarnation)
{
    auto& newest = newest_[endpoint];
    newest = std::max(newest, incarnation);
    const auto found = leaving_.find(endpoint);
    if (found != leaving_.end() && found->second < incarnation)
        leaving_.erase(found);
}

bool leave_marks::is_leaving(const endpoint_id& endpoint) const
{
    const auto found = leaving_.find(endpoint);
    return found != leaving_.end() && found->second >= incarnation_of(endpoint);
}

endpoint_incarnation leave_marks::incarnation_of(const endpoint_id& endpoint) const
{
    const auto found = newest_.find(endpoint);
    return found == newest_.end() ? endpoint_incarnation{} : found->second;
}

std::vector<leave_mark> leave_marks::all() const
{
    std::vector<leave_mark> out;
    for (const auto& [endpoint, incarnation] : leaving_)
        out.push_back({endpoint, incarnation});
    return out;
}

} // namespace runlink::core
