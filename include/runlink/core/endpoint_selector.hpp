/// \file
/// Selection of the endpoint for an attempt.
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

/// Parameters of the selection.
struct selector_options
{
    std::uint32_t failures_to_eject = 3; ///< consecutive lost attempts
    milliseconds first_ejection{1000};   ///< doubles with each ejection until an attempt is answered
    milliseconds longest_ejection{30000};
    /// Time without new requests to an endpoint that refused one because it is full.
    milliseconds refusal_pause{100};
    double reserved_share = 0.1;   ///< part of an endpoint's capacity that only quick requests use
    std::uint32_t instances = 1;   ///< instances that divide the endpoints' capacity among them
    double oversubscription = 1.5; ///< factor on an instance's even share of an endpoint
    double affinity_bound = 1.25;  ///< load, relative to the mean, above which prefix affinity is ignored
    double slow_factor = 3.0; ///< time to first byte, relative to the median, above which an endpoint is slow
};

/// How an attempt ended, as far as the selection needs it.
enum class attempt_result
{
    answered,
    refused,
    lost,
    cancelled,
};

/// Requirements of an attempt on its endpoint. Either `version` or `pool` is set.
struct endpoint_demand
{
    std::optional<version_ref> version; ///< the endpoint must serve it
    std::optional<pool_id> pool;        ///< for a plain service: any endpoint of the pool
    std::uint64_t prefix_hash = 0;      ///< 0: no affinity
    bool quick = false;
    const std::set<endpoint_id>* excluded = nullptr;
};

/// Selects the endpoint that has the least load from this instance, or the one that has the prompt's prefix
/// cached while its load is close to the mean. An instance uses at most its share of an endpoint; further
/// requests wait in the instance, where quick requests can overtake others. Load reports of endpoints are not
/// used: when they are a second old, they direct all instances to the same endpoints. An endpoint with
/// consecutive failures is ejected for an increasing time and then probed with one request at a time.
class endpoint_selector
{
public:
    endpoint_selector(selector_options options, std::function<bool(const endpoint_id&)> is_leaving,
                      std::mt19937_64& random);

    void apply(configuration_ptr configuration);

    /// Returns an endpoint with a free slot, or null if there is none.
    const endpoint_settings* pick(time_point now, const endpoint_demand& demand);
    /// Whether any usable endpoint can serve the demand, now or once it has a free slot.
    bool any_usable(time_point now, const endpoint_demand& demand) const;
    /// Total concurrent requests that the usable endpoints accept.
    std::uint32_t capacity(time_point now, const endpoint_demand& demand) const;

    void started(const endpoint_id& id);
    void first_byte(const endpoint_id& id, duration elapsed);
    void finished(time_point now, const endpoint_id& id, attempt_result result);
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
        double first_byte_ms = 0; ///< moving average; 0: unknown
    };

    const endpoint_settings* pick_least_cost(const std::vector<const endpoint_settings*>& all);
    bool is_usable(time_point now, const endpoint_settings& it, const endpoint_demand& demand) const;
    /// Concurrent requests that this instance may have at the endpoint.
    std::uint32_t concurrency_limit(const endpoint_settings& it, bool quick) const;
    bool has_free_slot(time_point now, const endpoint_settings& it, bool quick) const;
    double relative_load(const endpoint_settings& it) const;
    double cost(const endpoint_settings& it, double median_first_byte) const;
    std::vector<const endpoint_settings*> candidates(time_point now, const endpoint_demand& demand) const;
    const endpoint_settings* pick_by_prefix(const endpoint_demand& demand,
                                            const std::vector<const endpoint_settings*>& all) const;
    double median_first_byte(const std::vector<const endpoint_settings*>& all) const;
    const load* find(const endpoint_id& id) const;
    template <class Visit>
    void for_each_endpoint(const endpoint_demand& demand, Visit visit) const;

    selector_options options_;
    std::function<bool(const endpoint_id&)> is_leaving_;
    std::mt19937_64& random_;
    configuration_ptr configuration_;
    std::map<endpoint_id, load> loads_;
};

} // namespace runlink::core
