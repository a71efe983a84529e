/// \file
/// Estimated load of the endpoints of plain services (without an inference engine), over all instances.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/load/load_messages.hpp"

namespace runlink::load
{

using core::duration;
using core::milliseconds;
using core::time_point;

/// What an endpoint states about its load in an answer.
struct load_statement
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t pace = 100; ///< time that the work takes, in hundredths of the usual time

    friend bool operator==(const load_statement&, const load_statement&) = default;
};

/// Parameters of the estimate.
struct plain_options
{
    /// Shortest time between two messages.
    milliseconds update_interval{60};
    /// Time between two messages without a new refusal. Work ends within 30 to 60 ms, so a more frequent
    /// count of requests in flight is no better; two messages fall into `expiry`, so one may be lost.
    milliseconds refresh_interval{120};
    /// Time after which the counts of another instance no longer count: it has ended or is calm again.
    milliseconds expiry{300};
    /// Time for which a refusal shows that the endpoint may be overloaded.
    milliseconds refusal_memory{1000};
    /// The same while no other instance announces anything. An instance then learns of an overload only from
    /// its own refusals, about one in two seconds.
    milliseconds lone_refusal_memory{3000};
    /// Time over which the rate of arrivals is averaged. An instance sees a few requests per second under
    /// load, and fewer than one in a shorter time.
    milliseconds rate_time{1000};
    /// Time over which the fast and the slow mean of the answer time are taken. Slow periods last about a
    /// second.
    milliseconds fast_time{200};
    milliseconds slow_time{10'000};
    /// Share of the capacity that may be wanted before it is divided among the instances. Arrivals are
    /// random: with more, endpoints of few slots refuse more than one request in a hundred.
    double busy_share = 0.85;
    /// Factor of the assumed capacity after refusals within `refresh_interval`, and its lowest value. With
    /// `factor_growth`, one or two such intervals per second keep the capacity as it is: about one refusal in
    /// a hundred sends at endpoints of 6 slots and 30 ms of work.
    double refusal_factor = 0.93;
    double least_factor = 0.6;
    /// Highest factor. Answer times include the wait in the queue of the endpoint, so that the number of
    /// slots divided by the answer time understates the capacity of a busy endpoint.
    double most_factor = 1.25;
    /// Growth of the factor per second without refusals.
    double factor_growth = 0.15;
    /// Requests that an instance may send in advance of its rate. Arrivals are random, and a part that was
    /// not used is lost.
    double advance = 0.5;
    /// Part of the capacity that is divided evenly, since the wants of an instance may have just begun.
    double even_share = 0.2;
    /// Time within which a statement of an endpoint loses half of its weight: the load changes several times
    /// in the time of one request.
    milliseconds statement_half_life{100};
};

/// Requests in flight, answer times and free capacity of plain endpoints.
///
/// An instance sends an endpoint a few requests per second, and its work ends before other instances learn of
/// it. Instances therefore announce, besides their requests in flight, the rate at which requests for the
/// endpoint arrive at them. When all of them together want more than the endpoints of a service can do, each
/// instance sends at the rate that is its part by demand. Without messages of others, the part is the same
/// for all instances.
class plain_load
{
public:
    explicit plain_load(plain_options options = {}) : options_{options} {}

    /// Sets the number of instances that share the endpoints, this one included.
    void set_instances(std::size_t n) { instances_ = n < 1 ? 1 : n; }
    /// Sets after which part of its interval, from 0 to 1, this instance first sends once capacity is scarce.
    /// It should differ between instances: if each sent a request at once, that would be more than the
    /// endpoints of a fleet of 133 instances can do in half a second.
    void set_phase(double it) { phase_ = it; }
    /// Adds an endpoint, or updates it.
    void put(endpoint_hash id, const core::service_id& service, std::uint32_t slots);
    /// Drops the endpoints for which `is_gone` holds.
    template <class Predicate>
    void forget_if(const Predicate& is_gone)
    {
        std::erase_if(endpoints_, [&](const auto& it) { return is_gone(it.first); });
    }

    /// A request arrived at this instance that would best go to the endpoint, whether it is sent or not.
    void arrived(time_point now, endpoint_hash at);
    void sent(time_point now, endpoint_hash to);
    /// A request sent at `sent_at` has ended, or was not sent.
    void ended(endpoint_hash at);
    /// An answer came after `time`.
    void answered(time_point now, endpoint_hash from, duration time);
    /// The endpoint refused a request of this instance for lack of capacity.
    void refused(time_point now, endpoint_hash from);
    void on_statement(time_point now, endpoint_hash from, const load_statement& it);
    /// Replaces what another instance announced. An empty id stands for all instances of other failure
    /// domains, whose sum comes in a digest.
    void on_counts(time_point now, const core::instance_id& from, const std::vector<request_counts>& all);

    /// Whether decisions about the service depend on load: endpoints refuse, are busy, or are reported busy.
    bool is_pressed(time_point now, const core::service_id& service) const;
    /// Requests in flight at the endpoint, as far as is known.
    double running(time_point now, endpoint_hash at) const;
    /// Expected time until one more request is answered that finds `more` requests than are known.
    duration expected_end(time_point now, endpoint_hash at, std::uint32_t more = 0) const;
    /// Whether the endpoint has stated its load so lately that the statement outweighs the estimate.
    bool is_stated(time_point now, endpoint_hash at) const;
    /// Whether this instance has to keep to its part of the endpoint's capacity.
    bool is_restricted(time_point now, endpoint_hash at) const;
    /// Whether the endpoint has room for one more request of this instance, answered within `time_left`.
    bool has_room(time_point now, endpoint_hash at, duration time_left) const;
    /// When it has room next for a request of this instance.
    time_point next_room(time_point now, endpoint_hash at) const;
    /// When it has room next for a request of any instance.
    time_point next_room_of_any(time_point now, endpoint_hash at) const;
    /// Time between two requests of this instance at the endpoint; 0 if the endpoints need not be shared.
    duration interval(time_point now, endpoint_hash at) const;
    /// The same, but at least the time after which the endpoint ends one of its requests.
    duration turn_interval(time_point now, endpoint_hash at) const;
    /// Expected time to an answer without a wait; 0 if unknown.
    duration answer_time(time_point now, endpoint_hash at) const;

    /// Whether requests for the service wait at this instance.
    using waiting_check = std::function<bool(const core::service_id&)>;
    /// The counts to be announced at `now`; empty unless the load calls for it.
    std::vector<request_counts> take_due(time_point now, const waiting_check& waits);
    std::optional<time_point> next_due(time_point now, const waiting_check& waits) const;
    /// The sum of what this instance and those of its failure domain have, for a digest to other domains.
    std::vector<request_counts> local_counts(time_point now) const;
    /// Drops counts of others that have expired.
    void expire(time_point now);

private:
    /// A sum that decays exponentially.
    struct decaying
    {
        double value = 0;
        time_point at{};

        double get(time_point now, milliseconds over) const;
        void add(time_point now, milliseconds over, double n);
    };
    /// A mean over the latest samples.
    struct decaying_mean
    {
        decaying sum;
        decaying weight;
    };
    struct others
    {
        double in_flight = 0;
        double arrivals_per_s = 0;
    };
    struct endpoint
    {
        core::service_id service;
        std::uint32_t slots = 1;
        std::uint32_t in_flight = 0; ///< of this instance
        decaying arrivals;           ///< at this instance
        others known;                ///< of other instances
        decaying_mean fast;
        decaying_mean slow;
        double factor = 1; ///< of the capacity, as of `factor_at`
        time_point factor_at{};
        std::optional<time_point> refused_at;     ///< at any instance
        time_point closed_until{};                ///< after a refusal
        std::optional<time_point> refusing_since; ///< first of the refusals up to `refused_at`
        bool has_new_refusal = false;
        double answer_us = 0; ///< sum since the last message
        std::uint32_t answers = 0;
        std::optional<load_statement> stated;
        time_point stated_at{};
    };
    struct report
    {
        time_point at{};
        std::vector<request_counts> counts;
    };

    const endpoint* find(endpoint_hash id) const;
    endpoint* find(endpoint_hash id);
    void add(const report& it, double sign);
    void observe(time_point now, endpoint& to, double us, double n) const;
    void note_refusal(time_point now, endpoint& at) const;
    double arrivals_per_s(time_point now, const endpoint& it) const;
    double factor(time_point now, const endpoint& it) const;
    /// Weight of the endpoint's own statement, from 0 to 1.
    double statement_weight(time_point now, const endpoint& it) const;
    std::uint32_t slots(const endpoint& it) const;
    /// Expected answer time in microseconds; 0 if nothing is known.
    double answer_us(time_point now, const endpoint& it) const;
    double running(time_point now, const endpoint& it) const;
    /// Requests that the endpoint can answer per second; 0 if unknown.
    double capacity(time_point now, const endpoint& it) const;
    /// How the capacity of a service's endpoints is divided.
    struct division
    {
        bool is_scarce = false;
        double rate = 0; ///< requests per second that this instance may send to all of them; 0: unknown
    };
    division divide(time_point now, const core::service_id& service) const;
    /// Requests for a service that this instance has sent beyond its rate while the capacity is scarce.
    struct account
    {
        bool is_scarce = false;
        double spent = 0; ///< as of `at`
        time_point at{};
    };
    double spent(time_point now, const account& it, double rate) const;
    /// Begins or ends the account of the service as its capacity becomes scarce or plentiful.
    void update(time_point now, const core::service_id& service);
    bool is_refusing(time_point now, const endpoint& it) const;
    /// Requests that one instance may have at an endpoint: a third more than the slots, so that no slot is
    /// idle between an answer and the next request.
    static std::uint32_t room(std::uint32_t slots) { return slots + std::max(slots / 3, 1U); }
    bool calls_for_updates(time_point now, const endpoint& it, bool waiting) const;
    request_counts counts_of(time_point now, endpoint_hash id, const endpoint& it) const;

    plain_options options_;
    std::size_t instances_ = 1;
    std::map<endpoint_hash, endpoint> endpoints_;
    std::map<core::service_id, account> accounts_;
    double phase_ = 0; ///< see `set_phase`
    std::map<core::instance_id, report> reports_;
    time_point announced_at_{};
};

} // namespace runlink::load
