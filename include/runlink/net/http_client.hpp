/// \file
/// HTTP client that never sends a request twice.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QPointer>

#include "runlink/net/http_server.hpp"

namespace runlink::net
{

/// A call on another server.
struct http_call
{
    std::string method = "GET";
    std::string host; ///< IP number
    std::uint16_t port = 0;
    std::string path; ///< with the query
    header_list headers;
    std::string body;
    int idle_timeout_ms = 0; ///< without any byte; 0: none
};

/// The head of an answer.
struct http_answer_head
{
    int status = 0; ///< 0 where no answer has begun
    std::string content_type;
    header_list headers;

    /// Empty where there is none.
    std::string header(const std::string& name) const;
};

/// How a call ended.
struct http_result : http_answer_head
{
    bool complete = false; ///< the whole answer has arrived
    bool body_sent = true; ///< false only where no byte of the request's body was handed out
    std::string error;     ///< the library's text, for logs
};

/// What a call reports. Bytes come in order; `done` comes last and once.
struct http_call_hooks
{
    std::function<void(const http_answer_head&)> head;
    std::function<void(std::string)> bytes;
    std::function<void(const http_result&)> done;
};

/// A handle on a running call.
class http_client;
using call_handle = std::uint64_t;

/// Runs calls side by side. The library opens six connections to a host at most, so that a manager is
/// added whenever all of them have six calls to a host.
class http_client
{
public:
    http_client();
    ~http_client();

    call_handle start(const http_call& it, http_call_hooks hooks);
    /// Breaks a call off; nothing more is reported of it.
    void cancel(call_handle it);
    std::size_t running() const { return calls_.size(); }
    std::size_t manager_count() const { return managers_.size(); }

private:
    struct manager
    {
        QNetworkAccessManager access;
        std::map<std::string, int> running; ///< by host and port
    };
    struct call;

    manager& manager_for(const std::string& host);
    void on_ready(call_handle id);
    void on_finished(call_handle id);
    void release(call& it);

    std::vector<std::unique_ptr<manager>> managers_;
    std::map<call_handle, std::unique_ptr<call>> calls_;
    call_handle next_ = 1;
};

/// Runs a call and collects the whole body.
void fetch(http_client& client, const http_call& it,
           std::function<void(const http_result&, std::string body)> done);

} // namespace runlink::net
