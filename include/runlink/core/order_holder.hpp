/// \file
/// Orders to the endpoints of one pool: one holder at a time, towards endpoints that check fencing numbers
/// and towards those that do not.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/core/configuration.hpp"
#include "runlink/core/rate_limiter.hpp"
#include "runlink/core/store_port.hpp"

namespace runlink::core
{

/// An order to load or to unload a version.
struct endpoint_order
{
    endpoint_id endpoint;
    version_ref version;
    bool load = true;
    fencing_number fencing{};

    friend bool operator==(const endpoint_order&, const endpoint_order&) = default;
};

/// Which versions an endpoint holds, as it says itself.
using observed_versions = std::map<endpoint_id, std::set<version_ref>>;

/// Times of the order holder.
struct order_options
{
    milliseconds lease{10000};
    milliseconds renew_every{3000};
    milliseconds margin{2000};        ///< no order is sent in the last part of a lease
    milliseconds longest_order{3000}; ///< an order that was sent has arrived or failed by then
    double loads_per_second = 0.5;    ///< the weight store's rate
};

/// What the order holder asks of its surroundings.
struct order_hooks
{
    store_port store;
    /// Sends an order. The handler is told whether the endpoint took it.
    std::function<void(const endpoint_order&, std::function<void(bool)>)> send;
    /// Reads what the endpoints of the pool hold.
    std::function<void(std::function<void(const observed_versions&)>)> observe;
};

/// Holds the pool's lease and turns the desired state into orders.
///
/// The lease is a value in the store with the holder and a fencing number, which grows with each holder. A
/// holder counts its lease from before it asked for it. A new holder waits until the former lease and the
/// longest order behind it have run out on its own clock, counted from when it first saw the former value
/// unchanged: it needs no clock of another instance. Endpoints that check the number are safe against a
/// paused holder besides. Orders are made from what is observed, so that a half-done roll-out goes on, and
/// repeating one does no harm.
class order_holder
{
public:
    order_holder(pool_id pool, instance_id self, order_options options, order_hooks hooks);
    order_holder(const order_holder&) = delete;
    order_holder& operator=(const order_holder&) = delete;

    /// The versions that each endpoint of the pool should hold.
    void desire(std::map<endpoint_id, std::set<version_ref>> desired) { desired_ = std::move(desired); }
    void tick(time_point now);

    /// Whether an order may be sent now.
    bool may_order(time_point now) const;
    fencing_number fencing() const { return fencing_; }

private:
    struct seen_lease
    {
        std::string data;
        std::uint64_t revision = 0;
        time_point since{};
    };

    std::string key() const { return "orders/" + pool_.str(); }
    void contend(time_point now);
    void on_found(time_point asked, const result<store_value>& it);
    void take(time_point asked, fencing_number next, const store_condition& condition, bool wait_out);
    void act();
    void order_next(const observed_versions& observed);
    bool is_last_copy(const observed_versions& observed, const version_ref& version) const;

    pool_id pool_;
    instance_id self_;
    order_options options_;
    order_hooks hooks_;
    std::map<endpoint_id, std::set<version_ref>> desired_;
    time_point now_{};
    time_point next_contention_{};
    std::optional<seen_lease> seen_;
    std::optional<time_point> lease_until_;
    time_point not_before_{};
    std::uint64_t lease_revision_ = 0;
    fencing_number fencing_{};
    rate_limiter loads_;
    bool acting_ = false;
};

} // namespace runlink::core
