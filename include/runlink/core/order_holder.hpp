/// \file
/// Sends load and unload orders to the endpoints of one pool. At most one instance sends orders at a time,
/// whether or not the endpoints check fencing numbers.
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

/// An order to load or unload a version.
struct endpoint_order
{
    endpoint_id endpoint;
    version_ref version;
    bool load = true; ///< true: load the version; false: unload it
    fencing_number fencing{};

    friend bool operator==(const endpoint_order&, const endpoint_order&) = default;
};

/// The versions that each endpoint reports as loaded.
using observed_versions = std::map<endpoint_id, std::set<version_ref>>;

/// Times and rates of the order holder.
struct order_options
{
    milliseconds lease{10000};
    milliseconds renew_every{3000};
    milliseconds lease_margin{2000};   ///< no order is sent in this last part of a lease
    milliseconds max_order_time{3000}; ///< time within which an order arrives or fails
    double loads_per_second = 0.5;     ///< load orders that the weight store can serve
};

/// Dependencies of the order holder.
struct order_hooks
{
    store_port store;
    /// Sends an order. The handler gets true if the endpoint accepted it.
    std::function<void(const endpoint_order&, std::function<void(bool)>)> send;
    /// Reads the versions that the endpoints of the pool have loaded.
    std::function<void(std::function<void(const observed_versions&)>)> observe;
};

/// Competes for the pool's lease and, while it holds the lease, sends the orders that lead to the desired
/// state.
///
/// The lease is a value in the store that names the holder and a fencing number, which increases with each
/// new holder. A holder's lease counts from when it sent the request. Another instance takes the lease over
/// after it has seen the stored value unchanged for a whole lease on its own clock, and then waits for
/// `max_order_time` before its first order; no clocks are compared between instances. Endpoints that check
/// the fencing number also reject orders of a former holder that was paused. Orders are derived from the
/// observed state, so a new holder continues an unfinished roll-out, and a repeated order has no further
/// effect.
class order_holder
{
public:
    order_holder(pool_id pool, instance_id self, order_options options, order_hooks hooks);
    order_holder(const order_holder&) = delete;
    order_holder& operator=(const order_holder&) = delete;

    /// Sets the versions that each endpoint of the pool should have loaded.
    void set_desired(std::map<endpoint_id, std::set<version_ref>> desired) { desired_ = std::move(desired); }
    void tick(time_point now);

    /// Whether an order may be sent now.
    bool may_order(time_point now) const;
    fencing_number fencing() const { return fencing_; }

private:
    /// A lease in the store that this instance doesn't hold.
    struct observed_lease
    {
        std::string data;
        std::uint64_t revision = 0;
        time_point since{}; ///< when this revision was first read
    };

    std::string key() const { return "orders/" + pool_.str(); }
    /// Renews the lease, or acquires it once the other holder's lease has expired.
    void renew_or_acquire(time_point now);
    void on_lease_read(time_point requested_at, const result<store_value>& it);
    void write_lease(time_point requested_at, fencing_number next, const store_condition& condition,
                     bool is_takeover);
    void start_order();
    /// Sends at most one order: loads come before unloads.
    void send_next_order(const observed_versions& observed);
    bool is_last_copy(const observed_versions& observed, const version_ref& version) const;

    pool_id pool_;
    instance_id self_;
    order_options options_;
    order_hooks hooks_;
    std::map<endpoint_id, std::set<version_ref>> desired_;
    time_point now_{};
    time_point next_renewal_{};
    std::optional<observed_lease> foreign_lease_;
    std::optional<time_point> lease_until_;
    time_point orders_start_at_{};
    std::uint64_t lease_revision_ = 0;
    fencing_number fencing_{};
    rate_limiter load_rate_;
    bool is_ordering_ = false;
};

} // namespace runlink::core
