// Requests that no endpoint may be sent now: which of them wait for a send slot, and when the callers of the
// others are to retry.

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

/// Delays the slots of endpoints that together may be sent one request per `interval`.
void share_rate(std::vector<slot_series>& slots, duration interval)
{
    const auto n = static_cast<duration::rep>(slots.size());
    for (duration::rep i = 0; i < n && interval > duration{}; ++i)
    {
        auto& it = slots[static_cast<std::size_t>(i)];
        it = {it.first + i * interval, std::max(it.interval, n * interval)};
    }
}

} // namespace

bool request_forwarder::is_outranked(time_point now, const flow& it, const endpoint_entry& at) const
{
    if (!is_restricted(now, it, at))
        return false;
    for (const auto id : slot_queue_.before(it.service, queue_entry_of(it)))
    {
        const auto& other = flows_.at(id);
        if (!other.tried.contains(at.id) && is_allowed(other, at))
            return true;
    }
    return false;
}

std::vector<slot_series> request_forwarder::restricted_slots(time_point now, const flow& it,
                                                             sender whose) const
{
    auto need = need_of(now, it);
    need.may_use = [this, now, &it](const endpoint_entry& e)
    { return is_allowed(it, e) && is_restricted(now, it, e); };
    std::vector<slot_series> out;
    duration shared{};
    for (const auto* e : chooser_.fitting(now, endpoints_, need))
    {
        const auto first =
            whose == sender::self ? bounds_.next_send(now, e->id) : bounds_.next_send_of_any(now, e->id);
        out.push_back({first, bounds_.interval(now, e->id)});
        if (is_plain(it))
        {
            out.back() = with_load(now, *e, out.back());
            shared = plain_.interval(now, load::hash_of(e->id));
        }
    }
    share_rate(out, shared);
    return out;
}

bool request_forwarder::may_wait(time_point now, const flow& it) const
{
    const auto open = restricted_slots(now, it, sender::self);
    const auto at = slot_behind(slot_queue_.count_before(it.service, queue_entry_of(it)), open);
    const auto late_at = it.head_forwarded
                             ? it.held_since.value_or(it.last_progress) + it.matched_route->target_gap
                             : it.arrived + it.matched_route->target_latency;
    return at &&
           *at < std::min<time_point>(late_at - expected_run(now, it), it.deadline - options_.min_time_left);
}

void request_forwarder::wait_for_slot(time_point now, flow& it)
{
    hold(now, it);
    if (std::exchange(it.waits_for_slot, true))
        return;
    ++counters_.waited;
    slot_queue_.add(it.service, queue_entry_of(it));
}

void request_forwarder::recheck_first_waiting(time_point now, const service_id& service)
{
    const auto first = slot_queue_.first(service);
    if (!first)
        return;
    auto& it = flows_.at(*first);
    it.last_progress = now - options_.hold_interval;
    arm(it, now);
}

void request_forwarder::end_wait(flow& it)
{
    if (std::exchange(it.waits_for_slot, false))
        slot_queue_.remove(it.service, queue_entry_of(it));
}

milliseconds request_forwarder::slot_retry_after(time_point now, const flow& it)
{
    const auto open = restricted_slots(now, it, sender::any);
    const auto at = slot_behind(slot_queue_.count_before(it.service, queue_entry_of(it)), open);
    if (!at)
        return retry_after(now, it);
    double per_us = 0;
    for (const auto& e : open)
        per_us += 1.0 / static_cast<double>(std::max<duration::rep>(e.interval.count(), 1));
    const duration interval{static_cast<duration::rep>(1.0 / per_us)};
    const auto to = slot_queue_.assign_retry_time(now, it.service, *at, interval);
    return admission_.uncapped_retry_after(to - now, core::stable_hash(it.request.id.str()));
}

} // namespace runlink::routing
