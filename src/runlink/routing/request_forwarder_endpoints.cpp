// Which endpoints may be used, as their list, the evacuations of failure domains and their warm-up change.

#include <algorithm>
#include <chrono>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{

endpoint_directory::change request_forwarder::on_endpoint(time_point now, const endpoint_entry& it)
{
    const auto change = endpoints_.put(it);
    if (change == endpoint_directory::change::outdated)
        return change;
    put_plain(it);
    if (bounds_.warm_up().told(now, it.id, it.service, it.cold_for))
        log_cold(now, it, places::cold_reason::told);
    if (change == endpoint_directory::change::restarted)
        replace_earlier_life(now, it);
    return change;
}

void request_forwarder::on_endpoints(time_point now, const std::vector<endpoint_entry>& all,
                                     const std::vector<endpoint_name>& unreadable)
{
    for (const auto& it : all)
        on_endpoint(now, it);
    // Removed at once: around an outage of the store the directory keeps using unlisted endpoints for a
    // while.
    for (const auto& name : unreadable)
        endpoints_.drop(name);
    endpoints_.replace(now, all);
}

void request_forwarder::replace_earlier_life(time_point now, const endpoint_entry& it)
{
    hooks_.forget_connections(it);
    std::vector<attempt_id> old;
    std::set<endpoint_id> ended;
    for (const auto& [id, e] : attempts_)
        if (e.name == it.name && e.endpoint != it.id && e.may_have_run &&
            flows_.at(e.flow).matched_route->is_idempotent())
        {
            old.push_back(id);
            ended.insert(e.endpoint);
        }
    for (const auto id : old)
        replace(now, id, true);
    for (const auto& id : ended)
        report_endpoint_ended(now, id, "later_life");
}

// Evacuations

void request_forwarder::on_evacuated(const failure_domain_id& domain)
{
    if (!evacuations_.begin(domain))
        return;
    decision line;
    line.event = "domain_evacuated";
    line.failure_domain = domain.str();
    hooks_.log(line);
}

void request_forwarder::on_readmitted(time_point now, const failure_domain_id& domain)
{
    if (!evacuations_.end(domain))
        return;
    readmit(now, domain);
}

void request_forwarder::on_evacuations(time_point now, const std::set<failure_domain_id>& all)
{
    for (const auto& it : all)
        on_evacuated(it);
    for (const auto& it : evacuations_.replace(all))
        readmit(now, it);
}

void request_forwarder::readmit(time_point now, const failure_domain_id& domain)
{
    decision line;
    line.event = "domain_readmitted";
    line.failure_domain = domain.str();
    hooks_.log(line);
    // Its endpoints may have become cold shortly before, and their entries say so only later.
    for (const auto* it : endpoints_.of_domain(domain))
        mark_suspected_cold(now, *it, places::cold_reason::readmitted);
}

// Cold endpoints

void request_forwarder::mark_suspected_cold(time_point now, const endpoint_entry& it, places::cold_reason why)
{
    if (bounds_.warm_up().suspect(now, it.id, it.service, why))
        log_cold(now, it, why);
}

void request_forwarder::mark_unreachable_cold(time_point now, const endpoint_id& id)
{
    const auto* it = endpoints_.find(id);
    if (it != nullptr && !paths_.is_lost(it->failure_domain))
        mark_suspected_cold(now, *it, places::cold_reason::unreachable);
}

void request_forwarder::log_cold(time_point now, const endpoint_entry& it, places::cold_reason why)
{
    decision line;
    line.event = "endpoint_cold";
    line.reason = to_string(why);
    line.endpoint = it.id.str();
    line.failure_domain = it.failure_domain.str();
    line.cold_ms = std::chrono::ceil<milliseconds>(bounds_.warm_up().cold_until(it.id) - now).count();
    line.is_sender = bounds_.warm_up().is_sender(it.id);
    hooks_.log(line);
}

failure_domain_id request_forwarder::domain_of(const endpoint_id& id) const
{
    const auto* it = endpoints_.find(id);
    return it == nullptr ? failure_domain_id{} : it->failure_domain;
}

bool request_forwarder::is_allowed(const flow& it, const endpoint_entry& to) const
{
    const auto& domain = to.failure_domain;
    return !evacuations_.contains(domain) && options_.regions.allows(domain, it.matched_route->regions) &&
           (it.owner == nullptr || options_.regions.allows(domain, it.owner->regions));
}

bool request_forwarder::may_use(time_point now, const flow& it, const endpoint_entry& to) const
{
    // Only a request that has waited goes beyond this instance's part of a brittle endpoint.
    const bool may_try = it.held_since.has_value();
    return is_allowed(it, to) && (may_try || bounds_.brittle().has_free_part(to.id)) &&
           bounds_.may_send(now, to.id) && has_plain_room(now, it, to) && !is_outranked(now, it, to);
}

duration request_forwarder::time_to_slot(time_point now, const flow& it) const
{
    auto first = time_point::max();
    for (const auto* e : endpoints_.usable(now, it.service))
        if (is_allowed(it, *e))
            first = std::min(first, bounds_.next_send(now, e->id));
    return first == time_point::max() ? duration{} : first - now;
}

} // namespace runlink::routing
