/// \file
/// Orders endpoints from the platform, one call at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "runlink/core/clock.hpp"
#include "runlink/duties/scale_planner.hpp"
#include "runlink/duties/usage_reporter.hpp"

namespace runlink::duties
{

/// A service in one failure domain.
struct scale_subject
{
    core::service_id service;
    failure_domain_id domain;

    friend auto operator<=>(const scale_subject&, const scale_subject&) = default;
};

/// The latest orders as they are stored; a new holder continues from them.
struct order_record
{
    std::map<scale_subject, domain_order> orders;
    core::store_revision revision{}; ///< assigned by the store

    friend bool operator==(const order_record&, const order_record&) = default;
};

/// One call to the platform: the number of endpoints of one kind.
struct scale_call
{
    scale_subject subject;
    bool is_preemptible = false;
    std::uint32_t desired = 0;

    friend bool operator==(const scale_call&, const scale_call&) = default;
};

/// Result of an order.
struct scale_result
{
    call_outcome what = call_outcome::unanswered;
    bool is_unavailable = false; ///< the platform has no preemptible endpoints there at present
};

/// What the holder knows of one service.
struct service_state
{
    scaling_limits limits;
    std::uint32_t slots = 1;
    std::map<failure_domain_id, std::uint32_t> ready; ///< endpoints that may get requests
    std::optional<std::uint32_t> running;
    milliseconds warm_up{}; ///< until a new endpoint takes its full load
    bool keeps_capacity = false;
};

/// Parameters of the orders.
struct scale_options
{
    planner_options planner;
    milliseconds plan_interval{1000};
    milliseconds retry_delay{600};
    /// The first order for a service keeps the endpoints that it has, once their number has not grown for
    /// this time: when a deployment starts, its endpoints appear one after the other.
    milliseconds first_count_time{2000};
    /// An order without an answer may be carried out this much later, after newer ones; the latest order is
    /// then repeated.
    milliseconds late_call_time{8000};
    /// After the platform denied preemptible endpoints in a failure domain, they are not ordered there for
    /// this time.
    milliseconds denial_time{4000};
    /// While the number of ready endpoints differs from the ordered one, the orders are repeated after this
    /// time: the platform does not replace reclaimed endpoints by itself, and a roll-out ends with endpoints
    /// that were started beside the ordered ones.
    milliseconds repeat_interval{2500};
    /// Difference, as a share of the ordered endpoints, for which the orders are not repeated.
    double tolerance = 0.1;
    /// A new holder gives no orders before the other instances have sent it their loads.
    milliseconds collect_time{1500};
};

/// Actions of the orders.
struct scale_hooks
{
    std::function<bool(time_point)> may_act;
    std::function<std::map<core::service_id, service_state>()> services;
    std::function<void(const order_record&, std::function<void(write_result)>)> write;
    std::function<void(const scale_call&, std::function<void(scale_result)>)> send;
    core::clock_source now;
    std::function<void(time_point, const scale_call&, std::string_view result)> log = [](auto, const auto&,
                                                                                         auto) {};
};

/// Plans the endpoints of all services, stores the plan, and orders what differs from the last accepted
/// order.
///
/// Orders name absolute numbers, so a repeated one has no further effect.
class scale_orders
{
public:
    scale_orders(scale_options options, scale_hooks hooks);
    scale_orders(const scale_orders&) = delete;
    scale_orders& operator=(const scale_orders&) = delete;

    void on_record(const order_record& it);
    /// The store has returned from a copy without a record.
    void on_record_lost() { record_.revision = {}; }
    /// The store has been listed, so that a missing record is known to be missing.
    void on_listed() { is_listed_ = true; }
    /// This instance has acquired the duty. Orders of the previous holder may not have arrived.
    void on_acquired(time_point now);
    void tick(time_point now);
    std::optional<time_point> next_due() const { return next_step_; }
    const order_record& record() const { return record_; }

private:
    /// What is known of the orders for one kind of endpoint of a subject.
    struct call_state
    {
        std::optional<std::uint32_t> accepted; ///< the latest accepted number
        std::optional<time_point> repeat_at;   ///< an unanswered call may be carried out until then
        time_point not_before{};
    };
    using call_key = std::pair<scale_subject, bool>;

    /// The highest number of ready endpoints of a subject without an order.
    struct first_count
    {
        std::uint32_t ready = 0;
        time_point since{};
    };

    /// Whether the service has orders, or the number of its endpoints no longer grows.
    bool is_counted(time_point now, const core::service_id& service, const service_state& state);
    /// Plans all services; returns whether the plan differs from the record.
    bool plan(time_point now, order_record& next);
    domain_state state_of(time_point now, const scale_subject& subject, const service_state& service,
                          std::uint32_t ready) const;
    /// Repeats the orders of a subject whose number of ready endpoints differs from the ordered one.
    void repeat_unfulfilled(time_point now, const scale_subject& subject, const domain_state& state,
                            const service_state& service);
    /// Repeats both orders of a subject: the one for preemptible endpoints after this time, the other one
    /// once these have started.
    void repeat_orders(time_point now, const scale_subject& subject, const service_state& service,
                       milliseconds after);
    /// Repeats the orders when a roll-out or an evacuation has ended: a roll-out ends the ordered endpoints
    /// of the old version, and leaves as many of the new one.
    void on_kept(time_point now, const core::service_id& id, const service_state& service);
    void store(const order_record& next);
    void on_stored(const order_record& next, write_result result);
    /// The next call that is due.
    std::optional<scale_call> next_call(time_point now) const;
    bool is_due(time_point now, const scale_call& it) const;
    void send(const scale_call& it);
    void on_sent(const scale_call& it, scale_result result);

    scale_options options_;
    scale_hooks hooks_;
    order_record record_;
    std::map<core::service_id, scale_planner> planners_;
    std::map<call_key, call_state> calls_;
    std::map<scale_subject, time_point> changed_at_; ///< when an order for the subject was last accepted
    std::map<scale_subject, time_point> denied_until_;
    std::map<scale_subject, first_count> first_counts_;
    std::map<core::service_id, bool> kept_; ///< `keeps_capacity` at the last plan
    std::optional<time_point> next_step_;
    time_point next_plan_{};
    time_point plan_from_{};
    bool is_listed_ = false;
    bool is_busy_ = false;
};

} // namespace runlink::duties
