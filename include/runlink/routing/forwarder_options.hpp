/// \file
/// Parameters of the forwarder and of the decisions that it makes.
#pragma once

#include <cstdint>
#include <optional>

#include "runlink/crashes/crash_attribution.hpp"
#include "runlink/places/endpoint_bounds.hpp"
#include "runlink/places/region_map.hpp"
#include "runlink/routing/admission.hpp"
#include "runlink/routing/cascade_policy.hpp"
#include "runlink/routing/endpoint_chooser.hpp"
#include "runlink/routing/liveness.hpp"
#include "runlink/routing/retry_allowance.hpp"
#include "runlink/routing/rollout_control.hpp"
#include "runlink/routing/start_queue.hpp"

namespace runlink::routing
{

/// Parameters of the forwarder.
struct forwarder_options
{
    /// Oldest proof of the configuration with which a request with a key is dispatched. Without it the last
    /// known configuration holds however old it is: an outage of the store does not become one of the
    /// service, and a key that is taken away meanwhile admits until the store is heard again.
    std::optional<milliseconds> max_key_age = milliseconds{4500};
    /// A request under way whose key is taken away may be sent again for this long after the key was last
    /// known to hold: the time within which a removed key must admit nothing, less a margin.
    milliseconds key_grace{4500};
    /// Oldest proof with which an unknown route or key is refused for good.
    milliseconds max_denial_age{1900};
    milliseconds session_ttl{5000};
    /// Sends of one request, those that endpoints refused included.
    std::uint32_t max_sends = 4;
    /// Connections of one request that did not come up.
    std::uint32_t max_unsent = 6;
    /// Time left below which nothing is sent again.
    milliseconds least_time{20};
    /// Part of the target latency after which a safe request is sent to a second endpoint as well.
    double hedge_after = 0.5;
    /// Part of the target latency that a stream may take to its first event before it is moved.
    double move_after = 2.0;
    /// Part of the target gap without an event after which a stream is resumed elsewhere.
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
    /// A suspected request waits this long for its turn.
    milliseconds most_hold{2000};
    milliseconds hold_interval{20}; ///< between two looks whether a request that waits may go
    /// Between two looks whether a request may leave an endpoint that has ended.
    milliseconds leave_interval{100};
    places::region_map regions;
};

} // namespace runlink::routing
