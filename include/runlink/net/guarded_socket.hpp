/// \file
/// Sockets that reject malformed or oversized requests before the HTTP server reads them.
#pragma once

#include <cstdint>
#include <functional>
#include <set>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "runlink/net/http_framing.hpp"

namespace runlink::net
{

/// A connection from a caller. The constructor connects to `readyRead` before the HTTP server does, so the
/// checks run before the server's own slot.
class guarded_socket : public QTcpSocket
{
public:
    guarded_socket(const http_bounds& bounds, std::function<void()> on_refused);

    const http_bounds& bounds() const { return bounds_; }
    /// Must be called when the response has been written. Closes the connection if the caller sent a second
    /// request before the response.
    void answered();

private:
    void check_received_bytes();
    void refuse(const framing_refusal& refusal);
    void restart_timer();

    http_bounds bounds_;
    http_framing framing_;
    std::function<void()> on_refused_;
    QTimer timer_;
    bool closing_ = false;
};

/// Accepts up to `max_connections` connections and answers further ones with 503.
class guarded_listener : public QTcpServer
{
public:
    explicit guarded_listener(http_bounds bounds);

    std::size_t connection_count() const { return connections_.size(); }
    std::uint64_t refused_count() const { return refused_; }
    /// Whether response bytes of any connection have not been handed to the kernel yet.
    bool has_unsent_bytes() const;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    http_bounds bounds_;
    std::set<const guarded_socket*> connections_;
    std::uint64_t refused_ = 0;
};

} // namespace runlink::net
