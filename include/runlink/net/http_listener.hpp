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

#include "runlink/core/caller_budget.hpp"
#include "runlink/core/failure.hpp"
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
    void on_surplus();
    void begin_request();
    void on_head(const http_request_head& it);
    void on_body(std::string_view bytes);
    void on_bytes_written();
    void on_readable();
    /// Handles requests in sequence until one waits for its response or no bytes are left.
    void read_requests();
    /// Parses what is buffered, or else what has arrived. False if there is nothing.
    bool read_request();
    void on_disconnected();
    void on_result(codec_error ec);
    void reject(request_fault why);
    void note_progress(std::size_t bytes);
    void drop_request();
    void drop_arrived();
    void shut_write();
    /// Tells the budget what the connection holds now.
    void account();
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
    bool has_head_ = false;
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

/// Listens on one address.
class http_listener
{
public:
    using request_handler = std::function<void(const std::shared_ptr<caller_connection>&,
                                               const http_request_head&, std::string body)>;
    using bad_request_handler = std::function<void(const std::shared_ptr<caller_connection>&, request_fault)>;

    http_listener(request_handler on_request, bad_request_handler on_bad_request,
                  core::caller_budget_limits budget = {});
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
    /// What all connections hold. Answers that are not yet written to a connection are to be added to it.
    const core::caller_budget& budget() const { return budget_; }
    /// Called when a new connection is closed unread, since there is no room for it.
    std::function<void()> on_connection_refused = [] {};
    /// See `core::caller_budget::hold_answers`.
    bool hold_answers(std::size_t bytes, core::budget_share share);

private:
    void accept_all();
    /// Accepts again a moment after an accept has failed, for example for want of descriptors. Until then the
    /// event loop would try in each turn.
    void on_accept_error();
    bool hold(core::connection_id id, std::size_t bytes);
    /// Carries out a decision of the budget; returns whether it granted the room.
    bool carry_out(const core::caller_budget::decision& it);
    /// Closes connections without waiting for their callers, because their descriptors are needed.
    void close_displaced(const std::vector<core::connection_id>& all);
    /// Removes a closed connection. The event loop destroys the connection later, because one of its own
    /// functions may be running.
    void retire(core::connection_id id);

    request_handler on_request_;
    bad_request_handler on_bad_request_;
    listener_limits limits_;
    QTcpServer server_;
    core::caller_budget budget_;
    std::map<core::connection_id, std::shared_ptr<caller_connection>> connections_;
    std::uint64_t last_id_ = 0;
    QTimer accept_timer_;
    std::vector<std::shared_ptr<caller_connection>> retired_;
    QTimer sweep_timer_;
};

} // namespace runlink::net
