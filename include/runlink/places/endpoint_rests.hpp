/// \file
/// Endpoints that asked this instance for rest.
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
    /// Between two sends until the endpoint takes one, and at most before the first: what waited for the end
    /// of a rest does not go at the same moment, from this instance or from all.
    milliseconds probe_interval{100};
    /// An endpoint that nothing was sent to for this long after its rest counts as rested.
    milliseconds probe_time{5000};
};

/// Keeps what an endpoint asked of this instance when it refused a request: nothing until its rest is over,
/// the longest that it asked for, and little until it takes a request again.
class endpoint_rests
{
public:
    endpoint_rests(endpoint_rest_options options, core::instance_id self)
        : options_{options}, self_{std::move(self)}
    {
    }

    /// Returns whether the endpoint was not at rest before.
    bool asked(time_point now, const endpoint_id& id, duration rest);
    void sent(time_point now, const endpoint_id& id);
    /// It has taken a request that was sent at this time.
    void took(const endpoint_id& id, time_point sent_at);

    bool is_resting(time_point now, const endpoint_id& id) const;
    /// Whether it rests, or has not taken a request since.
    bool is_recovering(const endpoint_id& id) const { return records_.contains(id); }
    bool may_send(time_point now, const endpoint_id& id) const { return next_send(now, id) <= now; }
    time_point next_send(time_point now, const endpoint_id& id) const;
    duration interval() const { return options_.probe_interval; }
    std::size_t count_resting(time_point now) const;
    /// Forgets endpoints that count as rested.
    void expire(time_point now);

private:
    struct record
    {
        time_point until{};
        time_point next_send{};
    };

    endpoint_rest_options options_;
    core::instance_id self_;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::places
