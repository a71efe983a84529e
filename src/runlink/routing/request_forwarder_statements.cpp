// What endpoints state about themselves in their answers, and what other instances report about that.

#include <charconv>
#include <chrono>

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
        log_limit(id, bounds_.limits().on_answer(now, id, it.requests_per_s, asked_at), "answer", {});
    else
        log_statement("endpoint_limit", id, "unreadable");
    if (!it.is_leaving_readable)
        log_statement("endpoint_leaving", id, "unreadable");
    if (it.is_leaving)
        mark_leaving(now, id, {}, "answer");
    if (!it.is_rest_readable)
        log_statement("endpoint_rest", id, "unreadable");
    if (!it.is_brittle_readable)
        log_statement("endpoint_brittle", id, "unreadable");
    else
        note_brittle(now, id, it.refusals_per_s, asked_at);
    note_stated_load(now, id, it);
    if (it.rest && bounds_.rests().on_rest_requested(now, id, *it.rest))
        log_rest(id, *it.rest);
}

void request_forwarder::note_brittle(time_point now, const endpoint_id& id,
                                     std::optional<double> refusals_per_s, time_point asked_at)
{
    const auto* endpoint = endpoints_.find(id);
    if (endpoint == nullptr || !bounds_.brittle().on_answer(now, endpoint->service, refusals_per_s, asked_at))
        return;
    decision line;
    line.event = refusals_per_s ? "service_brittle" : "service_no_longer_brittle";
    line.source = "answer";
    line.endpoint = id.str();
    line.reason = endpoint->service.str();
    if (refusals_per_s)
        line.limit = to_text(*refusals_per_s);
    hooks_.log(line);
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
    // News from another instance is not passed on: that instance announced it to all instances.
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

void request_forwarder::announce_leaving(time_point now)
{
    leaving_notices out;
    for (const auto& id : leaving_news_.take_due(now))
        if (endpoints_.leaving_marks().contains(id))
            out.notices.push_back(notice_of(now, id));
    if (!out.notices.empty())
        hooks_.announce_leaving(out);
}

// Limits

void request_forwarder::on_limits_told(time_point now, const places::limit_reports& it)
{
    for (const auto& e : it.reports)
    {
        const auto news = bounds_.limits().on_report(now, it.sender, e);
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
    if (const auto limit = bounds_.limits().limit_of(id))
    {
        line.limit = to_text(*limit);
        line.is_sender = bounds_.limits().is_sender(id);
    }
    hooks_.log(line);
}

void request_forwarder::announce_limits(time_point now)
{
    const auto due = bounds_.limits().take_due(now);
    std::vector<places::limit_report> for_all;
    for (const auto& id : due.to_all)
        for_all.push_back(bounds_.limits().report(now, id));
    if (!for_all.empty())
        hooks_.announce_limits({}, for_all);
    for (const auto& id : due.to_senders)
        if (const auto to = bounds_.limits().other_senders(id); !to.empty())
            hooks_.announce_limits(to, {bounds_.limits().report(now, id)});
}

} // namespace runlink::routing
