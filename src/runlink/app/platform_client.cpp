#include "runlink/app/platform_client.hpp"

#include <nlohmann/json.hpp>

namespace runlink::app
{
namespace
{

using nlohmann::json;

constexpr int ok = 200;
constexpr int list_timeout_ms = 3000;
constexpr int rating_timeout_ms = 600'000;
constexpr std::size_t max_ratings_in_flight = 64;

std::optional<listed_endpoint> read_entry(const json& it)
{
    if (!it.is_object() || !it.contains("name") || !it["name"].is_string())
        return std::nullopt;
    const auto number = [&](const char* name) -> std::uint64_t
    { return it.contains(name) && it[name].is_number_unsigned() ? it[name].get<std::uint64_t>() : 0; };
    listed_endpoint out;
    out.id = core::endpoint_id{it["name"].get<std::string>()};
    out.incarnation = core::endpoint_incarnation{number("incarnation")};
    out.leaving = it.contains("state") && it["state"] == "leaving";
    return out;
}

} // namespace

platform_client::platform_client(net::http_client& client, host_port address)
    : client_{client}, address_{std::move(address)}
{
}

net::http_call platform_client::make_call(const std::string& method, const std::string& path) const
{
    net::http_call it;
    it.method = method;
    it.host = address_.host;
    it.port = address_.port;
    it.path = path;
    it.idle_timeout_ms = list_timeout_ms;
    return it;
}

void platform_client::poll(std::function<void(const listed_endpoint&)> visit)
{
    if (std::exchange(poll_in_flight_, true))
        return;
    const auto on_list =
        [this, visit = std::move(visit)](const net::http_result& result, const std::string& body)
    {
        poll_in_flight_ = false;
        const auto doc = json::parse(body, nullptr, false);
        if (!result.complete || result.status != ok || !doc.is_object() || !doc["instances"].is_array())
            return;
        for (const auto& e : doc["instances"])
            if (const auto it = read_entry(e))
                visit(*it);
    };
    fetch(client_, make_call("GET", "/v1/instances"), on_list);
}

void platform_client::rate(const core::request_id& request, const core::version_ref& version,
                           const std::string& answer, std::function<void(bool)> rated)
{
    if (ratings_in_flight_ >= max_ratings_in_flight)
        return;
    ++ratings_in_flight_;
    auto it = make_call("POST", "/v1/ratings");
    it.idle_timeout_ms = rating_timeout_ms;
    it.headers = {{"Content-Type", "application/json"}};
    const json body{{"request", request.str()}, {"version", version.str()}, {"answer", answer}};
    it.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    const auto on_rated =
        [this, rated = std::move(rated)](const net::http_result& result, const std::string& text)
    {
        --ratings_in_flight_;
        const auto doc = json::parse(text, nullptr, false);
        if (result.complete && result.status == ok && doc.is_object() && doc.contains("good") &&
            doc["good"].is_boolean())
            rated(doc["good"].get<bool>());
    };
    fetch(client_, it, on_rated);
}

} // namespace runlink::app
