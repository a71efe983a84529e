/// \file
/// What endpoints bear now, whatever the reason: one question before each send, and one count of it.
#pragma once

#include <utility>

#include "runlink/places/advertised_limits.hpp"
#include "runlink/places/endpoint_rests.hpp"
#include "runlink/places/warm_up.hpp"

namespace runlink::places
{

/// Parameters of the bounds.
struct endpoint_bound_options
{
    warm_up_options warm_up;
    named_limit_options limits;
    endpoint_rest_options rests;
};

/// Cold endpoints, endpoints that name a limit, and endpoints that asked for rest. A send has to be within
/// all of these, and counts for all of them.
class endpoint_bounds
{
public:
    endpoint_bounds(endpoint_bound_options options, const core::instance_id& self,
                    const core::failure_domain_id& own_domain, named_limits::domain_lookup domain_of)
        : warm_up_{options.warm_up, self},
          limits_{options.limits, self, warm_up_.instances(), std::move(domain_of)}, rests_{options.rests,
                                                                                            self}
    {
        warm_up_.instances().put(self, own_domain);
    }
    endpoint_bounds(const endpoint_bounds&) = delete;
    endpoint_bounds& operator=(const endpoint_bounds&) = delete;

    places::warm_up& warm_up() { return warm_up_; }
    const places::warm_up& warm_up() const { return warm_up_; }
    named_limits& limits() { return limits_; }
    const named_limits& limits() const { return limits_; }
    endpoint_rests& rests() { return rests_; }
    const endpoint_rests& rests() const { return rests_; }

    /// Another instance is there, or is gone.
    void put_instance(time_point now, const core::instance_id& id, const core::failure_domain_id& domain);
    void remove_instance(time_point now, const core::instance_id& id);
    /// All instances are known.
    void settle(time_point now);
    /// The process stood still.
    void on_wake(time_point now) { limits_.restart_pace(now); }

    bool may_send(time_point now, const endpoint_id& id) const;
    void sent(time_point now, const endpoint_id& id);
    /// Whether a request that was counted at that time may still be written; counts it anew where the
    /// endpoint has named a limit, or a lower one, since.
    bool try_keep(time_point now, const endpoint_id& id, time_point counted_at);
    /// When this instance may send to it next.
    time_point next_send(time_point now, const endpoint_id& id) const;
    /// When some instance may, as far as this one knows.
    time_point next_send_of_any(time_point now, const endpoint_id& id) const;
    /// Between two sends of this instance if it alone has requests.
    duration interval(time_point now, const endpoint_id& id) const;
    /// Whether the endpoint has said itself that it bears little.
    bool is_restricted(const endpoint_id& id) const;
    /// Forgets what is over. `is_unlisted`: the store does not list that life.
    template <class Predicate>
    void expire(time_point now, const Predicate& is_unlisted)
    {
        warm_up_.expire(now);
        rests_.expire(now);
        limits_.forget_if(now, is_unlisted);
    }

private:
    places::warm_up warm_up_;
    named_limits limits_;
    endpoint_rests rests_;
};

} // namespace runlink::places
