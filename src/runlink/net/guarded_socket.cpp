#include "runlink/net/guarded_socket.hpp"

#include <algorithm>
#include <utility>

namespace runlink::net
{
namespace
{

constexpr int request_timeout_status = 408;
constexpr int unavailable_status = 503;
/// After a refusal, further bytes are read and discarded for this long before the connection closes.
constexpr int linger_ms = 500;

QByteArray refusal_response(const framing_refusal& it)
{
    const QByteArray body = QByteArray{R"({"error":{"code":")"} +
                            (it.status == 413 ? "body_too_large" : "malformed_request") + R"(","message":")" +
                            it.reason + "\"}}\n";
    return "HTTP/1.1 " + QByteArray::number(it.status) +
           " Refused\r\nConnection: close\r\nRunlink-Outcome: not_run\r\n" +
           "Content-Type: application/json\r\nContent-Length: " + QByteArray::number(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

guarded_socket::guarded_socket(const http_bounds& bounds, std::function<void()> on_refused)
    : bounds_{bounds}, framing_{bounds}, on_refused_{std::move(on_refused)}
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this,
            [this]
            {
                if (framing_.current_state() == http_framing::state::idle)
                    return disconnectFromHost();
                refuse({request_timeout_status, "the request took too long"});
            });
    connect(this, &QTcpSocket::readyRead, this, [this] { check_received_bytes(); });
    restart_timer();
}

void guarded_socket::check_received_bytes()
{
    if (closing_)
        return;
    const auto before = framing_.current_state();
    const QByteArray buf = peek(bytesAvailable());
    if (before == http_framing::state::running)
    {
        // Pipelining is not supported: the first request gets its response, then the connection closes.
        closing_ = true;
        disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
        return;
    }
    if (const auto refusal = framing_.on_bytes({buf.constData(), static_cast<std::size_t>(buf.size())}))
        return refuse(*refusal);
    if (framing_.current_state() != before)
        restart_timer();
}

void guarded_socket::refuse(const framing_refusal& refusal)
{
    closing_ = true;
    on_refused_();
    disconnect(this, &QTcpSocket::readyRead, nullptr, nullptr);
    write(refusal_response(refusal));
    // Closing a socket with unread bytes resets the connection, and the caller may lose the response.
    connect(this, &QTcpSocket::readyRead, this, [this] { readAll(); });
    readAll();
    timer_.disconnect();
    connect(&timer_, &QTimer::timeout, this, [this] { disconnectFromHost(); });
    timer_.start(linger_ms);
}

void guarded_socket::answered()
{
    if (closing_)
        return disconnectFromHost();
    framing_.on_answered();
    restart_timer();
}

void guarded_socket::restart_timer()
{
    switch (framing_.current_state())
    {
    case http_framing::state::idle: return timer_.start(bounds_.idle_timeout_ms);
    case http_framing::state::header: return timer_.start(bounds_.header_timeout_ms);
    case http_framing::state::body: return timer_.start(bounds_.body_timeout_ms);
    case http_framing::state::running: return timer_.stop();
    }
}

guarded_listener::guarded_listener(http_bounds bounds) : bounds_{bounds} {}

bool guarded_listener::has_unsent_bytes() const
{
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const guarded_socket* it) { return it->bytesToWrite() > 0; });
}

void guarded_listener::incomingConnection(qintptr descriptor)
{
    auto* socket = new guarded_socket{bounds_, [this] { ++refused_; }}; // owned by the HTTP server
    socket->setParent(this);
    if (!socket->setSocketDescriptor(descriptor))
    {
        delete socket;
        return;
    }
    if (connections_.size() >= static_cast<std::size_t>(bounds_.max_connections))
    {
        ++refused_;
        socket->write(refusal_response({unavailable_status, "too many connections"}));
        socket->disconnectFromHost();
        connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
        return;
    }
    connections_.insert(socket);
    connect(socket, &QObject::destroyed, this, [this, socket] { connections_.erase(socket); });
    socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    addPendingConnection(socket);
}

} // namespace runlink::net
