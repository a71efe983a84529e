/// \file
/// Failure domains that get no new requests by order of an operator.
#pragma once

#include <set>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::places
{

/// An operator's order to send no new requests to a failure domain. It holds until it is withdrawn.
struct evacuation
{
    core::failure_domain_id domain;
};

/// The evacuations in force. Requests that were sent before an evacuation continue at their endpoints.
class evacuations
{
public:
    /// Returns whether the failure domain was not yet evacuated.
    bool begin(const core::failure_domain_id& domain) { return domains_.insert(domain).second; }
    /// Returns whether the failure domain was evacuated.
    bool end(const core::failure_domain_id& domain) { return domains_.erase(domain) > 0; }
    /// Replaces all evacuations; returns the failure domains that are no longer evacuated.
    std::vector<core::failure_domain_id> replace(const std::set<core::failure_domain_id>& all);
    bool contains(const core::failure_domain_id& domain) const { return domains_.contains(domain); }
    std::size_t size() const { return domains_.size(); }

private:
    std::set<core::failure_domain_id> domains_;
};

} // namespace runlink::places
