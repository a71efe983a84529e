/// \file
/// Combines all bounds on the requests that this instance may send to an endpoint.
#pragma once

#include <utility>

#include "runlink/places/advertised_limits.hpp"
#include "runlink/places/brittle_services.hpp"
#include "runlink/places/endpoint_rests.hpp"
#include "runlink/places/warm_up.hpp"

namespace runlink::places
{

/// Parameters of the bounds.
struct endpoint_bound_options
{
    warm_up_options warm_up;
    advertised_limit_options limits;
    endpoint_rest_options rests;
    brittle_options brittle;
};

/// Bounds for cold endpoints, endpoints that advertise a limit, and endpoints that asked for rest. A send has
/// to satisfy all of them and counts towards all of them.
class endpoint_bounds
{
public:
    endpoint_bounds(endpoint_bound_options options, const core::instance_id& self,
                    const core::failure_domain_id& own_domain, advertised_limits::domain_lookup domain_of)
        : warm_up_{options.warm_up, self}, limits_{options.limits, self, warm_up_.instances(),
                                                   std::move(domain_of)},
          brittle_{options.brittle, warm_up_.instances()}, rests_{options.rests, self}
    {
        warm_up_.instances().put(self, own_domain);
    }
    endpoint_bounds(const endpoint_bounds&) = delete;
    endpoint_bounds& operator=(const endpoint_bounds&) = delete;

    places::warm_up& warm_up() { return warm_up_; }
    const places::warm_up& warm_up() const { return warm_up_; }
    advertised_limits& limits() { return limits_; }
    const advertised_limits& limits() const { return limits_; }
    brittle_services& brittle() { return brittle_; }
    const brittle_services& brittle() const { return brittle_; }
    endpoint_rests& rests() { return rests_; }
    const endpoint_rests& rests() const { return rests_; }

    /// Adds another instance, or updates its failure domain.
    void put_instance(time_point now, const core::instance_id& id, const core::failure_domain_id& domain);
    void remove_instance(time_point now, const core::instance_id& id);
    /// Marks the list of instances as complete.
    void settle(time_point now);
    /// The process was suspended and runs again.
    void on_wake(time_point now) { limits_.restart_pace(now); }

    bool may_send(time_point now, const endpoint_id& id) const;
    /// Counts a request that this instance sends to the endpoint.
    void sent(time_point now, const endpoint_id& id);
    /// A request that this instance sent at `sent_at` has ended at the endpoint, or was not sent.
    void finished(time_point now, const endpoint_id& id, time_point sent_at)
    {
        brittle_.finished(now, id, sent_at);
    }
    /// Whether a request that was counted at `counted_at` but not yet written may still be sent. Counts it
    /// again if the endpoint has since advertised a limit or lowered it.
    bool confirm_send(time_point now, const endpoint_id& id, time_point counted_at);
    /// When this instance may next send to the endpoint.
    time_point next_send(time_point now, const endpoint_id& id) const;
    /// When any instance may next send to the endpoint, as far as this one knows.
    time_point next_send_of_any(time_point now, const endpoint_id& id) const;
    /// Time between two sends of this instance while no other instance has requests for the endpoint.
    duration interval(time_point now, const endpoint_id& id) const;
    /// Whether the endpoint advertises a limit, is brittle, rests, or has not accepted a request since its
    /// rest.
    bool is_restricted(const endpoint_id& id) const;
    /// Removes expired bounds. `is_unlisted`: whether the store does not list the endpoint.
    template <class Predicate>
    void expire(time_point now, const Predicate& is_unlisted)
    {
        warm_up_.expire(now);
        rests_.expire(now);
        brittle_.expire(now);
        limits_.forget_if(now, is_unlisted);
    }

private:
    places::warm_up warm_up_;
    advertised_limits limits_;
    brittle_services brittle_;
    endpoint_rests rests_;
};

} // namespace runlink::places
