/// \file
/// Which few instances send to an endpoint that bears little load.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "runlink/core/ids.hpp"

namespace runlink::places
{

/// Draws the senders of an endpoint from all instances, by rendezvous hashing: instances agree
/// without messages, and views that differ by one instance differ by one sender at most.
class sender_set
{
public:
    explicit sender_set(core::instance_id self) : self_{std::move(self)} { put(self_); }

    void put(const core::instance_id& id);
    void remove(const core::instance_id& id);
    std::size_t size() const { return instances_.size(); }
    /// Whether this instance is one of `count` senders of the endpoint.
    bool is_sender(const core::endpoint_id& endpoint, std::size_t count) const;
    /// Drops what was drawn for endpoints that are gone.
    template <class Predicate>
    void forget_if(const Predicate& is_gone)
    {
        std::erase_if(drawn_, [&](const auto& it) { return is_gone(it.first); });
    }

private:
    bool draw(const core::endpoint_id& endpoint, std::size_t count) const;

    core::instance_id self_;
    std::set<core::instance_id> instances_;
    mutable std::map<core::endpoint_id, bool> drawn_; ///< for the instances as they are now
};

} // namespace runlink::places
