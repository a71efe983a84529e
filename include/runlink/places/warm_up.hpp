/// \file
/// How many requests endpoints get that are cold: just started, or emptied and taken back.
#pragma once

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

/// What the endpoints of a service bear while they are cold.
struct cold_limit
{
    double requests_per_s = 0; ///< 0: as much as at other times
    milliseconds cold_time{};  ///< after a start

    friend bool operator==(const cold_limit&, const cold_limit&) = default;
};

/// Parameters of the warm-up.
struct warm_up_options
{
    /// Instances that send to one cold endpoint; 0: all of them, each a part of the rate. Four, two more
    /// where views differ, each one request ahead of its rate: a second has less than twice the limit. If
    /// all four are lost, the endpoint gets nothing for its cold time, which is a few seconds.
    std::size_t senders = 4;
    /// Part of the limit that is used: requests bunch on the way.
    double rate_part = 0.9;
    /// An endpoint that could not be reached may be back as another process, cold, before its entry says so:
    /// for this long after the last try, and its cold time.
    milliseconds news_delay{2500};
};

/// Why an endpoint counts as cold.
enum class cold_reason
{
    told,        ///< by its entry
    readmitted,  ///< its failure domain was evacuated
    unreachable, ///< it may have started again
};

std::string_view to_string(cold_reason it);

/// Bounds the requests that a cold endpoint gets from all instances together.
///
/// Answers a failure domain that comes back at once: its endpoints are idle, which draws the requests of all
/// instances, and cold ones fall over at a few times the load that they have in calm. No instance sees the
/// sends of the others in time, so that a few instances are drawn for each cold endpoint, each with its part
/// of the rate; all others take it for absent. An instance that does not yet know the others sends to none.
/// Without it cold endpoints got up to 26 requests in a second where 24 were borne (arrivals at endpoints in
/// 34 s, 65 instances); with it none got more than the bound in 14 such runs with other faults beside.
class warm_up
{
public:
    warm_up(warm_up_options options, core::instance_id self)
        : options_{options}, senders_{self}, self_{std::move(self)}
    {
    }

    sender_set& instances() { return senders_; }
    /// All instances are known.
    void settle() { settled_ = true; }
    void set_limit(const service_id& service, const cold_limit& it) { limits_[service] = it; }

    /// The entry of an endpoint says how much longer it is cold. Returns whether it is cold now and was not.
    bool told(time_point now, const endpoint_id& id, const service_id& service, milliseconds cold_for);
    /// Whatever its entry says, it may be cold from now on for its cold time. Returns as `told`.
    bool suspect(time_point now, const endpoint_id& id, const service_id& service, cold_reason why);
    void sent(time_point now, const endpoint_id& id);

    bool is_cold(time_point now, const endpoint_id& id) const;
    bool may_send(time_point now, const endpoint_id& id) const;
    /// When this instance may send to it next.
    time_point next_send(time_point now, const endpoint_id& id) const;
    time_point cold_until(const endpoint_id& id) const;
    bool is_sender(const endpoint_id& id) const;
    std::size_t cold_count(time_point now) const;
    /// Forgets endpoints that are warm again.
    void expire(time_point now);

private:
    struct record
    {
        time_point told_until = time_point::min();
        time_point suspected_until = time_point::min();
        time_point next_send{};
        double requests_per_s = 0; ///< from all instances together
    };

    const cold_limit* limit_of(const service_id& service) const;
    record& begin(time_point now, const endpoint_id& id, const cold_limit& limit);
    std::size_t sender_count() const;
    /// Between two sends of this instance, for the instances that are known now.
    duration interval(const record& it) const;
    static bool is_cold(time_point now, const record& it)
    {
        return now < it.told_until || now < it.suspected_until;
    }

    warm_up_options options_;
    sender_set senders_;
    core::instance_id self_;
    bool settled_ = false;
    std::map<service_id, cold_limit> limits_;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::places
