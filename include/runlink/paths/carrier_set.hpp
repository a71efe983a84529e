/// \file
/// The instances that carry this instance's connections to endpoints while its own paths are lost.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::paths
{

using core::failure_domain_id;
using core::instance_id;
using core::milliseconds;
using core::time_point;

/// Parameters of the choice of carriers.
struct carrier_options
{
    std::size_t wanted = 3;        ///< carriers to have at the same time
    std::size_t asked_at_once = 4; ///< instances that get one query
    milliseconds offer_lifetime{1500};
    milliseconds refresh_interval{400}; ///< three queries may be lost before an offer expires
    /// Consecutive endpoints that a carrier could not reach before it is given up.
    std::uint32_t max_unreached = 2;
    milliseconds avoided_for{1000}; ///< how long an instance that failed as a carrier is not used
    /// Connections that a carrier of another failure domain counts for in addition to those that it carries.
    std::uint32_t far_cost = 4;
};

/// Asks instances at random, half of them in the own failure domain, and spreads connections over those that
/// offer to carry them. Bytes between failure domains have a price, so carriers of the own one are preferred.
class carrier_set
{
public:
    carrier_set(carrier_options options, const instance_id& self, failure_domain_id own_domain);

    void put_instance(const instance_id& id, const failure_domain_id& domain);
    void remove_instance(const instance_id& id);
    std::size_t instance_count() const { return domains_.size(); }
    bool contains(const instance_id& id) const { return domains_.contains(id); }

    /// Instances to ask whether they reach an endpoint. Advances the random sequence.
    std::vector<instance_id> pick(time_point now);
    /// Instances whose offers have to be renewed, and further ones if there are too few offers.
    std::vector<instance_id> due_queries(time_point now);

    void on_offer(time_point now, const instance_id& id);
    /// The instance does not carry connections, or could not be reached. Returns whether it was a carrier.
    bool on_failed(time_point now, const instance_id& id);
    /// The carrier could not connect to an endpoint.
    void on_unreached(time_point now, const instance_id& id);
    void on_reached(const instance_id& id);
    /// Removes offers that were not renewed and returns their instances.
    std::vector<instance_id> take_expired(time_point now);
    void clear() { offers_.clear(); }

    /// The carrier with the fewest connections of this instance; nothing without an offer.
    std::optional<instance_id> choose() const;
    void started(const instance_id& id);
    void finished(const instance_id& id);
    std::optional<time_point> next_due() const;

private:
    struct offer
    {
        time_point renewed{};
        time_point asked = time_point::min();
        std::uint32_t in_flight = 0;
        std::uint32_t unreached = 0; ///< consecutive
    };

    bool is_own_domain(const instance_id& id) const;
    std::uint64_t next_random();
    /// Adds up to `n` random instances of `from` that are not avoided.
    void add_random(time_point now, const std::vector<instance_id>& from, std::size_t n,
                    std::vector<instance_id>& to);

    carrier_options options_;
    failure_domain_id own_domain_;
    std::map<instance_id, failure_domain_id> domains_;
    std::vector<instance_id> own_;   ///< instances of the own failure domain
    std::vector<instance_id> other_; ///< instances of other failure domains
    std::map<instance_id, offer> offers_;
    std::map<instance_id, time_point> avoided_until_;
    time_point next_search_{};
    std::uint64_t random_;
};

} // namespace runlink::paths
