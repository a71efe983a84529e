#include "endpoint_standin.hpp"

#include <algorithm>

#include <QTimer>

namespace runlink::standins
{
namespace
{

using nlohmann::json;

const net::header_list json_type{{"Content-Type", "application/json"}};
constexpr std::size_t max_cached_prefixes = 256;
constexpr int max_counted_body_bytes = 200;

std::string to_std_string(const QByteArray& it)
{
    return it.toStdString();
}

} // namespace

endpoint_standin::endpoint_standin(std::uint64_t incarnation)
    : incarnation_{incarnation}, server_{net::http_bounds{}, [this](const exchange_ptr& it) { handle(it); }}
{
}

core::result<std::uint16_t> endpoint_standin::listen(const std::string& host, std::uint16_t port)
{
    return server_.listen(host, port);
}

net::header_list endpoint_standin::headers(const char* type) const
{
    net::header_list out{{"Content-Type", type}, {"X-Endpoint-Incarnation", std::to_string(incarnation_)}};
    if (switches_.leaving)
        out.emplace_back("X-Endpoint-Leaving", "true");
    return out;
}

void endpoint_standin::handle(const exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    if (request.path == "/control")
        return request.method == "POST" ? control(exchange) : show_control(exchange);
    if (request.path == "/v1/orders")
        return order(exchange);
    if (try_refuse(exchange))
        return;
    if (request.path == "/v1/chat/completions")
        return complete(exchange);
    serve(exchange);
}

bool endpoint_standin::try_refuse(const exchange_ptr& exchange)
{
    const bool full = running_ >= switches_.slots && static_cast<int>(waiting_.size()) >= switches_.queue;
    if (!switches_.refuse && !full)
        return false;
    exchange->send(full ? 429 : 503, headers("application/json"), "{\"error\":\"not started\"}");
    return true;
}

void endpoint_standin::count_run(const exchange_ptr& exchange, const std::string& version)
{
    ++runs_;
    ++runs_by_request_[exchange->request().header("X-Request-Id")];
    ++runs_by_body_[to_std_string(exchange->request().body).substr(0, max_counted_body_bytes)];
    ++runs_by_version_[version];
}

void endpoint_standin::complete(const exchange_ptr& exchange)
{
    const auto body = json::parse(to_std_string(exchange->request().body), nullptr, false);
    if (!body.is_object())
        return exchange->send(400, headers("application/json"), "{\"error\":\"malformed\"}");
    auto it = std::make_shared<job>();
    it->exchange = exchange;
    it->version = body.value("model", "");
    it->prefix = body.value("messages", json::array()).dump().substr(0, max_counted_body_bytes);
    it->stream = body.value("stream", false);
    it->tokens = body.value("max_tokens", switches_.tokens);
    it->prompt_tokens = static_cast<int>(exchange->request().body.size() / 4);
    admit(it);
}

void endpoint_standin::serve(const exchange_ptr& exchange)
{
    auto it = std::make_shared<job>();
    it->exchange = exchange;
    it->version = exchange->request().path;
    admit(it);
}

void endpoint_standin::admit(const job_ptr& it)
{
    it->exchange->on_left(
        [this, it]
        {
            it->client_left = true;
            ++cancelled_;
        });
    if (running_ >= switches_.slots)
        return waiting_.push_back(it);
    run(it);
}

void endpoint_standin::run(const job_ptr& it)
{
    ++running_;
    count_run(it->exchange, it->version);
    if (switches_.stall)
        return;
    if (switches_.drop)
    {
        it->exchange->abort();
        return release(it);
    }
    if (switches_.error)
    {
        it->exchange->send(500, headers("application/json"), "{\"error\":\"failed\"}");
        return release(it);
    }
    const bool cached = !it->prefix.empty() && !prefixes_.insert(it->prefix).second;
    if (prefixes_.size() > max_cached_prefixes)
        prefixes_.erase(prefixes_.begin());
    const int first = (cached ? switches_.cached_token_ms : switches_.first_token_ms) + switches_.late_ms;
    QTimer::singleShot(first, Qt::PreciseTimer, &server_, [this, it] { step(it); });
}

std::string endpoint_standin::next_token(const job& it) const
{
    const bool bad = switches_.bad || (!switches_.bad_version.empty() && switches_.bad_version == it.version);
    return (bad ? "BAD" : "w") + std::to_string(it.sent);
}

std::string endpoint_standin::usage(const job& it) const
{
    return json{{"prompt_tokens", it.prompt_tokens}, {"completion_tokens", it.tokens}}.dump();
}

void endpoint_standin::step(const job_ptr& it)
{
    if (it->client_left)
        return release(it);
    if (!it->stream)
    {
        const int rest = switches_.token_ms * std::max(it->tokens - 1, 0);
        QTimer::singleShot(rest, Qt::PreciseTimer, &server_, [this, it] { finish(it); });
        return;
    }
    if (it->sent == 0)
        it->exchange->begin(200, headers("text/event-stream"));
    if (switches_.cut && it->sent >= it->tokens / 2)
    {
        it->exchange->abort();
        return release(it);
    }
    if (it->sent == it->tokens)
        return finish(it);
    const json event{
        {"model", it->version},
        {"choices", json::array({{{"index", 0}, {"delta", {{"content", next_token(*it) + " "}}}}})}};
    ++it->sent;
    it->exchange->chunk("data: " + event.dump() + "\n\n");
    QTimer::singleShot(switches_.token_ms, Qt::PreciseTimer, &server_, [this, it] { step(it); });
}

void endpoint_standin::finish(const job_ptr& it)
{
    if (it->stream)
    {
        it->exchange->chunk("data: {\"choices\":[],\"usage\":" + usage(*it) + "}\n\ndata: [DONE]\n\n");
        it->exchange->end();
        return release(it);
    }
    std::string text;
    for (it->sent = 0; it->sent < it->tokens; ++it->sent)
        text += next_token(*it) + " ";
    const bool engine = !it->prefix.empty();
    const json answer{
        {"model", it->version},
        {"choices", json::array({{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}}})},
        {"usage", json::parse(usage(*it))}};
    const json done{{"done", true}, {"path", it->version}, {"run", runs_}};
    it->exchange->send(200, headers("application/json"), (engine ? answer : done).dump());
    release(it);
}

void endpoint_standin::release(const job_ptr& it)
{
    (void)it;
    --running_;
    while (!waiting_.empty() && running_ < switches_.slots)
    {
        const auto next = waiting_.front();
        waiting_.pop_front();
        if (!next->client_left)
            run(next);
    }
}

void endpoint_standin::order(const exchange_ptr& exchange)
{
    const auto doc = json::parse(to_std_string(exchange->request().body), nullptr, false);
    if (!doc.is_object())
        return exchange->send(400, json_type, "{}");
    const auto number = doc.value("fencing", std::uint64_t{0});
    if (switches_.checks_fencing && number < fencing_)
        return exchange->send(409, json_type, "{\"error\":\"old fencing number\"}");
    fencing_ = std::max(fencing_, number);
    orders_.push_back(doc);
    exchange->send(200, json_type, "{}");
}

void endpoint_standin::control(const exchange_ptr& exchange)
{
    const auto doc = json::parse(to_std_string(exchange->request().body), nullptr, false);
    if (!doc.is_object())
        return exchange->send(400, json_type, "{}");
    auto& s = switches_;
    const auto set = [&](const char* name, auto& member) { member = doc.value(name, member); };
    set("slots", s.slots);
    set("queue", s.queue);
    set("first_token_ms", s.first_token_ms);
    set("cached_token_ms", s.cached_token_ms);
    set("token_ms", s.token_ms);
    set("tokens", s.tokens);
    set("refuse", s.refuse);
    set("drop", s.drop);
    set("cut", s.cut);
    set("stall", s.stall);
    set("late_ms", s.late_ms);
    set("bad", s.bad);
    set("bad_version", s.bad_version);
    set("error", s.error);
    set("leaving", s.leaving);
    set("checks_fencing", s.checks_fencing);
    show_control(exchange);
}

void endpoint_standin::show_control(const exchange_ptr& exchange) const
{
    const json out{{"runs", runs_},
                   {"running", running_},
                   {"waiting", waiting_.size()},
                   {"cancelled", cancelled_},
                   {"runs_by_request", runs_by_request_},
                   {"runs_by_body", runs_by_body_},
                   {"runs_by_version", runs_by_version_},
                   {"orders", orders_},
                   {"fencing", fencing_}};
    exchange->send(200, json_type, out.dump());
}

} // namespace runlink::standins
