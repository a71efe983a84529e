/// \file
/// Maps failure domains to regions and checks them against the allowed regions.
#pragma once

#include <map>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::places
{

/// The regions that a route or a client account allows; if empty, all regions are allowed.
using allowed_regions = std::vector<core::region_id>;

/// The regions of all failure domains. Requests may be restricted to regions by law or by contract, so a
/// failure domain whose region is unknown is not allowed for any restricted request.
class region_map
{
public:
    region_map() = default;
    explicit region_map(std::map<core::failure_domain_id, core::region_id> regions)
        : regions_{std::move(regions)}
    {
    }

    bool allows(const core::failure_domain_id& domain, const allowed_regions& allowed) const;

    friend bool operator==(const region_map&, const region_map&) = default;

private:
    std::map<core::failure_domain_id, core::region_id> regions_;
};

} // namespace runlink::places
