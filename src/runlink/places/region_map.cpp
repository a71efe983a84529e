#include "runlink/places/region_map.hpp"

#include <algorithm>

namespace runlink::places
{

bool region_map::allows(const core::failure_domain_id& domain, const allowed_regions& allowed) const
{
    if (allowed.empty())
        return true;
    const auto found = regions_.find(domain);
    return found != regions_.end() &&
           std::find(allowed.begin(), allowed.end(), found->second) != allowed.end();
}

} // namespace runlink::places
