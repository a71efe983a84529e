#include "runlink/net/store_client.hpp"

#include <charconv>

namespace runlink::net
{
namespace
{

using core::errc;
using core::failure;

constexpr int ok = 200;
constexpr int not_modified = 304;
constexpr int not_found = 404;
constexpr int precondition_failed = 412;

std::uint64_t revision_of(const http_result& it)
{
    const auto tag = it.header("ETag");
    std::uint64_t out = 0;
    if (tag.size() > 2)
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, out);
    return out;
}

http_call call_of(const store_address& address, const char* method, const std::string& key)
{
    http_call call;
    call.method = method;
    call.host = address.host;
    call.port = address.port;
    call.path = "/v1/kv/" + key;
    call.idle_timeout_ms = address.timeout_ms;
    return call;
}

core::result<core::store_value> read_result(const http_result& it, std::string body, const std::string& key)
{
    if (it.complete && it.status == ok)
        return core::store_value{std::move(body), revision_of(it)};
    if (it.complete && it.status == not_found)
        return failure{errc::store_absent, key};
    if (it.complete && it.status == not_modified)
        return failure{errc::store_unchanged, key};
    return failure{errc::store_unavailable, key};
}

core::result<std::uint64_t> write_result(const http_result& it, const std::string& key)
{
    if (it.complete && it.status == ok)
        return revision_of(it);
    if (it.complete && it.status == precondition_failed)
        return failure{errc::store_conflict, key};
    return failure{errc::store_unknown, key};
}

} // namespace

core::store_port make_store_port(http_client& client, const store_address& address)
{
    core::store_port port;
    port.get = [&client, address](const std::string& key, core::store_read_handler handler)
    {
        fetch(client, call_of(address, "GET", key),
              [key, handler = std::move(handler)](const http_result& it, std::string body)
              { handler(read_result(it, std::move(body), key)); });
    };
    port.watch = [&client, address](const std::string& key, std::uint64_t after, core::milliseconds wait,
                                    core::store_read_handler handler)
    {
        auto it = call_of(address, "GET", key);
        it.path += "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
        it.idle_timeout_ms = address.timeout_ms + static_cast<int>(wait.count());
        fetch(client, it,
              [key, handler = std::move(handler)](const http_result& r, std::string body)
              { handler(read_result(r, std::move(body), key)); });
    };
    port.put = [&client, address](const std::string& key, std::string data, core::store_condition condition,
                                  core::store_write_handler handler)
    {
        auto it = call_of(address, "PUT", key);
        if (condition.absent)
            it.headers.emplace_back("If-None-Match", "*");
        else
            it.headers.emplace_back("If-Match", "\"" + std::to_string(condition.revision) + "\"");
        it.headers.emplace_back("Content-Type", "application/octet-stream");
        it.body = std::move(data);
        fetch(client, it,
              [key, handler = std::move(handler)](const http_result& r, const std::string&)
              { handler(write_result(r, key)); });
    };
    port.erase = [&client, address](const std::string& key)
    { fetch(client, call_of(address, "DELETE", key), [](const http_result&, const std::string&) {}); };
    return port;
}

} // namespace runlink::net
