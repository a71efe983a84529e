/// \file
/// Finds endpoints by service, failure domain and hash without a scan of all endpoints.
#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "runlink/routing/endpoint_entry.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::routing
{

/// The endpoints of one service, ordered by id.
struct endpoint_group
{
    std::vector<const endpoint_entry*> all;
    std::vector<std::uint64_t> hashes; ///< of the ids in `all`, in the same order
    std::map<failure_domain_id, std::vector<const endpoint_entry*>> by_domain;
    std::uint64_t revision = 0; ///< changes with the members
};

/// Refers to entries that their owner keeps at the same address.
class endpoint_index
{
public:
    void add(const endpoint_entry& it);
    /// To be called before the entry changes or goes.
    void remove(const endpoint_entry& it);

    /// Null if the service has no endpoints.
    const endpoint_group* group(const service_id& service) const;
    /// Null if there is no such endpoint.
    const endpoint_entry* find(endpoint_hash id) const;

private:
    std::map<service_id, endpoint_group> groups_;
    std::unordered_map<endpoint_hash, const endpoint_entry*> by_hash_;
};

} // namespace runlink::routing
