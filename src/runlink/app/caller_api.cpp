#include "runlink/app/caller_api.hpp"

#include <nlohmann/json.hpp>

#include "runlink/app/error_answer.hpp"

namespace runlink::app
{
namespace
{

using core::errc;
using core::run_outcome;
using nlohmann::json;

constexpr const char* completions_path = "/v1/chat/completions";
constexpr const char* models_path = "/v1/models";
constexpr const char* services_prefix = "/v1/services/";

} // namespace

caller_api::caller_api(observe::metrics& metrics, core::clock_source clock, std::string incarnation)
    : metrics_{metrics}, clock_{std::move(clock)}, incarnation_{std::move(incarnation)}
{
}

core::router_hooks caller_api::router_hooks(std::function<core::wall_time()> wall_clock)
{
    core::router_hooks hooks;
    hooks.dispatch = [this](const core::attempt_start& e) { dispatch(e); };
    hooks.cancel = [this](core::attempt_id e) { runner_->cancel(e); };
    hooks.begin = [this](const core::request_id& id, const core::answer_head& head) { begin(id, head); };
    hooks.forward = [this](const core::request_id& id, const std::string& bytes) { forward(id, bytes); };
    hooks.end = [this](const core::request_id& id, const std::string& tail) { end(id, tail); };
    hooks.refuse = [this](const core::request_id& id, const core::refusal& e) { refuse(id, e); };
    hooks.answered =
        [this](const core::request_id& id, const core::version_ref& version, const std::string& answer)
    {
        if (on_answer)
            on_answer(id, version, answer);
    };
    hooks.wall_clock = std::move(wall_clock);
    return hooks;
}

void caller_api::attach(core::instance& instance, attempt_runner& runner)
{
    instance_ = &instance;
    runner_ = &runner;
}

bool caller_api::serves(const std::string& path)
{
    return path == completions_path || path == models_path || path.starts_with(services_prefix);
}

core::request_id caller_api::next_request_id()
{
    return core::request_id{incarnation_ + "-" + std::to_string(++last_request_number_)};
}

void caller_api::handle(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const auto configuration = instance_->keeper().current();
    if (!configuration)
        return send_error(*exchange,
                          {{errc::not_ready, "configuration", core::seconds{1}}, run_outcome::not_run},
                          next_request_id());
    const auto* account = configuration->find_account_by_key_hash(sha256_hex(bearer_key(request)));
    if (account == nullptr)
        return send_error(*exchange, {{errc::unauthenticated, "Authorization"}, run_outcome::not_run},
                          next_request_id());
    if (request.path == models_path)
        return list_models(*exchange, *account);
    if (request.method != "POST")
        return send_error(*exchange, {{errc::malformed_request, "method: POST"}, run_outcome::not_run},
                          next_request_id());
    admit(exchange, *account);
}

void caller_api::admit(const std::shared_ptr<net::http_exchange>& exchange,
                       const core::account_settings& account)
{
    const auto& http = exchange->request();
    const auto id = next_request_id();
    const bool is_completion = http.path == completions_path;
    auto parsed = is_completion ? read_completion(http, account, id) : read_service_call(http, account, id);
    if (!parsed)
        return send_error(*exchange, {parsed.error(), run_outcome::not_run}, id);
    open_request open;
    open.exchange = exchange;
    open.request = std::move(parsed.value().request);
    open.body = std::move(parsed.value().body);
    open.content_type = std::move(parsed.value().content_type);
    open.path =
        is_completion
            ? completions_path
            : http.path.substr(std::string_view{services_prefix}.size() + open.request.service->str().size());
    if (open.path.empty())
        open.path = "/";
    open.arrived_at = clock_();
    const auto request = open.request;
    open_.emplace(id, std::move(open));
    exchange->on_left(
        [this, id]
        {
            if (open_.erase(id) > 0)
                instance_->router().on_caller_left(clock_(), id);
        });
    instance_->on_request(clock_(), request);
}

void caller_api::list_models(net::http_exchange& exchange, const core::account_settings& account) const
{
    json data = json::array();
    const auto configuration = instance_->keeper().current();
    for (const auto& model : configuration->models)
    {
        bool has_allowed_version = false;
        for (const auto& version : model.versions)
        {
            const core::version_ref ref{model.id, version.id};
            if (!account.allows(ref) || version.state == core::version_state::withdrawn)
                continue;
            has_allowed_version = true;
            data.push_back(
                {{"id", ref.str()}, {"object", "model"}, {"state", std::string{to_string(version.state)}}});
        }
        if (has_allowed_version)
            data.push_back({{"id", model.id.str()}, {"object", "model"}});
    }
    const json body{{"object", "list"}, {"data", data}};
    exchange.send(200, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

void caller_api::dispatch(const core::attempt_start& it)
{
    const auto found = open_.find(it.request);
    if (found == open_.end())
        return runner_->cancel(it.attempt);
    const auto& open = found->second;
    attempt_body body;
    body.path = open.path;
    body.content_type = open.content_type.empty() ? "application/octet-stream" : open.content_type;
    body.body = open.request.service ? open.body : body_for_endpoint(open.body, it.version);
    body.stream = open.request.stream;
    const auto* pool = instance_->keeper().current()->pool_of(it.endpoint.id);
    runner_->start(it, pool == nullptr ? std::vector<int>{} : pool->not_started_statuses, std::move(body));
}

net::header_list caller_api::answer_headers(const open_request& it) const
{
    net::header_list out{{"Content-Type", it.head.content_type},
                         {"Runlink-Request-Id", it.request.id.str()},
                         {"Runlink-Outcome", std::string{to_string(it.head.outcome)}}};
    if (!it.head.version.model.empty())
    {
        out.emplace_back("Runlink-Model", it.head.version.model.str());
        out.emplace_back("Runlink-Version", it.head.version.version.str());
    }
    if (!it.head.session_token.empty())
        out.emplace_back("Runlink-Session", it.head.session_token);
    if (it.head.replayed)
        out.emplace_back("Runlink-Replayed", "true");
    return out;
}

void caller_api::begin(const core::request_id& id, const core::answer_head& head)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    auto& it = found->second;
    it.head = head;
    const bool is_streamed = it.request.stream && head.status < 400 && !head.replayed;
    if (is_streamed)
        it.exchange->begin(head.status, answer_headers(it));
}

void caller_api::forward(const core::request_id& id, const std::string& bytes)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    auto& it = found->second;
    if (!it.exchange->has_begun())
        return;
    if (!std::exchange(it.first_byte_sent, true))
        metrics_.first_byte(it.request.account, it.request.cls, clock_() - it.arrived_at);
    it.exchange->chunk(bytes);
}

void caller_api::end(const core::request_id& id, const std::string& tail)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    auto& it = found->second;
    if (it.exchange->has_begun())
    {
        it.exchange->chunk(tail);
        it.exchange->end();
    }
    else
    {
        it.exchange->send(it.head.status, answer_headers(it), tail);
    }
    close(id, it.head.outcome);
}

void caller_api::refuse(const core::request_id& id, const core::refusal& refusal)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    auto& it = found->second;
    if (it.exchange->has_begun())
    {
        it.exchange->chunk("event: error\ndata: " + error_body(refusal, id) + "\n");
        it.exchange->abort();
    }
    else
    {
        send_error(*it.exchange, refusal, id);
    }
    close(id, refusal.outcome);
}

void caller_api::close(const core::request_id& id, run_outcome outcome)
{
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    const auto it = std::move(found->second);
    open_.erase(found);
    metrics_.ended(it.request.account, it.request.cls, clock_() - it.arrived_at, outcome);
}

} // namespace runlink::app
