/// \file
/// Decides how many endpoints of a service each failure domain should have.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::duties
{

using core::failure_domain_id;
using core::milliseconds;
using core::time_point;

/// Limits and prices of the endpoints of a service that are ordered from the platform.
struct scaling_limits
{
    std::uint32_t min_per_domain = 1; ///< of both kinds together
    std::uint32_t max_per_domain = 1; ///< of both kinds together
    milliseconds startup{};           ///< until a new endpoint serves
    /// Price of a preemptible endpoint relative to a regular one; empty if there are none.
    std::optional<double> preemptible_price;
    std::map<failure_domain_id, double> domain_prices;

    friend bool operator==(const scaling_limits&, const scaling_limits&) = default;
};

/// Endpoints ordered in one failure domain. The platform may reclaim all preemptible endpoints of a failure
/// domain at once.
struct domain_order
{
    std::uint32_t target = 0; ///< endpoints that the load needs; more are ordered while kinds are exchanged
    std::uint32_t regular = 0;
    std::uint32_t preemptible = 0;

    std::uint32_t total() const { return regular + preemptible; }
    friend bool operator==(const domain_order&, const domain_order&) = default;
};

/// What is known of one failure domain.
struct domain_state
{
    domain_order ordered;
    std::uint32_t ready = 0;         ///< endpoints that may get requests
    bool preemptible_denied = false; ///< the platform lately had no preemptible endpoints here
    /// Whether all endpoints of the latest order had time to start and to warm up.
    bool has_settled = true;
};

/// What is known of one service.
struct scale_input
{
    scaling_limits limits;
    std::uint32_t slots = 1; ///< per endpoint
    std::map<failure_domain_id, domain_state> domains;
    /// Requests at the endpoints, over all instances; empty if unknown.
    std::optional<std::uint32_t> running;
    /// Nothing is taken away: a roll-out or an evacuation is under way, or the store is unreachable.
    bool keeps_capacity = false;
};

/// Parameters of the plan.
struct planner_options
{
    /// Share of the slots that is in use at the planned size. Endpoints slow down as their slots fill, and
    /// the other failure domains must be able to serve the requests of a domain whose preemptible endpoints
    /// are reclaimed.
    double target_occupancy = 0.4;
    /// Regular endpoints of a failure domain, as a share of its endpoints.
    double regular_share = 0.05;
    /// The smallest excess for which endpoints are taken away, as a share of the planned size.
    double min_excess = 0.3;
    /// Time for which the largest load is remembered before endpoints are taken away.
    milliseconds peak_memory{12'000};
    double max_shrink = 0.15; ///< share of a domain's endpoints that one plan takes away
    /// Share of the ordered endpoints that must be ready before regular ones are taken away. Some endpoints
    /// have always just crashed.
    double ready_share = 0.9;
};

/// Plans the endpoints of one service.
///
/// The number follows from the requests at the endpoints, which is the arrival rate times the time in service
/// (Little's law). Most endpoints are preemptible ones where they are available: they are ordered first, and
/// regular ones are taken away once the new ones serve, so that the capacity never falls below the old one.
class scale_planner
{
public:
    explicit scale_planner(planner_options options = {}) : options_{options} {}

    std::map<failure_domain_id, domain_order> plan(time_point now, const scale_input& in);

private:
    /// The number of endpoints for the largest load of late; nothing while the load is unknown.
    std::optional<std::uint32_t> needed_by_load(time_point now, const scale_input& in);
    /// The planned number of endpoints of one failure domain, whose even share of the load needs `share`.
    std::uint32_t target_of(const scale_input& in, const domain_state& domain, std::uint32_t share,
                            bool is_short) const;
    /// Divides the target between the two kinds.
    domain_order split(const scale_input& in, const domain_state& domain, std::uint32_t target,
                       bool is_short) const;

    planner_options options_;
    std::map<time_point, std::uint32_t> loads_; ///< readings within `peak_memory`
};

} // namespace runlink::duties
