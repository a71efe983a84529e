/// \file
/// Parameters of the forwarder and its components.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "runlink/crashes/crash_attribution.hpp"
#include "runlink/load/admission.hpp"
#include "runlink/load/forecast.hpp"
#include "runlink/load/load_options.hpp"
#include "runlink/paths/path_control.hpp"
#include "runlink/places/endpoint_bounds.hpp"
#include "runlink/places/region_map.hpp"
#include "runlink/routing/cascade_policy.hpp"
#include "runlink/routing/endpoint_chooser.hpp"
#include "runlink/routing/liveness.hpp"
#include "runlink/routing/retry_allowance.hpp"
#include "runlink/routing/rollout_control.hpp"
#include "runlink/routing/start_queue.hpp"

namespace runlink::routing
{

using load::admission;
using load::admission_options;

/// Parameters of the forwarder.
struct forwarder_options
{
    /// Oldest proof that the configuration is current with which a keyed request is dispatched. Without a
    /// value the last known configuration stays valid at any age: an outage of the store does not become an
    /// outage of the service, but a key removed meanwhile admits requests until the store is reachable again.
    std::optional<milliseconds> max_key_age = milliseconds{4500};
    /// Time after its key was last known to be valid during which an active request with a removed key may be
    /// retried: the time within which a removed key must stop admitting requests, less a margin.
    milliseconds key_grace{4500};
    /// Oldest proof of the configuration with which an unknown route or key gets a final 404 or 401.
    milliseconds max_denial_age{1900};
    /// Time for which requests are still admitted by an older configuration than another instance has in
    /// force.
    milliseconds max_outdated_time{1400};
    milliseconds session_ttl{5000};
    /// Most sends of one request, including those that endpoints refused.
    std::uint32_t max_sends = 4;
    /// Most attempts of one request of which no byte was sent, such as failed connections.
    std::uint32_t max_unsent_attempts = 6;
    /// Remaining time at or below which a request is neither admitted nor retried.
    milliseconds min_time_left{20};
    /// Fraction of the target latency after which a safe request is hedged at a second endpoint.
    double hedge_after = 0.5;
    /// Multiple of the target latency without a stream head after which the stream moves to another endpoint.
    double move_after = 2.0;
    /// Fraction of the target gap between events after which a stalled stream is resumed at another endpoint.
    double stall_after = 0.9;
    start_queue_options start;
    admission_options admission;
    retry_options retries;
    rollout_options rollouts;
    liveness_options liveness;
    directory_options directory;
    chooser_options chooser;
    cascade_options cascade;
    places::endpoint_bound_options bounds;
    crashes::attribution_options crashes;
    paths::path_options paths;
    /// Longest time that a suspected request waits for its turn to run in isolation.
    milliseconds max_hold_time{2000};
    milliseconds hold_interval{20}; ///< between two checks whether a held request may be sent
    /// Interval between two checks whether attempts at ended endpoints may be replaced.
    milliseconds replace_interval{100};
    places::region_map regions;
    load::load_options load;
    /// Replaces the forecast of the placement, for tests; may be empty.
    std::function<std::optional<load::stream_forecast>(time_point, const endpoint_entry&, const prompt_need&)>
        forecast;
};

} // namespace runlink::routing
