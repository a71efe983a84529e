/// \file
/// Selects the few instances that send to an endpoint with little capacity.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::places
{

/// Selects the senders of an endpoint from all instances by rendezvous hashing. Instances agree on them
/// without messages, and if their lists of instances differ by one instance, their selections differ by at
/// most one sender.
class sender_set
{
public:
    explicit sender_set(core::instance_id self) : self_{std::move(self)} { put(self_, {}); }

    /// Adds an instance or updates its failure domain. Returns whether anything changed.
    bool put(const core::instance_id& id, const core::failure_domain_id& domain);
    /// Returns whether the instance was known. Does not remove the own instance.
    bool remove(const core::instance_id& id);
    std::size_t size() const { return instances_.size(); }
    /// Whether this instance is one of the first `count` senders of the endpoint. Instances of the failure
    /// domain `near` come first.
    bool is_sender(const core::endpoint_id& endpoint, std::size_t count,
                   const core::failure_domain_id& near = {}) const;
    /// Number of instances that come before this one as senders of the endpoint.
    std::size_t rank(const core::endpoint_id& endpoint, const core::failure_domain_id& near = {}) const
    {
        return select({endpoint, near}).rank;
    }
    /// The first `count` senders of the endpoint in their order, without this instance.
    const std::vector<core::instance_id>& other_senders(const core::endpoint_id& endpoint, std::size_t count,
                                                        const core::failure_domain_id& near = {}) const;
    /// Drops the cached selections of endpoints for which `is_gone` holds.
    template <class Predicate>
    void forget_if(const Predicate& is_gone)
    {
        std::erase_if(selections_, [&](const auto& it) { return is_gone(it.first.endpoint); });
    }

private:
    /// What senders are selected for.
    struct selection_key
    {
        core::endpoint_id endpoint;
        core::failure_domain_id near;

        friend auto operator<=>(const selection_key&, const selection_key&) = default;
    };
    /// The cached result of a selection.
    struct selection
    {
        std::size_t rank = 0; ///< number of instances before this one
        std::size_t count = 0;
        std::vector<core::instance_id> others; ///< the first `count` senders without this instance
    };
    /// Orders instances as senders of an endpoint; the highest rank comes first.
    struct rendezvous_rank
    {
        bool is_near = false;
        std::uint64_t hash = 0;

        friend auto operator<=>(const rendezvous_rank&, const rendezvous_rank&) = default;
    };

    rendezvous_rank rank_of(const core::instance_id& id, const selection_key& of) const;
    selection& select(const selection_key& of) const;
    std::vector<core::instance_id> list_others(const selection_key& of, std::size_t count) const;

    core::instance_id self_;
    std::map<core::instance_id, core::failure_domain_id> instances_;
    mutable std::map<selection_key, selection> selections_; ///< cache, cleared when the instances change
};

} // namespace runlink::places
