/// \file
/// Limits the request rate of cold endpoints, which have just started or are back from an evacuation.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/places/sender_set.hpp"

namespace runlink::places
{

using core::duration;
using core::endpoint_id;
using core::milliseconds;
using core::service_id;
using core::time_point;

/// The limit of a service's endpoints while they are cold.
struct cold_limit
{
    double requests_per_s = 0; ///< 0: no limit
    milliseconds cold_time{};  ///< how long an endpoint is cold after its start

    friend bool operator==(const cold_limit&, const cold_limit&) = default;
};

/// Parameters of the warm-up.
struct warm_up_options
{
    /// Number of instances that send to one cold endpoint, each with an equal part of the rate; 0: all of
    /// them. Each sender may be one request ahead of its rate, and two more instances may send where the
    /// instances' lists of each other differ. With four senders, an endpoint gets less than twice its limit
    /// in any second. If all four are lost, it gets no requests during its cold time of a few seconds.
    std::size_t senders = 4;
    /// Fraction of the limit that is used, because requests may bunch up on their way.
    double rate_fraction = 0.9;
    /// An endpoint that could not be reached may have restarted, and so be cold, before its store entry says
    /// so. It counts as cold for this long after the last attempt, plus its cold time.
    milliseconds store_entry_delay{2500};
};

/// Why an endpoint counts as cold.
enum class cold_reason
{
    told,        ///< its store entry says so
    readmitted,  ///< its failure domain was evacuated
    unreachable, ///< it may have restarted
};

std::string_view to_string(cold_reason it);

/// Bounds the requests that a cold endpoint gets from all instances together.
///
/// When a whole failure domain comes back at once, its idle endpoints attract the requests of all instances,
/// and cold endpoints fail at a few times their normal load. No instance sees the sends of the others in
/// time. Therefore a few instances are selected as senders of each cold endpoint, each with its part of the
/// rate, and all others treat the endpoint as absent. An instance that does not yet know the others sends to
/// no cold endpoint. Without this bound, cold endpoints got up to 26 requests in a second and could handle 24
/// (65 instances, arrivals at endpoints during 34 s); with it, none exceeded the bound in 14 such runs that
/// included other faults.
class warm_up
{
public:
    warm_up(warm_up_options options, core::instance_id self)
        : options_{options}, senders_{self}, self_{std::move(self)}
    {
    }

    sender_set& instances() { return senders_; }
    /// Marks the list of instances as complete.
    void settle() { settled_ = true; }
    void set_limit(const service_id& service, const cold_limit& it) { limits_[service] = it; }

    /// The store entry of an endpoint says how much longer it is cold. Returns whether the endpoint turned
    /// from warm to cold.
    bool told(time_point now, const endpoint_id& id, const service_id& service, milliseconds cold_for);
    /// Treats the endpoint as cold for its cold time from now on, whatever its store entry says. Returns
    /// whether the endpoint turned from warm to cold.
    bool suspect(time_point now, const endpoint_id& id, const service_id& service, cold_reason why);
    /// The endpoint was reachable all the time: it no longer counts as cold as `unreachable`.
    void reached(const endpoint_id& id);
    void sent(time_point now, const endpoint_id& id);

    bool is_cold(time_point now, const endpoint_id& id) const;
    bool may_send(time_point now, const endpoint_id& id) const;
    /// When this instance may next send to the endpoint.
    time_point next_send(time_point now, const endpoint_id& id) const;
    time_point cold_until(const endpoint_id& id) const;
    bool is_sender(const endpoint_id& id) const;
    std::size_t cold_count(time_point now) const;
    /// Removes endpoints that are warm again.
    void expire(time_point now);

private:
    struct record
    {
        time_point reported_cold_until = time_point::min();
        time_point assumed_cold_until = time_point::min();
        time_point unreachable_cold_until = time_point::min();
        time_point next_send{};
        double requests_per_s = 0; ///< from all instances together
    };

    const cold_limit* limit_of(const service_id& service) const;
    record& begin(time_point now, const endpoint_id& id, const cold_limit& limit);
    std::size_t sender_count() const;
    /// Time between two sends of this instance, given the instances that are known now.
    duration interval(const record& it) const;
    static bool is_cold(time_point now, const record& it) { return now < cold_until(it); }
    static time_point cold_until(const record& it)
    {
        return std::max({it.reported_cold_until, it.assumed_cold_until, it.unreachable_cold_until});
    }

    warm_up_options options_;
    sender_set senders_;
    core::instance_id self_;
    bool settled_ = false;
    std::map<service_id, cold_limit> limits_;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::places
