// Requests to plain services (without an engine) whose load is tracked: which endpoint has room, and what is
// announced to other instances.

#include <algorithm>
#include <numeric>
#include <utility>

#include "runlink/core/hash.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{

bool request_forwarder::is_plain(const flow& it) const
{
    if (!load_active_.plain_load)
        return false;
    const auto* service = table_->find_service(it.service);
    return service != nullptr && !service->runs_models;
}

duration request_forwarder::time_to_target(time_point now, const flow& it) const
{
    return it.arrived + it.matched_route->target_latency - now;
}

bool request_forwarder::has_plain_room(time_point now, const flow& it, const endpoint_entry& at) const
{
    return !is_plain(it) || plain_.has_room(now, load::hash_of(at.id), time_to_target(now, it));
}

bool request_forwarder::is_restricted(time_point now, const flow& it, const endpoint_entry& at) const
{
    return bounds_.is_restricted(at.id) || (is_plain(it) && plain_.is_restricted(now, load::hash_of(at.id)));
}

slot_series request_forwarder::with_load(time_point now, const endpoint_entry& at, slot_series it) const
{
    const auto id = load::hash_of(at.id);
    return {std::max(it.first, plain_.next_room(now, id)),
            std::max(it.interval, plain_.turn_interval(now, id))};
}

duration request_forwarder::expected_run(time_point now, const flow& it) const
{
    if (!is_plain(it))
        return {};
    std::optional<duration> out;
    for (const auto* e : endpoints_.usable(now, it.service))
        if (const auto time = plain_.answer_time(now, load::hash_of(e->id)); time > duration{})
            out = std::min(out.value_or(time), time);
    return out.value_or(duration{});
}

// Choice

const endpoint_entry* request_forwarder::choose_endpoint(time_point now, const flow& it,
                                                         const endpoint_need& need) const
{
    if (!is_plain(it) || !plain_.is_pressed(now, it.service))
        return chooser_.peek(now, endpoints_, need);
    auto all = chooser_.fitting(now, endpoints_, need);
    const auto end = std::stable_partition(
        all.begin(), all.end(), [&](const auto* e) { return !chooser_.is_backing_off(now, e->id); });
    if (end != all.begin())
        all.erase(end, all.end());
    return lowest_end(now, it, std::move(all));
}

const endpoint_entry* request_forwarder::lowest_end(time_point now, const flow& it,
                                                    endpoint_chooser::candidates from) const
{
    if (from.empty())
        return nullptr;
    const auto cost = [&](const endpoint_entry* e)
    { return plain_.expected_end(now, load::hash_of(e->id), chooser_.extra_requests(*e)); };
    if (std::all_of(from.begin(), from.end(),
                    [&](const auto* e) { return plain_.is_stated(now, load::hash_of(e->id)); }))
        return *std::min_element(from.begin(), from.end(),
                                 [&](const auto* a, const auto* b) { return cost(a) < cost(b); });
    // Otherwise the counts of others are older than their requests last. If all instances took the best
    // endpoint by them, it would be full until the next update; so each draws one, in proportion to speed.
    std::vector<double> weights;
    for (const auto* e : from)
        weights.push_back(1 / static_cast<double>(std::max<duration::rep>(
                                  plain_.answer_time(now, load::hash_of(e->id)).count(), 1)));
    constexpr std::uint64_t fractions = 1 << 20;
    const auto drawn = core::stable_hash(it.request.id.str(), it.sends) % fractions;
    auto rest = std::accumulate(weights.begin(), weights.end(), 0.0) * static_cast<double>(drawn) / fractions;
    std::size_t n = 0;
    while (n + 1 < from.size() && rest >= weights[n])
        rest -= weights[n++];
    return from[n];
}

void request_forwarder::put_plain(const endpoint_entry& it)
{
    if (!load_active_.plain_load)
        return;
    const auto* service = table_->find_service(it.service);
    if (service != nullptr && !service->runs_models)
        plain_.put(load::hash_of(it.id), it.service, it.slots);
}

// Events

void request_forwarder::note_plain_arrival(time_point now, const flow& it, const endpoint_entry* to)
{
    if (!is_plain(it))
        return;
    plain_.set_instances(bounds_.warm_up().instances().size());
    plain_.expire(now);
    if (to == nullptr)
    {
        auto need = need_of(now, it);
        need.may_use = [this, &it](const endpoint_entry& e) { return is_allowed(it, e); };
        to = lowest_end(now, it, chooser_.fitting(now, endpoints_, need));
    }
    if (to != nullptr)
        plain_.arrived(now, load::hash_of(to->id));
}

void request_forwarder::note_plain_send(time_point now, const flow& it, const endpoint_entry& to)
{
    plain_.sent(now, load::hash_of(to.id));
    recheck_first_waiting(now, it.service); // there may be room for more than one request
}

void request_forwarder::note_plain_end(time_point now, const flow& it, const attempt& of)
{
    if (!of.is_plain)
        return;
    plain_.ended(load::hash_of(of.endpoint));
    recheck_first_waiting(now, it.service);
}

void request_forwarder::note_plain_answer(time_point now, const attempt& from, bool is_refused)
{
    const auto id = load::hash_of(from.endpoint);
    if (is_refused)
        plain_.refused(now, id);
    else
        plain_.answered(now, id, now - from.started);
}

void request_forwarder::on_peer_counts(time_point now, const core::instance_id& from,
                                       const std::vector<load::request_counts>& all)
{
    if (!load_active_.plain_load)
        return;
    plain_.on_counts(now, from, all);
    for (const auto& it : table_->services())
        if (!it.runs_models)
            recheck_first_waiting(now, it.id);
}

void request_forwarder::note_stated_load(time_point now, const endpoint_id& id, const endpoint_statement& it)
{
    if (!load_active_.plain_load)
        return;
    if (it.load)
        plain_.on_statement(now, load::hash_of(id), *it.load);
    if (!it.is_load_readable && unreadable_loads_.insert(id).second)
        log_statement("endpoint_load", id, "unreadable");
}

// Waiting

time_point request_forwarder::plain_slot_at(const flow& it) const
{
    auto out = time_point::max();
    if (!it.waits_for_slot || !is_plain(it))
        return out;
    const auto checked_at = it.last_progress;
    for (const auto* e : endpoints_.usable(checked_at, it.service))
        if (const auto at = plain_.next_room(checked_at, load::hash_of(e->id)); at > checked_at)
            out = std::min(out, at);
    return out;
}

bool request_forwarder::lacks_room(time_point now, const flow& it) const
{
    return it.denied == succession_denial::no_endpoint && is_plain(it) && plain_.is_pressed(now, it.service);
}

load::plain_load::waiting_check request_forwarder::waits_at_all() const
{
    return [this](const service_id& it) { return slot_queue_.first(it).has_value(); };
}

void request_forwarder::announce_counts(time_point now)
{
    if (!load_active_.plain_load)
        return;
    counts_checked_at_ = now;
    plain_.expire(now);
    const auto due = plain_.take_due(now, waits_at_all());
    if (due.empty())
        return;
    ++counters_.counts_told;
    hooks_.announce_counts(due);
}

} // namespace runlink::routing
