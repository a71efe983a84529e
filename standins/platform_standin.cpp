#include "platform_standin.hpp"

#include <algorithm>

#include <QTimer>

namespace runlink::standins
{
namespace
{

using nlohmann::json;

const net::header_list json_type{{"Content-Type", "application/json"}};
constexpr std::string_view key_prefix = "/v1/kv/";

std::string tag_of(std::uint64_t revision)
{
    return "\"" + std::to_string(revision) + "\"";
}

void run_after(int ms, std::function<void()> action)
{
    if (ms <= 0)
        return action();
    QTimer::singleShot(ms, std::move(action));
}

net::http_bounds wide_bounds()
{
    net::http_bounds it;
    it.max_body_bytes = 8 * 1024 * 1024;
    return it;
}

} // namespace

platform_standin::platform_standin() : server_{wide_bounds(), [this](const exchange_ptr& it) { handle(it); }}
{
}

core::result<std::uint16_t> platform_standin::listen(const std::string& host, std::uint16_t port)
{
    return server_.listen(host, port);
}

void platform_standin::handle(const exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    if (request.path == "/control")
        return request.method == "POST" ? control(exchange) : show_control(exchange);
    if (request.path == "/control/keys")
        return list_keys(exchange);
    if (request.path == "/control/instances")
        return set_instances(exchange);
    if (request.path == "/v1/instances")
        return list_instances(exchange);
    if (request.path == "/v1/ratings")
        return rate(exchange);
    if (!request.path.starts_with(key_prefix))
        return exchange->send(404, json_type, "{}");
    if (switches_.outage)
        return exchange->abort();
    run_after(switches_.slow_ms,
              [this, exchange] { handle_key(exchange, exchange->request().path.substr(key_prefix.size())); });
}

void platform_standin::handle_key(const exchange_ptr& exchange, const std::string& key)
{
    const auto& request = exchange->request();
    if (request.method == "PUT")
        return write(exchange, key);
    if (request.method == "DELETE")
        return erase(exchange, key);
    const auto after = request.query_value("after");
    if (!after.empty())
        return watch(exchange, key, std::stoull(after), std::stoi(request.query_value("wait_ms")));
    ++counts_.reads;
    read(exchange, key);
}

void platform_standin::read(const exchange_ptr& exchange, const std::string& key)
{
    const auto found = values_.find(key);
    if (found == values_.end())
        return exchange->send(404, {}, "");
    exchange->send(200, {{"ETag", tag_of(found->second.revision)}}, found->second.data);
}

void platform_standin::write(const exchange_ptr& exchange, const std::string& key)
{
    ++counts_.writes;
    const auto& request = exchange->request();
    const auto found = values_.find(key);
    const bool create = request.header("If-None-Match") == "*";
    const bool precondition_holds =
        create ? found == values_.end()
               : found != values_.end() && request.header("If-Match") == tag_of(found->second.revision);
    if (!precondition_holds)
        return exchange->send(412, {}, "");
    const auto revision = ++revision_;
    values_[key] = {request.body.toStdString(), revision};
    wake_watches(key);
    if (switches_.lose_write_replies > 0)
    {
        --switches_.lose_write_replies;
        return exchange->abort();
    }
    exchange->send(200, {{"ETag", tag_of(revision)}}, "");
}

void platform_standin::erase(const exchange_ptr& exchange, const std::string& key)
{
    ++counts_.writes;
    values_.erase(key);
    exchange->send(204, {}, "");
}

void platform_standin::watch(const exchange_ptr& exchange, const std::string& key, std::uint64_t after,
                             int wait_ms)
{
    ++counts_.watches;
    const auto found = values_.find(key);
    if (found != values_.end() && found->second.revision > after && !switches_.drop_watches)
        return read(exchange, key);
    watches_.push_back({exchange, key, after});
    const auto forget = [this, exchange]
    { std::erase_if(watches_, [&](const auto& it) { return it.exchange == exchange; }); };
    exchange->on_left(forget);
    if (switches_.drop_watches)
        return;
    run_after(wait_ms,
              [exchange, forget]
              {
                  forget();
                  exchange->send(304, {}, "");
              });
}

void platform_standin::wake_watches(const std::string& key)
{
    if (switches_.drop_watches)
        return;
    std::vector<exchange_ptr> ready;
    std::erase_if(watches_,
                  [&](const auto& it)
                  {
                      const bool wakes = it.key == key && values_[key].revision > it.after;
                      if (wakes)
                          ready.push_back(it.exchange);
                      return wakes;
                  });
    for (const auto& it : ready)
        read(it, key);
}

void platform_standin::list_keys(const exchange_ptr& exchange) const
{
    const auto prefix = exchange->request().query_value("prefix");
    json out = json::array();
    for (const auto& [key, unused] : values_)
        if (key.starts_with(prefix))
            out.push_back(key);
    exchange->send(200, json_type, out.dump());
}

void platform_standin::rate(const exchange_ptr& exchange)
{
    ++counts_.ratings;
    const auto& body = exchange->request().body;
    const bool good = body.indexOf(QByteArray::fromStdString(switches_.bad_text)) < 0;
    run_after(switches_.rating_ms, [exchange, good]
              { exchange->send(200, json_type, good ? "{\"good\":true}" : "{\"good\":false}"); });
}

void platform_standin::set_instances(const exchange_ptr& exchange)
{
    const auto doc = json::parse(exchange->request().body.toStdString(), nullptr, false);
    if (!doc.is_array())
        return exchange->send(400, json_type, "{}");
    run_after(switches_.list_lag_ms, [this, doc] { instances_ = doc; });
    exchange->send(200, json_type, "{}");
}

void platform_standin::list_instances(const exchange_ptr& exchange)
{
    exchange->send(200, json_type, json{{"instances", instances_}}.dump());
}

void platform_standin::control(const exchange_ptr& exchange)
{
    const auto doc = json::parse(exchange->request().body.toStdString(), nullptr, false);
    if (!doc.is_object())
        return exchange->send(400, json_type, "{}");
    switches_.outage = doc.value("outage", switches_.outage);
    switches_.slow_ms = doc.value("slow_ms", switches_.slow_ms);
    switches_.lose_write_replies = doc.value("lose_write_replies", switches_.lose_write_replies);
    switches_.drop_watches = doc.value("drop_watches", switches_.drop_watches);
    switches_.rating_ms = doc.value("rating_ms", switches_.rating_ms);
    switches_.bad_text = doc.value("bad_text", switches_.bad_text);
    switches_.list_lag_ms = doc.value("list_lag_ms", switches_.list_lag_ms);
    show_control(exchange);
}

void platform_standin::show_control(const exchange_ptr& exchange) const
{
    const json out{{"outage", switches_.outage}, {"lose_write_replies", switches_.lose_write_replies},
                   {"reads", counts_.reads},     {"writes", counts_.writes},
                   {"watches", counts_.watches}, {"waiting_watches", watches_.size()},
                   {"ratings", counts_.ratings}};
    exchange->send(200, json_type, out.dump());
}

} // namespace runlink::standins
