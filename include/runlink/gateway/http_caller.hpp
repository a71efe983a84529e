/// \file
/// Sends JSON calls to one HTTP server.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <QTimer>

#include "runlink/control/documents.hpp"
#include "runlink/net/http_exchange.hpp"

namespace runlink::gateway
{

/// Timeouts of calls.
struct http_caller_options
{
    core::milliseconds connect_timeout{400};
    core::milliseconds max_idle_time{10000}; ///< after which a connection is not reused
};

/// Sends each call once and reports its answer once.
class http_caller
{
public:
    /// Receives the answer.
    using answer_handler = std::function<void(const control::http_answer&)>;
    struct call;
    using call_ptr = std::shared_ptr<call>;

    http_caller(http_caller_options options, net::peer_address address);
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    call_ptr send(const control::http_call& request, core::milliseconds timeout, answer_handler handler);
    /// Closes the call's connection; its handler is not called any more.
    static void cancel(call& it);

private:
    /// Reports the answer received so far.
    static void finish(const call_ptr& it);
    /// Reports that there was no answer.
    static void fail(const call_ptr& it);

    http_caller_options options_;
    net::peer_address address_;
    net::connection_pool pool_;
};

} // namespace runlink::gateway
