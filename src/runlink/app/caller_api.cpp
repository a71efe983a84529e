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

caller_api::caller_api(observe::metrics& measured, core::clock_source clock, std::string incarnation)
    : metrics_{measured}, clock_{std::move(clock)}, incarnation_{std::move(incarnation)}
{
}

core::router_hooks caller_api::router_hooks(std::function<core::wall_time()> wall_clock)
{
    core::router_hooks it;
    it.dispatch = [this](const core::attempt_start& e) { dispatch(e); };
    it.cancel = [this](core::attempt_id e) { runner_->cancel(e); };
    it.begin = [this](const core::request_id& id, const core::answer_head& head) { begin(id, head); };
    it.forward = [this](const core::request_id& id, const std::string& bytes) { forward(id, bytes); };
    it.end = [this](const core::request_id& id, const std::string& tail) { end(id, tail); };
    it.refuse = [this](const core::request_id& id, const core::refusal& e) { refuse(id, e); };
    it.answered =
        [this](const core::request_id& id, const core::version_ref& version, const std::string& answer)
    {
        if (on_answer)
            on_answer(id, version, answer);
    };
    it.wall_clock = std::move(wall_clock);
    return it;
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

core::request_id caller_api::next_id()
{
    return core::request_id{incarnation_ + "-" + std::to_string(++next_)};
}

void caller_api::handle(const std::shared_ptr<net::http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const auto configuration = instance_->keeper().current();
    if (!configuration)
        return send_error(*exchange,
                          {{errc::not_ready, "configuration", core::seconds{1}}, run_outcome::not_run},
                          next_id());
    const auto* account = configuration->find_account_by_key_hash(sha256_hex(bearer_key(request)));
    if (account == nullptr)
        return send_error(*exchange, {{errc::unauthenticated, "Authorization"}, run_outcome::not_run},
                          next_id());
    if (request.path == models_path)
        return list_models(*exchange, *account);
    if (request.method != "POST")
        return send_error(*exchange, {{errc::malformed_request, "method: POST"}, run_outcome::not_run},
                          next_id());
    admit(exchange, *account);
}

void caller_api::admit(const std::shared_ptr<net::http_exchange>& exchange,
                       const core::account_settings& account)
{
    const auto& http = exchange->request();
    const auto id = next_id();
    const bool completion = http.path == completions_path;
    auto read = completion ? read_completion(http, account, id) : read_service_call(http, account, id);
    if (!read)
        return send_error(*exchange, {read.error(), run_outcome::not_run}, id);
    open_request it;
    it.exchange = exchange;
    it.request = std::move(read.value().request);
    it.body = std::move(read.value().body);
    it.content_type = std::move(read.value().content_type);
    it.path =
        completion
            ? completions_path
            : http.path.substr(std::string_view{services_prefix}.size() + it.request.service->str().size());
    if (it.path.empty())
        it.path = "/";
    it.arrived = clock_();
    const auto request = it.request;
    open_.emplace(id, std::move(it));
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
        bool any = false;
        for (const auto& version : model.versions)
        {
            const core::version_ref ref{model.id, version.id};
            if (!account.allows(ref) || version.state == core::version_state::withdrawn)
                continue;
            any = true;
            data.push_back(
                {{"id", ref.str()}, {"object", "model"}, {"state", std::string{to_string(version.state)}}});
        }
        if (any)
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
    body.body = open.request.service ? open.body : body_for_engine(open.body, it.version);
    body.stream = open.request.stream;
    const auto* pool = instance_->keeper().current()->pool_of(it.endpoint.id);
    runner_->start(it, pool == nullptr ? std::vector<int>{} : pool->not_started_statuses, std::move(body));
}

net::header_list caller_api::headers_of(const open_request& it) const
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
    const bool streams = it.request.stream && head.status < 400 && !head.replayed;
    if (streams)
        it.exchange->begin(head.status, headers_of(it));
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
        metrics_.first_byte(it.request.account, it.request.cls, clock_() - it.arrived);
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
        it.exchange->send(it.head.status, headers_of(it), tail);
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
    metrics_.ended(it.request.account, it.request.cls, clock_() - it.arrived, outcome);
}

} // namespace runlink::app
