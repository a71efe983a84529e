/// \file
/// Bounds the requests under way at endpoints that fall over when they have to refuse many.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

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

/// Parameters of the bound.
struct brittle_options
{
    /// Fraction of the refusals that an endpoint bears which the instances together may cause by sends beyond
    /// their part of its slots.
    double try_fraction = 0.25;
    /// How long this instance sends nothing to an endpoint that has refused a request of it.
    milliseconds refusal_pause{1000};
    /// Time between two requests at one endpoint, until it has been measured.
    milliseconds first_run_time{100};
    /// The word of a service ends after this time without an answer that repeats it.
    milliseconds lifetime{30'000};
};

/// Where an endpoint belongs and how many requests it runs at the same time.
struct endpoint_place
{
    service_id service;
    std::uint32_t slots = 1;
};

/// Endpoints of a brittle service fall over if they refuse more than a number of requests in a second, and
/// the number that they let wait may fall at any time. So each instance has a part of an endpoint's slots, by
/// the order in which the instances are its senders, and keeps that many requests under way there: together
/// they never exceed the slots, without messages. Beyond its part an instance sends seldom, so that all of
/// them together stay below what the endpoint bears, however many they are.
class brittle_services
{
public:
    brittle_services(brittle_options options, const sender_set& instances)
        : options_{options}, instances_{instances}
    {
    }

    /// Looks up an endpoint; nothing if it is not listed.
    std::function<std::optional<endpoint_place>(const endpoint_id&)> place_of = [](const auto&)
    { return std::nullopt; };

    /// An answer to a request sent at `asked_at` states how many refusals a second the endpoint bears, or
    /// nothing if it is not brittle. Returns whether the state of the service changed.
    bool on_answer(time_point now, const service_id& service, std::optional<double> refusals_per_s,
                   time_point asked_at);
    /// A request of this instance was sent to the endpoint, or has ended there.
    void sent(time_point now, const endpoint_id& id);
    void finished(time_point now, const endpoint_id& id, time_point sent_at);
    /// The endpoint refused a request of this instance.
    void refused(time_point now, const endpoint_id& id);

    bool is_brittle(const endpoint_id& id) const;
    bool may_send(time_point now, const endpoint_id& id) const { return next_send(now, id) <= now; }
    /// When this instance may next send to the endpoint, as far as this can be foreseen.
    time_point next_send(time_point now, const endpoint_id& id) const;
    /// Whether the endpoint is not brittle, or not all of this instance's part of it is in use.
    bool has_free_part(const endpoint_id& id) const;
    /// Time between two sends of this instance while all of its part is in use.
    duration interval(const endpoint_id& id) const;
    /// This instance's part of the endpoint's slots.
    std::uint32_t share(const endpoint_id& id) const;
    std::size_t size() const { return services_.size(); }

    /// Removes words that were not repeated, and the loads of unused endpoints.
    void expire(time_point now);

private:
    struct word
    {
        double refusals_per_s = 0;
        time_point began_at{};  ///< when the service first stated it
        time_point stated_at{}; ///< when it last did
    };
    struct load
    {
        std::uint32_t in_flight = 0;
        time_point next_try{};
        time_point paused_until{};
        duration run_time{}; ///< moving average; 0: not measured
    };

    const word* word_of(const endpoint_id& id) const;
    /// When this instance may next send beyond its part. The tries of all instances follow each other.
    time_point next_try(const endpoint_id& id, const word& it, const load& at) const;
    /// Time between two sends of this instance beyond its part.
    duration try_interval(const word& it) const;
    duration run_time(const load& it) const;

    brittle_options options_;
    const sender_set& instances_;
    std::map<service_id, word> services_;
    std::map<endpoint_id, load> loads_;
};

} // namespace runlink::places
