// What endpoints say of themselves in their answers, and what other instances have heard of them.

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "runlink/core/hash.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

std::string to_text(double it)
{
    char buf[32];
    const auto end = std::to_chars(buf, buf + sizeof buf, it).ptr;
    return {buf, end};
}

} // namespace

// Statements

void request_forwarder::on_statement(time_point now, const endpoint_id& id, time_point asked_at,
                                     const endpoint_statement& it)
{
    if (it.is_limit_readable)
        log_limit(id, named_limits_.answered(now, id, it.requests_per_s, asked_at), "answer", {});
    else
        log_statement("endpoint_limit", id, "unreadable");
    if (!it.is_leaving_readable)
        log_statement("endpoint_leaving", id, "unreadable");
    if (it.is_leaving)
        mark_leaving(now, id, {}, "answer");
    if (!it.is_rest_readable)
        log_statement("endpoint_rest", id, "unreadable");
    if (it.rest && rests_.asked(now, id, *it.rest))
        log_rest(id, *it.rest);
}

void request_forwarder::log_rest(const endpoint_id& id, duration rest)
{
    decision line;
    line.event = "endpoint_rest";
    line.source = "answer";
    line.endpoint = id.str();
    line.rest_ms = std::chrono::floor<milliseconds>(rest).count();
    hooks_.log(line);
}

void request_forwarder::log_statement(std::string_view event, const endpoint_id& id, std::string_view reason)
{
    decision line;
    line.event = event;
    line.reason = reason;
    line.source = "answer";
    line.endpoint = id.str();
    hooks_.log(line);
}

// Leaving

void request_forwarder::mark_leaving(time_point now, const endpoint_id& id, milliseconds age,
                                     std::string_view source)
{
    if (!endpoints_.mark_leaving(now - age, id))
        return;
    // An instance that is told by another does not tell on: all were told.
    if (source == "answer")
        leaving_news_.add(now, id);
    decision line;
    line.event = "endpoint_leaving";
    line.source = source;
    line.endpoint = id.str();
    line.statement_age_ms = age.count();
    hooks_.log(line);
}

void request_forwarder::on_leaving_told(time_point now, const leaving_notices& it)
{
    for (const auto& e : it.notices)
    {
        leaving_news_.drop(e.endpoint);
        mark_leaving(now, e.endpoint, e.age, "peer");
    }
}

leaving_notice request_forwarder::notice_of(time_point now, const endpoint_id& id) const
{
    return {id, std::chrono::ceil<milliseconds>(now - endpoints_.leaving_marks().at(id))};
}

leaving_notices request_forwarder::leaving_endpoints(time_point now) const
{
    leaving_notices out;
    for (const auto& [id, since] : endpoints_.leaving_marks())
        out.notices.push_back(notice_of(now, id));
    return out;
}

void request_forwarder::tell_leaving(time_point now)
{
    leaving_notices out;
    for (const auto& id : leaving_news_.take_due(now))
        if (endpoints_.leaving_marks().contains(id))
            out.notices.push_back(notice_of(now, id));
    if (!out.notices.empty())
        hooks_.tell_leaving(out);
}

// Limits

void request_forwarder::on_limits_told(time_point now, const places::limit_reports& it)
{
    for (const auto& e : it.reports)
    {
        const auto news = named_limits_.told(now, it.sender, e);
        log_limit(e.endpoint, news.change, "peer", news.age);
    }
}

void request_forwarder::log_limit(const endpoint_id& id, places::limit_change what, std::string_view source,
                                  milliseconds age)
{
    if (what == places::limit_change::none)
        return;
    decision line;
    line.event = "endpoint_limit";
    line.reason = to_string(what);
    line.source = source;
    line.endpoint = id.str();
    line.statement_age_ms = age.count();
    if (const auto limit = named_limits_.limit_of(id))
    {
        line.limit = to_text(*limit);
        line.is_sender = named_limits_.is_sender(id);
    }
    hooks_.log(line);
}

void request_forwarder::tell_limits(time_point now)
{
    const auto due = named_limits_.take_due(now);
    std::vector<places::limit_report> for_all;
    for (const auto& id : due.to_all)
        for_all.push_back(named_limits_.report(now, id));
    if (!for_all.empty())
        hooks_.tell_limits({}, for_all);
    for (const auto& id : due.to_senders)
        if (const auto to = named_limits_.other_senders(id); !to.empty())
            hooks_.tell_limits(to, {named_limits_.report(now, id)});
}

// Instances

void request_forwarder::put_instance(time_point now, const core::instance_id& id,
                                     const failure_domain_id& domain)
{
    if (warm_up_.instances().put(id, domain))
        named_limits_.restart_pace(now);
}

void request_forwarder::remove_instance(time_point now, const core::instance_id& id)
{
    if (warm_up_.instances().remove(id))
        named_limits_.restart_pace(now);
}

void request_forwarder::settle_instances(time_point now)
{
    warm_up_.settle();
    named_limits_.settle(now);
}

// Requests that wait for a place

bool request_forwarder::is_outranked(const flow& it, const endpoint_entry& at) const
{
    if (!is_restricted(at.id))
        return false;
    for (const auto id : place_queue_.before(it.service, place_of(it)))
    {
        const auto& other = flows_.at(id);
        if (!other.tried.contains(at.id) && is_allowed(other, at))
            return true;
    }
    return false;
}

std::vector<opening> request_forwarder::openings(time_point now, const flow& it, sender whose) const
{
    auto need = need_of(now, it);
    need.may_use = [this, &it](const endpoint_entry& e) { return is_allowed(it, e) && is_restricted(e.id); };
    std::vector<opening> out;
    for (const auto* e : chooser_.fitting(now, endpoints_, need))
    {
        const auto first = whose == sender::self ? next_send(now, e->id) : next_send_of_any(now, e->id);
        const auto recovery = rests_.is_recovering(e->id) ? rests_.interval() : duration{};
        out.push_back({first, std::max(named_limits_.interval(now, e->id), recovery)});
    }
    return out;
}

bool request_forwarder::may_wait(time_point now, const flow& it) const
{
    const auto open = openings(now, it, sender::self);
    const auto at = place_behind(place_queue_.count_before(it.service, place_of(it)), open);
    const auto late_at = it.head_forwarded ? it.held_since.value_or(it.last_progress) + it.via->target_gap
                                           : it.arrived + it.via->target_latency;
    return at && *at < std::min<time_point>(late_at, it.deadline - options_.least_time);
}

void request_forwarder::wait_for_place(time_point now, flow& it)
{
    hold(now, it);
    if (std::exchange(it.waits_for_place, true))
        return;
    ++counters_.waited;
    place_queue_.add(it.service, place_of(it));
}

void request_forwarder::end_wait(flow& it)
{
    if (std::exchange(it.waits_for_place, false))
        place_queue_.remove(it.service, place_of(it));
}

milliseconds request_forwarder::return_time(time_point now, const flow& it)
{
    const auto open = openings(now, it, sender::any);
    const auto at = place_behind(place_queue_.count_before(it.service, place_of(it)), open);
    if (!at)
        return retry_after(now, it);
    double per_us = 0;
    for (const auto& e : open)
        per_us += 1.0 / static_cast<double>(std::max<duration::rep>(e.interval.count(), 1));
    const duration interval{static_cast<duration::rep>(1.0 / per_us)};
    const auto to = place_queue_.assign_return(now, it.service, *at, interval);
    return admission_.return_after(to - now, core::stable_hash(it.request.id.str()));
}

} // namespace runlink::routing
