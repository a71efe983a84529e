/// \file
/// Endpoints that asked this instance to send no requests for some time (a rest).
#pragma once

#include <cstdint>
#include <map>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::places
{

using core::duration;
using core::endpoint_id;
using core::milliseconds;
using core::time_point;

/// Parameters of the time after a rest.
struct endpoint_rest_options
{
    /// Time between two sends after a rest until the endpoint accepts a request, and upper bound of the delay
    /// before the first. It spreads the requests that waited for the end of the rest, at this instance and
    /// across all instances.
    milliseconds probe_interval{100};
    /// An endpoint counts as recovered if nothing was sent to it for this long after its rest.
    milliseconds recovery_timeout{5000};
};

/// Tracks the rests that endpoints asked for when they refused requests of this instance. An endpoint gets no
/// request until the longest of its rests is over. Until it accepts a request again, it then gets one request
/// per `probe_interval`.
class endpoint_rests
{
public:
    endpoint_rests(endpoint_rest_options options, core::instance_id self)
        : options_{options}, self_{std::move(self)}
    {
    }

    /// The endpoint asked for a rest of this length. Returns whether a rest began, rather than one being in
    /// effect already.
    bool on_rest_requested(time_point now, const endpoint_id& id, duration rest);
    void sent(time_point now, const endpoint_id& id);
    /// The endpoint accepted a request that was sent at `sent_at`.
    void on_accepted(const endpoint_id& id, time_point sent_at);

    bool is_resting(time_point now, const endpoint_id& id) const;
    /// Whether the endpoint rests or has not accepted a request since its rest.
    bool is_recovering(const endpoint_id& id) const { return records_.contains(id); }
    bool may_send(time_point now, const endpoint_id& id) const { return next_send(now, id) <= now; }
    time_point next_send(time_point now, const endpoint_id& id) const;
    duration interval() const { return options_.probe_interval; }
    std::size_t count_resting(time_point now) const;
    /// Removes endpoints that count as recovered.
    void expire(time_point now);

private:
    struct record
    {
        time_point rest_until{};
        time_point next_send{};
    };

    endpoint_rest_options options_;
    core::instance_id self_;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::places
