/// \file
/// Test support: a TCP peer that sends the bytes that a test gives, and the record of one HTTP exchange.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <QTcpServer>
#include <QTcpSocket>

#include <sys/socket.h>

#include "runlink/net/http_exchange.hpp"

namespace runlink::tests
{

using net::connection_pool;
using net::exchange_failure;
using net::exchange_hooks;
using net::http_response_head;
using net::peer_address;

/// A TCP peer that counts connections, records received bytes and sends the bytes that a test gives.
class raw_peer
{
public:
    raw_peer()
    {
        server_.listen(QHostAddress::LocalHost, 0);
        QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                         [this]
                         {
                             socket = server_.nextPendingConnection();
                             ++connections;
                             QObject::connect(socket, &QTcpSocket::readyRead, socket,
                                              [this]
                                              {
                                                  received += socket->readAll().toStdString();
                                                  if (on_bytes)
                                                      on_bytes();
                                              });
                         });
    }

    peer_address address() const { return {"127.0.0.1", server_.serverPort()}; }
    void send(const std::string& bytes) { socket->write(bytes.data(), static_cast<qint64>(bytes.size())); }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        socket->flush();
        const linger now{1, 0};
        setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        socket->abort();
    }

    std::function<void()> on_bytes;
    std::string received;
    int connections = 0;
    QTcpSocket* socket = nullptr;

private:
    QTcpServer server_;
};

struct outcome
{
    bool sent = false;
    bool ended = false;
    std::optional<exchange_failure> failure;
    int status = 0;
    std::string body;

    exchange_hooks hooks()
    {
        exchange_hooks out;
        out.sent = [this] { sent = true; };
        out.head = [this](const http_response_head& it) { status = it.status.value(); };
        out.body = [this](std::string_view it) { body.append(it); };
        out.end = [this] { ended = true; };
        out.failed = [this](exchange_failure it) { failure = it; };
        return out;
    }
    bool over() const { return ended || failure; }
};

inline const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace runlink::tests
