/// \file
/// Connections of callers: requests come in one at a time on each, answers go out as they are made.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "runlink/core/failure.hpp"
#include "runlink/core/units.hpp"
#include "runlink/net/http_codec.hpp"

namespace runlink::net
{

/// Bounds on what callers may send and how long they may take.
struct listener_limits
{
    codec_limits message;
    core::milliseconds header_timeout{3000};
    core::milliseconds idle_timeout{15000};
};

/// One connection of a caller.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// What a connection reports.
    struct handlers
    {
        std::function<void(const std::shared_ptr<caller_connection>&, const http_request_head&, std::string)>
            request;
        /// The bytes are no request; the handler answers and the connection ends.
        std::function<void(const std::shared_ptr<caller_connection>&, codec_error)> bad_request;
        std::function<void(const caller_connection*)> closed;
    };

    caller_connection(std::unique_ptr<QTcpSocket> socket, const listener_limits& limits, handlers to);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sends bytes of an answer.
    void write(std::string_view bytes);
    /// The answer is whole. With `close` the connection ends once it is sent.
    void finish(bool close);
    /// Ends the connection at once, so that nothing looks complete.
    void reset();

    bool wants_close() const { return !head_.keep_alive; }
    /// Whether a request waits for its answer.
    bool is_busy() const { return busy_; }
    /// Whether no byte of a request has arrived since the last answer.
    bool is_idle() const { return !busy_ && !reader_.in_message(); }
    bool is_open() const { return !closed_; }
    std::size_t unsent_bytes() const;
    /// Called when the caller went away while its request was waiting.
    std::function<void()> on_left;
    /// Closes or refuses what took too long.
    void check_timeouts(core::time_point now, const listener_limits& limits);
    /// The listener is gone: the connection ends and reports nothing more.
    void leave_listener();
    /// Ends a connection on which nothing is under way.
    void close_if_idle();

private:
    bool has_unread_bytes() const;
    void on_readable();
    void on_disconnected();
    void on_result(codec_error ec);
    void end_after_flush();

    std::unique_ptr<QTcpSocket> socket_;
    handlers handlers_;
    http_request_reader reader_;
    http_request_head head_;
    std::string body_;
    core::time_point last_activity_;
    bool busy_ = false;
    bool ending_ = false;
    bool closed_ = false;
};

/// Listens on one address.
class http_listener
{
public:
    using request_handler = std::function<void(const std::shared_ptr<caller_connection>&,
                                               const http_request_head&, std::string body)>;
    using bad_request_handler = std::function<void(const std::shared_ptr<caller_connection>&, codec_error)>;

    http_listener(request_handler on_request, bad_request_handler on_bad_request);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Port 0 takes a free one. Returns the port.
    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);
    void set_limits(const listener_limits& limits) { limits_ = limits; }
    void check_timeouts();
    void close_idle();
    std::size_t connection_count() const { return connections_.size(); }

private:
    void accept_all();
    void retire(const caller_connection* it);

    request_handler on_request_;
    bad_request_handler on_bad_request_;
    listener_limits limits_;
    QTcpServer server_;
    std::map<const caller_connection*, std::shared_ptr<caller_connection>> connections_;
    std::vector<std::shared_ptr<caller_connection>> retired_;
    QTimer sweep_timer_;
};

} // namespace runlink::net
