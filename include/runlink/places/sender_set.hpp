/// \file
/// Which few instances send to an endpoint that bears little load.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::places
{

/// Draws the senders of an endpoint from all instances, by rendezvous hashing: instances agree
/// without messages, and views that differ by one instance differ by one sender at most.
class sender_set
{
public:
    explicit sender_set(core::instance_id self) : self_{std::move(self)} { put(self_, {}); }

    /// Whether it was not there.
    bool put(const core::instance_id& id, const core::failure_domain_id& domain);
    /// Whether it was there.
    bool remove(const core::instance_id& id);
    std::size_t size() const { return instances_.size(); }
    /// Whether this instance is one of `count` senders of the endpoint. Instances of the failure domain
    /// `near` are drawn first.
    bool is_sender(const core::endpoint_id& endpoint, std::size_t count,
                   const core::failure_domain_id& near = {}) const;
    /// Instances that are drawn before this one.
    std::size_t rank(const core::endpoint_id& endpoint, const core::failure_domain_id& near = {}) const
    {
        return draw({endpoint, near}).rank;
    }
    /// The other ones of these senders, the first one first.
    const std::vector<core::instance_id>& other_senders(const core::endpoint_id& endpoint, std::size_t count,
                                                        const core::failure_domain_id& near = {}) const;
    /// Drops what was drawn for endpoints that are gone.
    template <class Predicate>
    void forget_if(const Predicate& is_gone)
    {
        std::erase_if(drawn_, [&](const auto& it) { return is_gone(it.first.endpoint); });
    }

private:
    /// For which senders are drawn.
    struct draw_key
    {
        core::endpoint_id endpoint;
        core::failure_domain_id near;

        friend auto operator<=>(const draw_key&, const draw_key&) = default;
    };
    /// What was drawn for it.
    struct drawing
    {
        std::size_t rank = 0; ///< of this instance
        std::size_t count = 0;
        std::vector<core::instance_id> others; ///< of `count` senders
    };
    /// The place of an instance in the order of a drawing; the highest comes first.
    struct lot
    {
        bool is_near = false;
        std::uint64_t hash = 0;

        friend auto operator<=>(const lot&, const lot&) = default;
    };

    lot lot_of(const core::instance_id& id, const draw_key& of) const;
    drawing& draw(const draw_key& of) const;
    std::vector<core::instance_id> list_others(const draw_key& of, std::size_t count) const;

    core::instance_id self_;
    std::map<core::instance_id, core::failure_domain_id> instances_;
    mutable std::map<draw_key, drawing> drawn_; ///< for the instances as they are now
};

} // namespace runlink::places
