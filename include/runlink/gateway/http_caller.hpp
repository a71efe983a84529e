/// \file
/// Sends JSON calls to one HTTP server.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QTimer>

#include "runlink/control/documents.hpp"
#include "runlink/core/clock.hpp"
#include "runlink/core/transfer_deadline.hpp"
#include "runlink/net/http_exchange.hpp"

namespace runlink::gateway
{

/// Timeouts of calls.
struct http_caller_options
{
    core::milliseconds connect_timeout{400};
    core::milliseconds max_idle_time{10000};         ///< after which a connection is not reused
    std::size_t max_answer_bytes = 16 * 1024 * 1024; ///< of a body
};

/// How a call ended.
struct call_report
{
    std::string_view result = "answered"; ///< or why there is no whole answer
    std::uint64_t bytes = 0;              ///< of the answer's body that arrived
    core::duration elapsed{};
};

/// Sends each call once and reports its answer once.
class http_caller
{
public:
    /// Receives the answer.
    using answer_handler = std::function<void(const control::http_answer&, const call_report&)>;
    struct call;
    using call_ptr = std::shared_ptr<call>;

    http_caller(http_caller_options options, net::peer_address address);
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    call_ptr send(const control::http_call& request, const core::transfer_limits& limits,
                  answer_handler handler);
    /// Closes the call's connection; its handler is not called any more.
    static void cancel(call& it);

    core::clock_source clock = [] { return core::runtime_clock::now(); };

private:
    net::exchange_hooks hooks_of(const call_ptr& it) const;
    /// Gives the call up if its time is over, or waits until it will be.
    void check_deadline(const call_ptr& it) const;
    /// Reports the answer received so far.
    void finish(const call_ptr& it) const;
    /// Reports that there was no whole answer.
    void fail(const call_ptr& it, std::string_view why) const;
    /// The same, and closes the connection.
    void give_up(const call_ptr& it, std::string_view why) const;

    http_caller_options options_;
    net::peer_address address_;
    net::connection_pool pool_;
};

} // namespace runlink::gateway
