#include "runlink/core/order_holder.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace runlink::core
{
namespace
{

/// Formats the stored lease: the fencing number, a space and the holder.
std::string print_lease(fencing_number fencing, const instance_id& holder)
{
    return std::to_string(fencing.value()) + " " + holder.str();
}

fencing_number parse_fencing(const std::string& lease)
{
    std::uint64_t n = 0;
    std::from_chars(lease.data(), lease.data() + lease.size(), n);
    return fencing_number{n};
}

} // namespace

order_holder::order_holder(pool_id pool, instance_id self, order_options options, order_hooks hooks)
    : pool_{std::move(pool)}, self_{std::move(self)}, options_{options}, hooks_{std::move(hooks)},
      load_rate_{options.loads_per_second, 1}
{
}

void order_holder::tick(time_point now)
{
    now_ = now;
    if (lease_until_ && now >= *lease_until_)
        lease_until_.reset();
    if (now >= next_renewal_)
        renew_or_acquire(now);
    if (may_order(now))
        start_order();
}

bool order_holder::may_order(time_point now) const
{
    return lease_until_ && now >= orders_start_at_ && now + options_.lease_margin < *lease_until_;
}

void order_holder::renew_or_acquire(time_point now)
{
    next_renewal_ = now + options_.renew_every;
    hooks_.store.get(key(), [this, now](const result<store_value>& it) { on_lease_read(now, it); });
}

void order_holder::on_lease_read(time_point requested_at, const result<store_value>& it)
{
    if (!it && it.error().code == errc::store_absent)
        return write_lease(requested_at, fencing_number{1}, store_condition::create(), false);
    if (!it)
        return;
    const auto& found = it.value();
    const auto fencing = parse_fencing(found.data);
    const bool is_own = lease_until_ && found.revision == lease_revision_;
    if (is_own)
        return write_lease(requested_at, fencing, store_condition::match(found.revision), false);
    lease_until_.reset();
    if (!foreign_lease_ || foreign_lease_->revision != found.revision)
        foreign_lease_ = {found.data, found.revision, now_};
    if (now_ - foreign_lease_->since < options_.lease)
        return;
    write_lease(requested_at, fencing_number{fencing.value() + 1}, store_condition::match(found.revision),
                true);
}

void order_holder::write_lease(time_point requested_at, fencing_number next, const store_condition& condition,
                               bool is_takeover)
{
    const auto on_written = [this, requested_at, next, is_takeover](const result<std::uint64_t>& it)
    {
        // If the reply was lost, the store may hold a lease of this instance; it is left to expire unused.
        if (!it)
            return;
        lease_until_ = requested_at + options_.lease;
        lease_revision_ = it.value();
        fencing_ = next;
        foreign_lease_.reset();
        if (is_takeover)
            orders_start_at_ = now_ + options_.max_order_time;
    };
    hooks_.store.put(key(), print_lease(next, self_), condition, on_written);
}

void order_holder::start_order()
{
    if (std::exchange(is_ordering_, true))
        return;
    hooks_.observe([this](const observed_versions& it) { send_next_order(it); });
}

bool order_holder::is_last_copy(const observed_versions& observed, const version_ref& version) const
{
    const bool used = std::any_of(desired_.begin(), desired_.end(),
                                  [&](const auto& it) { return it.second.contains(version); });
    const auto copies = std::count_if(observed.begin(), observed.end(),
                                      [&](const auto& it) { return it.second.contains(version); });
    return used && copies <= 1;
}

void order_holder::send_next_order(const observed_versions& observed)
{
    is_ordering_ = false;
    // The observation may arrive late: the lease must be valid now, not when the observation was requested.
    if (!may_order(now_))
        return;
    const auto send = [this](endpoint_order order)
    {
        is_ordering_ = true;
        order.fencing = fencing_;
        hooks_.send(order, [this](bool) { is_ordering_ = false; });
    };
    for (const auto& [endpoint, wanted] : desired_)
    {
        const auto found = observed.find(endpoint);
        const auto held = found == observed.end() ? std::set<version_ref>{} : found->second;
        for (const auto& version : wanted)
            if (!held.contains(version))
                return load_rate_.try_take(now_) ? send({endpoint, version, true, {}}) : void();
    }
    for (const auto& [endpoint, held] : observed)
    {
        const auto found = desired_.find(endpoint);
        for (const auto& version : held)
            if (found != desired_.end() && !found->second.contains(version) &&
                !is_last_copy(observed, version))
                return send({endpoint, version, false, {}});
    }
}

} // namespace runlink::core
