/// \file
/// Failure domains whose endpoints are to get nothing for now.
#pragma once

#include <set>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::places
{

/// An operator's order to send nothing to a failure domain, for as long as it stands.
struct evacuation
{
    core::failure_domain_id domain;
};

/// The orders that stand. What endpoints were sent before an order goes on there.
class evacuations
{
public:
    /// Whether the order is new.
    bool begin(const core::failure_domain_id& domain) { return domains_.insert(domain).second; }
    /// Whether there was one.
    bool end(const core::failure_domain_id& domain) { return domains_.erase(domain) > 0; }
    /// Takes the orders of a whole list; returns the failure domains whose orders have ended.
    std::vector<core::failure_domain_id> replace(const std::set<core::failure_domain_id>& all);
    bool contains(const core::failure_domain_id& domain) const { return domains_.contains(domain); }
    std::size_t size() const { return domains_.size(); }

private:
    std::set<core::failure_domain_id> domains_;
};

} // namespace runlink::places
