/// \file
/// Test support: a TCP peer whose answer goes on without end.
#pragma once

#include <QTimer>

#include "support/raw_peer.hpp"

namespace runlink::tests
{

/// Answers a request with `first`, then with `repeated` for as long as the connection is open.
class endless_peer
{
public:
    endless_peer(std::string first, std::string repeated)
        : first_{std::move(first)}, repeated_{std::move(repeated)}
    {
        peer_.on_bytes = [this] { timer_.start(0); };
        QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { send_more(); });
    }

    net::peer_address address() const { return peer_.address(); }
    bool is_open() const
    {
        return peer_.socket != nullptr && peer_.socket->state() == QAbstractSocket::ConnectedState;
    }
    /// Bytes sent after `first`.
    std::size_t sent = 0;

private:
    void send_more()
    {
        if (!is_open() || peer_.socket->bytesToWrite() > 0)
            return;
        peer_.send(sent == 0 ? first_ + repeated_ : repeated_);
        sent += repeated_.size();
    }

    std::string first_;
    std::string repeated_;
    raw_peer peer_;
    QTimer timer_;
};

} // namespace runlink::tests
