#include "runlink/routing/rollout_control.hpp"

#include <algorithm>
#include <utility>

namespace runlink::routing
{
namespace
{

constexpr std::uint64_t whole_percent = 100;

bool is_same_state(const rollout_record& a, const rollout_record& b)
{
    return a.target == b.target && a.state == b.state && a.share_percent == b.share_percent;
}

} // namespace

std::string_view to_string(rollout_state it)
{
    switch (it)
    {
    case rollout_state::running: return "running";
    case rollout_state::succeeded: return "succeeded";
    case rollout_state::rolled_back: return "rolled_back";
    }
    return "unknown";
}

milliseconds rollout_control::write_delay() const
{
    const auto steps = static_cast<std::uint64_t>(options_.write_spread.count());
    const auto spread = milliseconds{static_cast<milliseconds::rep>(seed_ % steps)};
    return follows_store_ ? spread : options_.follower_delay + spread;
}

milliseconds rollout_control::verdict_delay() const
{
    return follows_store_ ? milliseconds{0} : write_delay();
}

rollout_control::rollout& rollout_control::at(const service_id& service)
{
    return rollouts_.try_emplace(service, options_.trial).first->second;
}

rollout_control::rollout* rollout_control::find_running(const service_id& service)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision.is_none() || !is_running(found->second))
        return nullptr;
    return &found->second;
}

bool rollout_control::on_order(time_point now, const rollout_order& order)
{
    auto& it = at(order.service);
    if (it.order.revision == order.revision)
        return false;
    const bool is_same =
        !it.order.revision.is_none() && it.order.target == order.target && it.order.allowed == order.allowed;
    // After a return of the store from a copy the order is read or written again, also one that is done.
    const bool is_of_later_era = order.revision.era > it.order.revision.era;
    if (is_same && (is_running(it) || is_of_later_era))
    {
        // Counts and verdict are kept. Otherwise each rewrite of the order would restart the evaluation, and
        // three rewrites could let a version pass that fails a fifth of its requests.
        it.order.revision = order.revision;
        return false;
    }
    const auto record = it.record;
    auto stable_version = std::move(it.stable_version);
    auto rejected = is_rejected(it) ? std::optional{it.record.target} : std::move(it.rejected);
    it = rollout{options_.trial};
    it.stable_version = std::move(stable_version);
    // Endpoints of the rejected version may still be listed, and without a known good version every version
    // but the target counts as old.
    if (rejected != order.target)
        it.rejected = std::move(rejected);
    it.order = order;
    it.ordered_at = now;
    it.step_began = now;
    it.next_write = now;
    it.record.service = order.service;
    it.record.target = order.target;
    it.record.revision = record.revision;
    // A record that is newer than the order belongs to it: this process has started since the order was
    // written.
    if (record.revision > order.revision && record.target == order.target)
        it.record = record;
    if (it.record.state == rollout_state::succeeded)
        it.stable_version = it.record.target;
    return true;
}

void rollout_control::on_order_removed(const service_id& service)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end())
        return;
    const auto& it = found->second;
    const auto record = it.record;
    auto rejected = is_rejected(it) ? std::optional{record.target} : it.rejected;
    found->second = rollout{options_.trial};
    // Endpoints of the rejected version remain for some seconds, or until the operator stops them.
    found->second.record = record;
    found->second.rejected = std::move(rejected);
}

void rollout_control::on_record(time_point now, const rollout_record& record)
{
    auto& it = at(record.service);
    if (record.revision <= it.record.revision)
        return;
    const bool is_of_later_era = record.revision.era > it.record.revision.era;
    if (is_of_later_era && is_ahead(it.record, record))
    {
        it.record.revision = record.revision;
        it.restore_at = now + write_delay();
        return;
    }
    it.restore_at.reset();
    if (is_of_later_era && is_same_state(it.record, record))
    {
        it.record.revision = record.revision;
        return;
    }
    // Both may be of the copy, where the order's revision is known later than the record's.
    const bool is_after_order =
        record.revision > it.order.revision || record.revision.era > it.order.revision.era;
    const bool belongs = !it.order.revision.is_none() && is_after_order && record.target == it.order.target;
    if (!belongs)
    {
        it.record.revision = record.revision;
        if (record.state == rollout_state::rolled_back && record.target != it.order.target)
            it.rejected = record.target;
        if (it.order.revision.is_none())
            it.record = record;
        return;
    }
    it.record = record;
    it.step_began = now;
    it.answers_before_step = it.trial.fresh().all;
    it.next_write = now;
    if (record.state == rollout_state::succeeded)
        it.stable_version = record.target;
}

void rollout_control::on_record_removed(time_point now, const service_id& service)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end())
        return;
    auto& it = found->second;
    // The next write is conditional on the record's absence. A verdict and a final state are kept.
    it.record.revision = {};
    if (!is_running(it))
        return;
    it.record.share_percent = 0;
    it.step_began = now;
    it.next_write = now;
}

void rollout_control::on_record_lost(time_point now, const service_id& service)
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision.is_none())
        return;
    auto& it = found->second;
    if (it.record.revision.is_none())
        return;
    it.record.revision = {};
    it.restore_at = now + write_delay();
}

bool rollout_control::is_ahead(const rollout_record& known, const rollout_record& stored)
{
    if (known.target != stored.target)
        return false;
    if (known.state != stored.state)
        return known.state != rollout_state::running;
    return known.share_percent > stored.share_percent;
}

void rollout_control::on_listed(time_point now, const std::set<service_id>& orders,
                                const std::set<service_id>& records)
{
    for (auto& [service, it] : rollouts_)
    {
        if (!it.order.revision.is_none() && !orders.contains(service))
            on_order_removed(service);
        if (!it.record.revision.is_none() && !records.contains(service))
            on_record_removed(now, service);
    }
}

void rollout_control::on_write_failed(time_point now, const service_id& service)
{
    const auto found = rollouts_.find(service);
    if (found != rollouts_.end())
        found->second.next_write = now + options_.write_spread + write_delay();
}

// Choice

bool rollout_control::announces_runs(const service_id& service, session_hash session) const
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end() || found->second.order.revision.is_none() || !is_running(found->second))
        return false;
    return schedule_.in_first_part(found->second.record.share_percent) &&
           session.value() % whole_percent < schedule_.options().first_share_percent;
}

rollout_control::choice rollout_control::choose(const service_id& service, session_hash session,
                                                const std::optional<version_id>& pinned) const
{
    choice out;
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end())
        return out;
    const auto& it = found->second;
    if (it.order.revision.is_none())
    {
        out.avoided = it.rejected;
        return out;
    }
    const auto& target = it.order.target;
    const auto old_version = [&]
    {
        out.excluded = target;
        out.only = it.stable_version; // entries of older versions may still be listed
        out.avoided = it.rejected;
        return out;
    };
    if (it.record.state == rollout_state::succeeded)
    {
        out.only = target; // even if this instance found it faulty, since the old endpoints have been stopped
        return out;
    }
    if (is_rejected(it))
        return old_version();
    const bool ran_on_target = pinned && *pinned == target;
    const bool ran_on_old = pinned && *pinned != target;
    if (it.record.share_percent == 0 || (!ran_on_target && !may_run_on_target(it, session, ran_on_old)))
        return old_version();
    out.only = target;
    return out;
}

bool rollout_control::may_run_on_target(const rollout& it, session_hash session, bool ran_on_old) const
{
    const auto share = it.record.share_percent;
    if (session.value() % whole_percent >= share || (ran_on_old && schedule_.in_first_part(share)))
        return false;
    return schedule_.may_expose(it.order.allowed, {it.sent_to_new, it.sent, instances_});
}

// Steps

std::optional<rollout_record> rollout_control::next_record(rollout& it, time_point now)
{
    auto out = it.record;
    if (!it.is_bad && now < next_change(it) + write_delay())
        return std::nullopt;
    if (!it.is_bad && must_hold(now, it))
    {
        it.next_write = now + options_.doubt_interval + verdict_delay();
        return std::nullopt;
    }
    if (it.is_bad)
    {
        if (!it.verdict_due)
            it.verdict_due = now + verdict_delay();
        if (now < *it.verdict_due)
            return std::nullopt;
        out.state = rollout_state::rolled_back;
        out.share_percent = 0;
        return out;
    }
    const auto share = schedule_.share_after(out.share_percent);
    if (share == out.share_percent)
        out.state = rollout_state::succeeded;
    out.share_percent = share;
    return out;
}

time_point rollout_control::next_change(const rollout& it) const
{
    if (it.is_bad)
        return it.verdict_due.value_or(it.ordered_at);
    return schedule_.next_step(
        {it.ordered_at, it.order.allowed, it.step_began, it.record.share_percent, it.requests_per_s});
}

std::vector<rollout_record> rollout_control::due(time_point now)
{
    std::vector<rollout_record> out;
    for (auto& [service, it] : rollouts_)
    {
        if (it.restore_at && now >= *it.restore_at)
        {
            it.restore_at = now + options_.rewrite_after + write_delay();
            out.push_back(it.record);
            continue;
        }
        if (it.order.revision.is_none() || !is_running(it) || it.restore_at || now < it.next_write)
            continue;
        auto next = next_record(it, now);
        if (!next)
            continue;
        it.next_write = now + options_.rewrite_after + write_delay();
        out.push_back(std::move(*next));
    }
    return out;
}

std::optional<time_point> rollout_control::next_due() const
{
    std::optional<time_point> out;
    for (const auto& [service, it] : rollouts_)
    {
        if (it.restore_at)
            out = out ? std::min(*out, *it.restore_at) : it.restore_at;
        if (it.order.revision.is_none() || !is_running(it) || it.restore_at)
            continue;
        const auto change = next_change(it);
        const auto at = std::max(it.next_write, it.is_bad ? change : change + write_delay());
        out = out ? std::min(*out, at) : at;
    }
    return out;
}

const rollout_record* rollout_control::find(const service_id& service) const
{
    const auto found = rollouts_.find(service);
    return found == rollouts_.end() || found->second.order.revision.is_none() ? nullptr
                                                                              : &found->second.record;
}

std::optional<rollout_status> rollout_control::status(const service_id& service) const
{
    const auto found = rollouts_.find(service);
    if (found == rollouts_.end())
        return std::nullopt;
    const auto& it = found->second;
    return rollout_status{it.order,         it.record,      it.is_bad,
                          it.trial.fresh(), it.trial.old(), it.trial.peer_count()};
}

bool rollout_control::is_running(const service_id& service) const
{
    const auto found = rollouts_.find(service);
    return found != rollouts_.end() && is_running(found->second);
}

} // namespace runlink::routing
