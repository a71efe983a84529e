#include "runlink/core/order_holder.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace runlink::core
{
namespace
{

/// The lease as stored: the fencing number, a blank and the holder.
std::string print_lease(fencing_number fencing, const instance_id& holder)
{
    return std::to_string(fencing.value()) + " " + holder.str();
}

fencing_number fencing_of(const std::string& lease)
{
    std::uint64_t n = 0;
    std::from_chars(lease.data(), lease.data() + lease.size(), n);
    return fencing_number{n};
}

} // namespace

order_holder::order_holder(pool_id pool, instance_id self, order_options options, order_hooks hooks)
    : pool_{std::move(pool)}, self_{std::move(self)}, options_{options}, hooks_{std::move(hooks)},
      loads_{options.loads_per_second, 1}
{
}

void order_holder::tick(time_point now)
{
    now_ = now;
    if (lease_until_ && now >= *lease_until_)
        lease_until_.reset();
    if (now >= next_contention_)
        contend(now);
    if (may_order(now))
        act();
}

bool order_holder::may_order(time_point now) const
{
    return lease_until_ && now >= not_before_ && now + options_.margin < *lease_until_;
}

void order_holder::contend(time_point now)
{
    next_contention_ = now + options_.renew_every;
    hooks_.store.get(key(), [this, now](const result<store_value>& it) { on_found(now, it); });
}

void order_holder::on_found(time_point asked, const result<store_value>& it)
{
    if (!it && it.error().code == errc::store_absent)
        return take(asked, fencing_number{1}, store_condition::create(), false);
    if (!it)
        return;
    const auto& found = it.value();
    const auto fencing = fencing_of(found.data);
    const bool mine = lease_until_ && found.revision == lease_revision_;
    if (mine)
        return take(asked, fencing, store_condition::match(found.revision), false);
    lease_until_.reset();
    if (!seen_ || seen_->revision != found.revision)
        seen_ = {found.data, found.revision, now_};
    if (now_ - seen_->since < options_.lease)
        return;
    take(asked, fencing_number{fencing.value() + 1}, store_condition::match(found.revision), true);
}

void order_holder::take(time_point asked, fencing_number next, const store_condition& condition,
                        bool wait_out)
{
    const auto on_written = [this, asked, next, wait_out](const result<std::uint64_t>& it)
    {
        // With the reply lost the lease may be ours in the store; it is not used, and runs out.
        if (!it)
            return;
        lease_until_ = asked + options_.lease;
        lease_revision_ = it.value();
        fencing_ = next;
        seen_.reset();
        if (wait_out)
            not_before_ = now_ + options_.longest_order;
    };
    hooks_.store.put(key(), print_lease(next, self_), condition, on_written);
}

void order_holder::act()
{
    if (std::exchange(acting_, true))
        return;
    hooks_.observe([this](const observed_versions& it) { order_next(it); });
}

bool order_holder::is_last_copy(const observed_versions& observed, const version_ref& version) const
{
    const bool used = std::any_of(desired_.begin(), desired_.end(),
                                  [&](const auto& it) { return it.second.contains(version); });
    const auto copies = std::count_if(observed.begin(), observed.end(),
                                      [&](const auto& it) { return it.second.contains(version); });
    return used && copies <= 1;
}

void order_holder::order_next(const observed_versions& observed)
{
    acting_ = false;
    // The answer may have come late: the lease counts now, not when it was asked for.
    if (!may_order(now_))
        return;
    const auto send = [this](endpoint_order order)
    {
        acting_ = true;
        order.fencing = fencing_;
        hooks_.send(order, [this](bool) { acting_ = false; });
    };
    for (const auto& [endpoint, wanted] : desired_)
    {
        const auto found = observed.find(endpoint);
        const auto held = found == observed.end() ? std::set<version_ref>{} : found->second;
        for (const auto& version : wanted)
            if (!held.contains(version))
                return loads_.try_take(now_) ? send({endpoint, version, true, {}}) : void();
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
