// Requests whose endpoints this instance reaches only by way of another instance.

#include <algorithm>
#include <chrono>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{

paths::path_hooks request_forwarder::path_hooks()
{
    paths::path_hooks out;
    out.query = [this](const std::vector<core::instance_id>& to, const paths::reach_query& it)
    { hooks_.query_reach(to, it); };
    out.probe = [this](const endpoint_id& id)
    {
        const auto may_probe = [this](const endpoint_entry& e)
        { return paths_.is_lost(e.failure_domain) && !evacuations_.contains(e.failure_domain); };
        // The endpoints that failed may have gone meanwhile; others of a lost failure domain do as well.
        const auto* failed = endpoints_.find(id);
        const auto* it = failed == nullptr ? endpoints_.find_if(may_probe) : failed;
        if (it != nullptr && may_probe(*it))
            hooks_.probe_path(*it);
    };
    out.lost = [this](time_point now, const failure_domain_id& domain, const paths::path_evidence& it)
    { on_path_lost(now, domain, it); };
    out.regained = [this](time_point, const failure_domain_id& domain, duration lost_for)
    { on_path_regained(domain, lost_for); };
    out.carrier_gone = [this](time_point now, const core::instance_id& id) { on_carrier_gone(now, id); };
    out.refusal_judged = [this](time_point now, const endpoint_id& id, core::contact what)
    { on_unreachable(now, id, {}, what); };
    return out;
}

void request_forwarder::on_path_lost(time_point now, const failure_domain_id& domain,
                                     const paths::path_evidence& it)
{
    decision line;
    line.event = "paths_lost";
    line.failure_domain = domain.str();
    line.endpoints_failed = static_cast<std::int64_t>(it.failed);
    line.lost_ms = std::chrono::floor<milliseconds>(it.failing_for).count();
    line.via = it.reached_from.str();
    hooks_.log(line);
    // What was concluded from failed connections holds for this instance's paths, not for the endpoints.
    for (const auto* endpoint : endpoints_.of_domain(domain))
    {
        chooser_.forgive(endpoint->id);
        bounds_.warm_up().reached(endpoint->id);
        hooks_.forget_connections(*endpoint);
    }
    std::vector<attempt_id> silent;
    for (const auto& [id, e] : attempts_)
    {
        const auto last = std::max(flows_.at(e.flow).last_progress, e.started);
        if (e.may_have_run && is_path_lost(e) && flows_.at(e.flow).matched_route->is_idempotent() &&
            now - last >= liveness_.options().probe_after)
            silent.push_back(id);
    }
    for (const auto id : silent)
        replace(now, id, false);
}

void request_forwarder::on_path_regained(const failure_domain_id& domain, duration lost_for)
{
    decision line;
    line.event = "paths_regained";
    line.failure_domain = domain.str();
    line.lost_ms = std::chrono::floor<milliseconds>(lost_for).count();
    hooks_.log(line);
    // Idle connections over a carrier would delay its planned stop.
    for (const auto* endpoint : endpoints_.of_domain(domain))
        hooks_.forget_connections(*endpoint);
}

void request_forwarder::on_carrier_gone(time_point now, const core::instance_id& id)
{
    decision line;
    line.event = "carrier_gone";
    line.via = id.str();
    hooks_.log(line);
    hooks_.carrier_gone(id);
    std::vector<attempt_id> silent;
    for (const auto& [attempt, it] : attempts_)
    {
        const auto& of = flows_.at(it.flow);
        if (it.via == id && it.may_have_run && of.matched_route->is_idempotent() &&
            now - std::max(of.last_progress, it.started) >= liveness_.options().probe_after)
            silent.push_back(attempt);
    }
    for (const auto attempt : silent)
        replace(now, attempt, false);
}

bool request_forwarder::is_path_lost(const attempt& it) const
{
    return it.via.empty() && paths_.is_lost(domain_of(it.endpoint));
}

bool request_forwarder::may_be_path_loss(const attempt& it) const
{
    return !it.via.empty() || paths_.is_lost(domain_of(it.endpoint));
}

// Probes

void request_forwarder::ask(const endpoint_entry& it)
{
    if (!paths_.is_lost(it.failure_domain))
        return hooks_.ask(it);
    if (const auto via = paths_.carrier(it.failure_domain))
        hooks_.ask_via(it, *via);
}

void request_forwarder::on_probe_result(time_point now, const endpoint_id& id, core::contact what)
{
    on_path_probed(now, id, what);
    if (what == core::contact::answered)
    {
        attribution_.on_reached(now, crashes::hash_of_endpoint_id(id));
        attribution_.on_end_not_confirmed(now, crashes::hash_of_endpoint_id(id));
        return liveness_.heard(now, id);
    }
    if (what == core::contact::refused)
        paths_.judge_refusal(now, id);
    else
        on_unreachable(now, id, {}, what);
}

void request_forwarder::on_carried_probe_result(time_point now, const endpoint_id& id,
                                                const core::instance_id& via, core::contact what)
{
    paths_.on_carried(now, via, what != core::contact::silent);
    if (what != core::contact::answered)
        return on_unreachable(now, id, via, what);
    attribution_.on_reached(now, crashes::hash_of_endpoint_id(id));
    attribution_.on_end_not_confirmed(now, crashes::hash_of_endpoint_id(id));
    liveness_.heard(now, id);
}

void request_forwarder::on_path_probed(time_point now, const endpoint_id& id, core::contact what)
{
    const auto domain = domain_of(id);
    if (domain.empty())
        return;
    if (what == core::contact::answered)
        paths_.on_connected(now, domain);
    else
        paths_.on_failed(now, domain, id);
}

void request_forwarder::on_unreachable(time_point now, const endpoint_id& id, const core::instance_id& via,
                                       core::contact what)
{
    chooser_.connect_failed(now, id);
    mark_unreachable_cold(now, id);
    const bool has_ended = what == core::contact::refused;
    replace_silent_attempts(now, id, via, has_ended);
    if (has_ended)
        report_endpoint_ended(now, id, "refused");
    else
        attribution_.on_end_not_confirmed(now, crashes::hash_of_endpoint_id(id));
}

} // namespace runlink::routing
