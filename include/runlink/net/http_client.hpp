/// \file
/// HTTP client that never sends a request twice.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QPointer>

#include "runlink/core/http_status.hpp"
#include "runlink/net/http_server.hpp"

namespace runlink::net
{

/// A request to another server.
struct http_call
{
    std::string method = "GET";
    std::string host; ///< IP address
    std::uint16_t port = 0;
    std::string path; ///< including the query
    header_list headers;
    std::string body;
    int idle_timeout_ms = 0; ///< longest time without any byte transferred; 0: no timeout
};

/// Status and header fields of a response.
struct http_answer_head
{
    std::optional<core::http_status> status; ///< nothing if no response to the request has begun
    std::string content_type;
    header_list headers;

    /// Value of the first header field of this name, ignoring case; empty if there is none.
    std::string header(const std::string& name) const;
};

/// Outcome of a call.
struct http_result : http_answer_head
{
    bool complete = false; ///< the whole response has arrived, and it has a status
    bool body_sent = true; ///< false only if the request has a body and the library has read none of it
    std::string error;     ///< Qt's error text, for logs
};

/// Callbacks of a call. `bytes` receives the body in order; `done` is called once, after all others.
struct http_call_hooks
{
    std::function<void(const http_answer_head&)> head;
    std::function<void(std::string)> bytes;
    std::function<void(const http_result&)> done;
};

class http_client;
/// Identifies a running call.
using call_handle = std::uint64_t;

/// Runs calls concurrently. A QNetworkAccessManager opens at most six connections to a host, so the client
/// adds a manager when each existing one already has six calls to that host.
class http_client
{
public:
    http_client();
    ~http_client();

    call_handle start(const http_call& it, http_call_hooks hooks);
    /// Aborts a call; none of its callbacks is called any more.
    void cancel(call_handle id);
    std::size_t running() const { return calls_.size(); }
    std::size_t manager_count() const { return managers_.size(); }

private:
    struct manager
    {
        QNetworkAccessManager access;
        std::map<std::string, int> running; ///< number of calls, by `host:port`
    };
    struct call;

    manager& manager_for(const std::string& host);
    void on_ready(call_handle id);
    void on_finished(call_handle id);
    void release(call& it);

    std::vector<std::unique_ptr<manager>> managers_;
    std::map<call_handle, std::unique_ptr<call>> calls_;
    call_handle next_handle_ = 1;
};

/// Runs a call and passes the result and the collected body to `done`.
void fetch(http_client& client, const http_call& it,
           std::function<void(const http_result&, std::string body)> done);

} // namespace runlink::net
