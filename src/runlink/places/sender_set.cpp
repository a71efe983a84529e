#include "runlink/places/sender_set.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::places
{

bool sender_set::put(const core::instance_id& id, const core::failure_domain_id& domain)
{
    const auto [found, is_new] = instances_.try_emplace(id, domain);
    if (!is_new && found->second == domain)
        return false;
    found->second = domain;
    selections_.clear();
    return true;
}

bool sender_set::remove(const core::instance_id& id)
{
    const bool was_there = id != self_ && instances_.erase(id) > 0;
    if (was_there)
        selections_.clear();
    return was_there;
}

bool sender_set::is_sender(const core::endpoint_id& endpoint, std::size_t count,
                           const core::failure_domain_id& near) const
{
    return count >= instances_.size() || select({endpoint, near}).rank < count;
}

const std::vector<core::instance_id>& sender_set::other_senders(const core::endpoint_id& endpoint,
                                                                std::size_t count,
                                                                const core::failure_domain_id& near) const
{
    const selection_key key{endpoint, near};
    auto& it = select(key);
    if (it.count != count)
    {
        it.others = list_others(key, count);
        it.count = count;
    }
    return it.others;
}

sender_set::rendezvous_rank sender_set::rank_of(const core::instance_id& id, const selection_key& of) const
{
    const bool is_near = !of.near.empty() && instances_.at(id) == of.near;
    return {is_near, core::stable_hash(id.str(), core::stable_hash(of.endpoint.str()))};
}

sender_set::selection& sender_set::select(const selection_key& of) const
{
    const auto [found, is_new] = selections_.try_emplace(of);
    auto& out = found->second;
    if (!is_new)
        return out;
    const auto own = rank_of(self_, of);
    for (const auto& [id, domain] : instances_)
        out.rank += rank_of(id, of) > own ? 1 : 0;
    return out;
}

std::vector<core::instance_id> sender_set::list_others(const selection_key& of, std::size_t count) const
{
    std::vector<std::pair<rendezvous_rank, core::instance_id>> all;
    for (const auto& [id, domain] : instances_)
        all.emplace_back(rank_of(id, of), id);
    std::sort(all.begin(), all.end(), std::greater<>{});
    std::vector<core::instance_id> out;
    for (std::size_t n = 0; n < std::min(count, all.size()); ++n)
        if (all[n].second != self_)
            out.push_back(all[n].second);
    return out;
}

} // namespace runlink::places
