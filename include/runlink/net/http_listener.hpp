/// \file
/// HTTP connections from callers. Each connection handles one request at a time; responses are streamed.
#pragma once

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
#include "runlink/net/caller_connection.hpp"

namespace runlink::net
{

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
