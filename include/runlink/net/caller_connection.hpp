/// \file
/// One connection from a caller: requests one at a time, streamed responses, and what it holds of the
/// instance.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QTcpSocket>
#include <QTimer>

#include "runlink/core/caller_budget.hpp"
#include "runlink/core/units.hpp"
#include "runlink/net/http_codec.hpp"

namespace runlink::net
{

/// Limits on the size of requests and on the time that callers may take.
struct listener_limits
{
    codec_limits message;
    /// A head must be whole within this time, and a body must make progress within it.
    core::milliseconds header_timeout{3000};
    /// Also bounds the time in which a caller reads nothing of a whole answer.
    core::milliseconds idle_timeout{15000};
    /// After a refusal, what the caller still sends is read and dropped for this long, so that the refusal is
    /// not lost with a reset.
    core::milliseconds linger{2000};
    std::size_t max_lingering_bytes = 4 * 1024 * 1024;
};

/// Why a request is rejected before it is whole.
enum class request_fault
{
    malformed,
    header_too_large, ///< see `codec_error`
    body_too_large,
    timed_out, ///< the caller took longer than the limits allow
    no_room,   ///< the instance has no memory for it now
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
        /// The request is rejected. The handler must send an error response and call `refuse_rest`, or close
        /// the connection.
        std::function<void(const std::shared_ptr<caller_connection>&, request_fault)> bad_request;
        std::function<void(core::connection_id)> closed;
        /// Asks for room for what the connection needs in total.
        std::function<bool(core::connection_id, std::size_t)> hold;
    };

    caller_connection(core::connection_id id, std::unique_ptr<QTcpSocket> socket,
                      const listener_limits& limits, core::caller_budget& budget, handlers to);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Sends bytes of a response.
    void write(std::string_view bytes);
    /// Marks the response as complete. With `close`, or if the request does not allow keep-alive, the
    /// connection closes once all bytes are sent.
    void finish(bool close);
    /// Marks the response as a refusal: sends what was written, reads and drops what the caller still sends
    /// of its request for a bounded time, and closes the connection.
    void refuse_rest();
    /// Another caller needs the room: rejects a request that is not whole, and closes the connection
    /// otherwise.
    void give_way();
    /// Ends a chunked response without its last chunk: sends what was written and closes the connection, so
    /// that the caller has all bytes and cannot take them for a complete response.
    void break_off();
    /// Hands the kernel what it takes of the response, and closes the connection at once.
    void close_now();
    /// Aborts the connection at once, so that the caller cannot take a partial response for a complete one.
    void reset();

    bool wants_close() const { return !head_.keep_alive; }
    /// Whether a request is waiting for its response.
    bool is_busy() const { return busy_; }
    /// Whether no byte of a request has been read since the last response.
    bool is_idle() const { return !busy_ && !reader_.in_message(); }
    bool is_open() const { return !closed_; }
    std::size_t unsent_bytes() const;
    /// Whether the budget has room for what was written and is not yet sent.
    bool has_room() const { return has_room_; }
    /// Called when the caller disconnects while its request is waiting for the response.
    std::function<void()> on_left;
    core::connection_id id() const { return id_; }
    /// Rejects an unfinished request that is too slow, and closes connections that are idle, or whose callers
    /// read nothing, for too long.
    void check_timeouts(core::time_point now, const listener_limits& limits);
    /// Aborts the connection and drops its handlers, because the listener is being destroyed.
    void detach_from_listener();
    /// Closes the connection if it has no request in progress and no unread bytes.
    void close_if_idle();

private:
    bool has_unread_bytes() const;
    void on_readable();
    void on_bytes_written();
    /// Bytes arrived while a request waits for its response.
    void on_surplus();
    void begin_request();
    void on_head(const http_request_head& it);
    void on_body(std::string_view bytes);
    /// Handles requests in sequence until one waits for its response or no bytes are left.
    void read_requests();
    /// Parses what is buffered, or else what has arrived. False if there is nothing.
    bool read_request();
    void on_disconnected();
    void on_result(codec_error ec);
    void reject(request_fault why);
    void note_progress(std::size_t bytes);
    /// Releases all that is held of the current request.
    void drop_request();
    /// Reads and drops what arrives after a refusal.
    void drop_arrived();
    /// Ends the sending direction once the refusal has been sent.
    void shut_write();
    /// Tells the budget what the connection holds now.
    void account();
    /// Asks for room for the request and its copies; false if there is none.
    bool hold_request(std::size_t body_capacity);
    void enter(core::caller_phase phase);
    void end_after_flush();

    core::connection_id id_;
    std::unique_ptr<QTcpSocket> socket_;
    core::caller_budget& budget_;
    handlers handlers_;
    listener_limits limits_;
    http_request_reader reader_;
    http_request_head head_;
    std::string body_;
    core::time_point last_activity_;  ///< of an idle connection, or of a caller that reads an answer
    core::time_point progress_began_; ///< of a request: its first byte, or the last time it made progress
    std::size_t progress_bytes_ = 0;  ///< received since then
    std::size_t request_bytes_ = 0;   ///< what the request needs until it has its answer
    std::size_t dropped_bytes_ = 0;   ///< received after a refusal
    core::caller_phase phase_ = core::caller_phase::idle;
    bool has_head_ = false;    ///< of the request that is being received
    bool has_no_room_ = false; ///< for the request that is being received
    bool has_room_ = true;     ///< for what the connection holds now
    bool is_write_shut_ = false;
    QTimer resume_timer_;
    bool is_reading_ = false;
    bool next_is_due_ = false; ///< the last response is finished, and the next request is not begun
    bool busy_ = false;
    bool ending_ = false;
    bool closed_ = false;
};

} // namespace runlink::net
