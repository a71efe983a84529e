#include "runlink/routing/endpoint_index.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::routing
{
namespace
{

using entries = std::vector<const endpoint_entry*>;

entries::iterator position_of(entries& in, const endpoint_entry& it)
{
    return std::lower_bound(in.begin(), in.end(), it.id,
                            [](const endpoint_entry* a, const endpoint_id& id) { return a->id < id; });
}

} // namespace

void endpoint_index::add(const endpoint_entry& it)
{
    auto& group = groups_[it.service];
    ++group.revision;
    const auto at = position_of(group.all, it);
    group.hashes.insert(group.hashes.begin() + (at - group.all.begin()), core::stable_hash(it.id.str()));
    group.all.insert(at, &it);
    auto& domain = group.by_domain[it.failure_domain];
    domain.insert(position_of(domain, it), &it);
    by_hash_[hash_of(it.id)] = &it;
}

void endpoint_index::remove(const endpoint_entry& it)
{
    auto& group = groups_.at(it.service);
    ++group.revision;
    const auto at = position_of(group.all, it);
    group.hashes.erase(group.hashes.begin() + (at - group.all.begin()));
    group.all.erase(at);
    auto& domain = group.by_domain.at(it.failure_domain);
    domain.erase(position_of(domain, it));
    const auto hashed = by_hash_.find(hash_of(it.id));
    if (hashed != by_hash_.end() && hashed->second == &it)
        by_hash_.erase(hashed);
}

const endpoint_group* endpoint_index::group(const service_id& service) const
{
    const auto found = groups_.find(service);
    return found == groups_.end() || found->second.all.empty() ? nullptr : &found->second;
}

const endpoint_entry* endpoint_index::find(endpoint_hash id) const
{
    const auto found = by_hash_.find(id);
    return found == by_hash_.end() ? nullptr : found->second;
}

} // namespace runlink::routing
