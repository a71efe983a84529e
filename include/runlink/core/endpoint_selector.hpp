/// \file
/// Which endpoint runs an attempt.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "runlink/core/configuration.hpp"

namespace runlink::core
{

/// Bounds of the selection.
struct selector_options
{
    std::uint32_t failures_to_eject = 3; ///< in a row
    milliseconds first_ejection{1000};
    milliseconds longest_ejection{30000};
    milliseconds refusal_pause{100}; ///< after an endpoint refused for want of room
    double reserved_share = 0.1;     ///< of the capacity, for quick requests
    std::uint32_t instances = 1;     ///< that share the endpoints' capacity
    double oversubscription = 1.5;   ///< of an instance's even share of an endpoint
    double affinity_bound = 1.25;    ///< load over the mean at which prefix affinity gives way
    double slow_factor = 3.0;        ///< first-token time over the median at which an endpoint counts as slow
};

/// How an attempt ended, for the selection.
enum class attempt_result
{
    answered,
    refused,
    lost,
    cancelled,
};

/// What an attempt needs of its endpoint.
struct endpoint_demand
{
    std::optional<version_ref> version; ///< or else
    std::optional<pool_id> pool;        ///< any endpoint of a plain service's pool
    std::uint64_t prefix_hash = 0;      ///< 0: no affinity
    bool quick = false;
    const std::set<endpoint_id>* excluded = nullptr;
};

/// Chooses the endpoint with the fewest own requests in flight, or the one that holds the prompt's prefix
/// while its load is within a bound of the mean. An instance takes at most its share of an endpoint: what is
/// more waits here, where quick requests can go first. Load reports are not used: a second old, they send all
/// instances to the same endpoints. Endpoints that fail in a row are put aside for a growing time and then
/// tried with one request.
class endpoint_selector
{
public:
    endpoint_selector(selector_options options, std::function<bool(const endpoint_id&)> is_leaving,
                      std::mt19937_64& random);

    void apply(configuration_ptr configuration);

    /// An endpoint with room, or nothing.
    const endpoint_settings* pick(time_point now, const endpoint_demand& demand);
    /// Whether any endpoint may serve this at all, now or when it has room.
    bool any_usable(time_point now, const endpoint_demand& demand) const;
    /// Requests that the usable endpoints take at once.
    std::uint32_t capacity(time_point now, const endpoint_demand& demand) const;

    void started(const endpoint_id& id);
    void first_byte(const endpoint_id& id, duration after);
    void finished(time_point now, const endpoint_id& id, attempt_result it);
    std::uint32_t in_flight(const endpoint_id& id) const;
    bool is_ejected(time_point now, const endpoint_id& id) const;

private:
    struct load
    {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0;
        std::uint32_t ejections = 0;
        time_point ejected_until{};
        time_point paused_until{};
        double first_byte_ms = 0; ///< moving average; 0: not known
    };

    const endpoint_settings* least_cost(const std::vector<const endpoint_settings*>& all);
    bool usable(time_point now, const endpoint_settings& it, const endpoint_demand& demand) const;
    /// Requests that this instance may have at an endpoint at once.
    std::uint32_t room(const endpoint_settings& it, bool quick) const;
    bool has_room(time_point now, const endpoint_settings& it, bool quick) const;
    double relative_load(const endpoint_settings& it) const;
    double cost(const endpoint_settings& it, double median_first_byte) const;
    std::vector<const endpoint_settings*> candidates(time_point now, const endpoint_demand& demand) const;
    const endpoint_settings* by_prefix(const endpoint_demand& demand,
                                       const std::vector<const endpoint_settings*>& all) const;
    double median_first_byte(const std::vector<const endpoint_settings*>& all) const;
    const load* find(const endpoint_id& id) const;
    template <class Visit>
    void each_endpoint(const endpoint_demand& demand, Visit visit) const;

    selector_options options_;
    std::function<bool(const endpoint_id&)> is_leaving_;
    std::mt19937_64& random_;
    configuration_ptr configuration_;
    std::map<endpoint_id, load> loads_;
};

} // namespace runlink::core
