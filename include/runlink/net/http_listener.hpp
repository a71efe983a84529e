/// \file
/// HTTP connections from callers. Each connection handles one request at a time; responses are streamed.
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

/// Limits on the size of requests and on the time that callers may take.
struct listener_limits
{
    codec_limits message;
    core::milliseconds header_timeout{3000};
    core::milliseconds idle_timeout{15000};
};

/// One connection from a caller.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// Callbacks of a connection.
    struct handlers
    {
        std::function<void(const std::shared_ptr<caller_connection>&, const http_request_head&, std::string)>
            request;
        /// The received bytes are not a valid request. The handler must send an error response and close the
        /// connection.
        std::function<void(const std::shared_ptr<caller_connection>&, codec_error)> bad_request;
        std::function<void(const caller_connection*)> closed;
    };

    caller_connection(std::unique_ptr<QTcpSocket> socket, const listener_limits& limits, handlers to);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sends bytes of a response.
    void write(std::string_view bytes);
    /// Marks the response as complete. With `close`, or if the request does not allow keep-alive, the
    /// connection closes once all bytes are sent.
    void finish(bool close);
    /// Ends a chunked response without its last chunk: sends what was written and closes the connection, so
    /// that the caller has all bytes and cannot take them for a complete response.
    void break_off();
    /// Aborts the connection at once, so that the caller cannot take a partial response for a complete one.
    void reset();

    bool wants_close() const { return !head_.keep_alive; }
    /// Whether a request is waiting for its response.
    bool is_busy() const { return busy_; }
    /// Whether no byte of a request has been read since the last response.
    bool is_idle() const { return !busy_ && !reader_.in_message(); }
    bool is_open() const { return !closed_; }
    std::size_t unsent_bytes() const;
    /// Called when the caller disconnects while its request is waiting for the response.
    std::function<void()> on_left;
    /// Reports an unfinished request as malformed after `header_timeout` without new bytes, and closes an
    /// idle connection after `idle_timeout`.
    void check_timeouts(core::time_point now, const listener_limits& limits);
    /// Aborts the connection and drops its handlers, because the listener is being destroyed.
    void detach_from_listener();
    /// Closes the connection if it has no request in progress and no unread bytes.
    void close_if_idle();

private:
    bool has_unread_bytes() const;
    void on_readable();
    /// Handles requests in sequence until one waits for its response or no bytes are left.
    void read_requests();
    /// Parses what is buffered, or else what has arrived. False if there is nothing.
    bool read_request();
    void on_disconnected();
    void on_result(codec_error ec);
    void end_after_flush();

    std::unique_ptr<QTcpSocket> socket_;
    handlers handlers_;
    http_request_reader reader_;
    http_request_head head_;
    std::string body_;
    core::time_point last_activity_;
    QTimer resume_timer_;
    bool is_reading_ = false;
    bool next_is_due_ = false; ///< the last response is finished, and the next request is not begun
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

    /// Returns the port; port 0 picks a free one. Fails with `settings_invalid` if the address cannot be
    /// used.
    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);
    void set_limits(const listener_limits& limits) { limits_ = limits; }
    void check_timeouts();
    void close_idle();
    std::size_t connection_count() const { return connections_.size(); }

private:
    void accept_all();
    /// Removes a closed connection. The event loop destroys the connection later, because one of its own
    /// functions may be running.
    void retire(const caller_connection* connection);

    request_handler on_request_;
    bad_request_handler on_bad_request_;
    listener_limits limits_;
    QTcpServer server_;
    std::map<const caller_connection*, std::shared_ptr<caller_connection>> connections_;
    std::vector<std::shared_ptr<caller_connection>> retired_;
    QTimer sweep_timer_;
};

} // namespace runlink::net
