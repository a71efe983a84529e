#include "runlink/app/operator_client.hpp"

#include <QEventLoop>

namespace runlink::app
{
namespace
{

using nlohmann::json;

constexpr int timeout_ms = 10'000;
constexpr core::http_status first_error_status = 400;

core::failure failure_of(const json& doc, core::http_status status)
{
    const auto error = doc.is_object() ? doc.value("error", json::object()) : json::object();
    const auto name = error.value("code", "internal");
    return {code_of(name), error.value("message", "HTTP status " + std::to_string(status.value()))};
}

} // namespace

core::errc code_of(std::string_view name)
{
    for (int n = 0; n <= static_cast<int>(core::errc::internal); ++n)
        if (to_string(static_cast<core::errc>(n)) == name)
            return static_cast<core::errc>(n);
    return core::errc::internal;
}

operator_client::operator_client(host_port address, std::string key)
    : address_{std::move(address)}, key_{std::move(key)}
{
}

core::result<json> operator_client::get(const std::string& path)
{
    return call("GET", path, "");
}

core::result<json> operator_client::post(const std::string& path, const std::string& body)
{
    return call("POST", path, body);
}

core::result<json> operator_client::call(const std::string& method, const std::string& path,
                                         const std::string& body)
{
    net::http_call it;
    it.method = method;
    it.host = address_.host;
    it.port = address_.port;
    it.path = path;
    it.body = body;
    it.idle_timeout_ms = timeout_ms;
    it.headers = {{"Authorization", "Bearer " + key_}, {"Content-Type", "application/json"}};
    QEventLoop loop;
    net::http_result result;
    std::string text;
    fetch(client_, it,
          [&](const net::http_result& r, std::string answer)
          {
              result = r;
              text = std::move(answer);
              loop.quit();
          });
    loop.exec();
    if (!result.complete)
        return core::failure{core::errc::endpoint_lost, address_.str() + ": " + result.error};
    auto doc = json::parse(text, nullptr, false);
    if (result.status >= first_error_status)
        return failure_of(doc, *result.status);
    if (doc.is_discarded())
        return core::failure{core::errc::endpoint_answer_invalid, address_.str()};
    return doc;
}

} // namespace runlink::app
