#include "runlink/app/operator_api.hpp"

#include <algorithm>

#include <QRandomGenerator>
#include <nlohmann/json.hpp>

#include "runlink/app/caller_request_reader.hpp"
#include "runlink/app/error_answer.hpp"

namespace runlink::app
{
namespace
{

using core::errc;
using core::failure;
using core::run_outcome;
using nlohmann::json;

const net::header_list json_type{{"Content-Type", "application/json"}};
constexpr int ok = 200;
constexpr int unavailable = 503;

std::string random_id()
{
    return QString::number(QRandomGenerator::system()->generate64(), 16).toStdString();
}

void send_failure(net::http_exchange& exchange, const failure& why)
{
    send_error(exchange, {why, run_outcome::not_run}, core::request_id{});
}

std::string_view text_of(const QByteArray& it)
{
    return {it.constData(), static_cast<std::size_t>(it.size())};
}

json members_json(const std::vector<core::member_status>& members)
{
    json out = json::array();
    for (const auto& it : members)
        out.push_back({{"instance", it.info.id.str()},
                       {"incarnation", it.info.incarnation.str()},
                       {"failure_domain", it.info.failure_domain.str()},
                       {"address", it.info.address},
                       {"ready", it.ready},
                       {"stopping", it.stopping},
                       {"revision", it.revision.value()}});
    return out;
}

json versions_json(const core::instance& instance)
{
    json out = json::array();
    const auto current = instance.keeper().current();
    if (!current)
        return out;
    const auto counts = instance.guard().counts();
    for (const auto& model : current->models)
        for (const auto& version : model.versions)
        {
            const core::version_ref ref{model.id, version.id};
            json it{{"version", ref.str()},
                    {"state", std::string{to_string(version.state)}},
                    {"share_percent", version.share_percent},
                    {"cost_per_1k_tokens", version.cost_per_1k_tokens.value()},
                    {"stopped_by_guard", instance.guard().is_stopped(ref)},
                    {"window", instance.guard().window(ref)}};
            for (const auto& e : counts)
                if (e.version == ref)
                    it.update(
                        {{"started", e.started}, {"good", e.good}, {"bad", e.bad}, {"failed", e.failed}});
            out.push_back(std::move(it));
        }
    return out;
}

} // namespace

operator_api::operator_api(const settings& options, core::instance& instance, const observe::metrics& metrics,
                           const net::peer_link& peers, core::store_port store, core::clock_source clock)
    : settings_{options}, instance_{instance}, metrics_{metrics}, peers_{peers}, store_{std::move(store)},
      clock_{std::move(clock)}
{
}

bool operator_api::is_operator(const net::http_request& it) const
{
    const auto hash = sha256_hex(bearer_key(it));
    const auto holds = [&](const std::vector<std::string>& all)
    { return std::find(all.begin(), all.end(), hash) != all.end(); };
    const auto current = instance_.keeper().current();
    return holds(settings_.operator_key_hashes) || (current && holds(current->operator_key_hashes));
}

void operator_api::handle(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.path == "/healthz")
        return exchange->send(ok, json_type, "{\"healthy\":true}\n");
    if (request.path == "/readyz")
        return show_readiness(*exchange);
    if (request.path == "/metrics")
        return show_metrics(*exchange);
    if (!is_operator(request))
        return send_failure(*exchange, {errc::unauthenticated, "Authorization"});
    route(exchange);
}

void operator_api::route(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const auto operation = request.method + " " + request.path;
    if (operation == "GET /v1/status")
        return show_status(*exchange);
    if (operation == "POST /v1/intents")
        return make_plan(*exchange);
    if (operation == "POST /v1/plans")
        return confirm_plan(exchange);
    if (operation == "GET /v1/configuration")
        return request.query_value("revision").empty() ? show_configuration(*exchange)
                                                       : show_revision(exchange);
    if (operation == "GET /v1/explain")
        return explain_routing(*exchange);
    send_failure(*exchange, {errc::malformed_request, "path: no such operation for this method"});
}

void operator_api::show_readiness(net::http_exchange& exchange) const
{
    const bool is_ready = instance_.is_ready(clock_());
    exchange.send(is_ready ? ok : unavailable, json_type, json{{"ready", is_ready}}.dump() + "\n");
}

std::vector<observe::plain_metric> operator_api::plain_metrics() const
{
    const auto& counters = instance_.router().counters();
    const auto number = [](auto it) { return static_cast<double>(it); };
    return {
        {"runlink_admitted_total", "Requests admitted.", true, number(counters.admitted)},
        {"runlink_answered_total", "Requests answered whole.", true, number(counters.answered)},
        {"runlink_replayed_total", "Answers given again for their key.", true, number(counters.replayed)},
        {"runlink_refused_not_run_total", "Requests refused that did not run.", true,
         number(counters.refused_not_run)},
        {"runlink_ended_unknown_total", "Requests of which it is not known whether they ran.", true,
         number(counters.ended_unknown)},
        {"runlink_callers_left_total", "Requests whose caller left first.", true,
         number(counters.callers_left)},
        {"runlink_attempts_total", "Attempts dispatched.", true, number(counters.attempts)},
        {"runlink_retries_total", "Attempts that were retries.", true, number(counters.retries)},
        {"runlink_endpoint_refusals_total", "Attempts that endpoints did not start.", true,
         number(counters.endpoint_refusals)},
        {"runlink_late_events_total", "Events of attempts that no longer count.", true,
         number(counters.late_events)},
        {"runlink_bills_copied_total", "Bills released on copies in other failure domains.", true,
         number(counters.bills_copied)},
        {"runlink_bills_at_risk_total", "Bills released on this instance alone.", true,
         number(counters.bills_at_risk)},
        {"runlink_ledger_writes_total", "Writes of the ledger to the store.", true,
         number(instance_.ledger_writes())},
        {"runlink_ledger_pending", "Ledger operations under way.", false,
         number(instance_.ledger().pending_count())},
        {"runlink_ledger_copies", "Copies held for peers.", false, number(instance_.ledger().copy_count())},
        {"runlink_requests_active", "Requests under way.", false, number(instance_.router().active_count())},
        {"runlink_requests_queued", "Requests that wait for room.", false,
         number(instance_.router().queued_count())},
        {"runlink_configuration_revision", "Revision in force.", false,
         number(instance_.keeper().revision().value())},
        {"runlink_live_instances", "Live instances, this one included.", false,
         number(instance_.members().live_count())},
        {"runlink_peer_sent_bytes_total", "Bytes sent to peers.", true, number(peers_.sent_bytes())},
        {"runlink_peer_received_bytes_total", "Bytes received from peers.", true,
         number(peers_.received_bytes())},
        {"runlink_peer_sent_messages_total", "Messages sent to peers.", true, number(peers_.sent_messages())},
        {"runlink_peer_dropped_messages_total", "Messages that no peer took.", true,
         number(peers_.dropped_messages())},
    };
}

void operator_api::show_metrics(net::http_exchange& exchange) const
{
    exchange.send(ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text(plain_metrics()));
}

void operator_api::show_status(net::http_exchange& exchange) const
{
    const auto now = clock_();
    json leaving = json::array();
    for (const auto& it : instance_.leaving().all())
        leaving.push_back(it.endpoint.str());
    const json body{{"deployment", settings_.deployment},
                    {"instance", settings_.id.str()},
                    {"ready", instance_.is_ready(now)},
                    {"stopping", instance_.is_stopping()},
                    {"store_reached", instance_.keeper().store_reached(now)},
                    {"revision", instance_.keeper().revision().value()},
                    {"members", members_json(instance_.member_states(now))},
                    {"versions", versions_json(instance_)},
                    {"leaving_endpoints", leaving},
                    {"active_requests", instance_.router().active_count()},
                    {"pending_ledger_operations", instance_.ledger().pending_count()}};
    exchange.send(ok, json_type, body.dump() + "\n");
}

void operator_api::make_plan(net::http_exchange& exchange) const
{
    const auto it = instance_.plan_intent(text_of(exchange.request().body), random_id());
    if (!it)
        return send_failure(exchange, it.error());
    exchange.send(ok, json_type, it.value() + "\n");
}

void operator_api::confirm_plan(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto on_confirmed = [exchange](const core::result<core::config_revision>& it)
    {
        if (!it)
            return send_failure(*exchange, it.error());
        exchange->send(ok, json_type, json{{"revision", it.value().value()}}.dump() + "\n");
    };
    instance_.confirm_plan(clock_(), text_of(exchange->request().body), on_confirmed);
}

void operator_api::show_configuration(net::http_exchange& exchange) const
{
    const auto current = instance_.keeper().current();
    if (!current)
        return send_failure(exchange, {errc::not_ready, "configuration", core::seconds{1}});
    exchange.send(ok, json_type, print_configuration(*current) + "\n");
}

void operator_api::show_revision(const std::shared_ptr<net::http_exchange>& exchange) const
{
    const auto text = exchange->request().query_value("revision");
    if (text.find_first_not_of("0123456789") != std::string::npos || text.size() > 18)
        return send_failure(*exchange, {errc::malformed_request, "revision: must be a whole number"});
    const auto on_read = [exchange](const core::result<core::store_value>& it)
    {
        if (!it)
            return send_failure(*exchange, it.error());
        exchange->send(ok, json_type, it.value().data + "\n");
    };
    const core::config_revision revision{std::stoull(text)};
    store_.get(core::configuration_keeper::history_key_of(settings_.deployment, revision), on_read);
}

void operator_api::explain_routing(net::http_exchange& exchange)
{
    const auto& http = exchange.request();
    core::caller_request request;
    request.id = core::request_id{"explain-" + random_id()};
    request.account = core::account_id{http.query_value("account")};
    const auto name = http.query_value("model");
    const auto slash = name.find('/');
    request.model = core::model_id{name.substr(0, slash)};
    if (slash != std::string::npos)
        request.version = core::version_id{name.substr(slash + 1)};
    const auto version = instance_.explain(clock_(), request);
    if (!version)
        return send_failure(exchange, version.error());
    core::endpoint_demand demand;
    demand.version = version.value();
    const auto* endpoint = instance_.selector().pick(clock_(), demand);
    const json body{{"version", version.value().str()},
                    {"endpoint", endpoint == nullptr ? json{} : json(endpoint->id.str())},
                    {"capacity", instance_.selector().capacity(clock_(), demand)}};
    exchange.send(ok, json_type, body.dump() + "\n");
}

} // namespace runlink::app
