/// \file
/// A TCP proxy on a loopback address that delays, resets or blocks connections, in one or both directions.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include "runlink/core/units.hpp"
#include "support/silent_port.hpp"

namespace runlink::soak
{

/// A fault that a proxy applies to new and open connections.
enum class link_fault
{
    none,
    refuse, ///< new connections are reset
    down,   ///< the listener is closed and open connections are reset, as when the target process has ended
    closed, ///< the listener is closed, open connections live on
    unanswered,  ///< no bytes are forwarded, and attempts to connect get no answer
    silent,      ///< no bytes are forwarded in either direction
    cut_answers, ///< requests are forwarded, responses are not
    delay,       ///< bytes are forwarded after `fault_proxy::delay`
};

/// Forwards connections to one port on the loopback address 127.0.0.1.
class fault_proxy
{
public:
    explicit fault_proxy(std::uint16_t target) : fault_proxy{target, "127.0.0.1", 0} {}
    /// Listens on the given address; port 0: any free one.
    fault_proxy(std::uint16_t target, const std::string& host, std::uint16_t port);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    std::uint16_t port() const { return port_; }
    /// Bytes held back by a fault are forwarded when it ends, if their connection is still open.
    void set_fault(link_fault it);
    link_fault fault() const { return fault_; }
    void reset_all();
    /// Called by `reset_all`.
    std::function<void()> on_reset = [] {};

    core::milliseconds delay{120};
    core::milliseconds base_delay{0}; ///< added to every forwarded chunk, with or without a fault

private:
    struct link
    {
        std::unique_ptr<QTcpSocket> client_side;
        std::unique_ptr<QTcpSocket> server_side;
        std::deque<QByteArray> waiting_to_server;
        std::deque<QByteArray> waiting_to_client;
    };
    using link_ptr = std::shared_ptr<link>;

    void accept();
    /// Listens on `port_`. Retries if the port is temporarily in use by another connection.
    void listen();
    void pass(const link_ptr& it, bool to_server);
    /// Queues bytes behind those that are already waiting.
    void write_later(const link_ptr& it, bool to_server, core::milliseconds after, const QByteArray& bytes);
    bool accepts_connections() const;
    bool is_blocked(bool to_server) const;
    void end(const link_ptr& it, bool graceful);

    std::uint16_t target_;
    QHostAddress host_;
    std::uint16_t port_ = 0;
    QTcpServer server_;
    std::unique_ptr<tests::silent_port> silent_port_;
    link_fault fault_ = link_fault::none;
    std::map<const link*, link_ptr> links_;
};

} // namespace runlink::soak
