#include "runlink/net/http_listener.hpp"

#include <utility>
#include <vector>

#include <sys/ioctl.h>

#include <QHostAddress>
#include <QNetworkProxy>

namespace runlink::net
{
namespace
{

/// Room for a burst of new connections, such as all callers of a failed instance reconnecting at once.
constexpr int listen_backlog = 512;
constexpr qint64 read_buffer_bytes = 256 * 1024;
/// Requests of one connection that are handled before the event loop runs again.
constexpr std::size_t max_requests_a_turn = 64;
/// While more bytes than this wait for the caller, its next request is not read.
constexpr std::size_t max_unsent_before_next = 64 * 1024;

} // namespace

caller_connection::caller_connection(std::unique_ptr<QTcpSocket> socket, const listener_limits& limits,
                                     handlers to)
    : socket_{std::move(socket)}, handlers_{std::move(to)},
      reader_{{[this](const http_request_head& it)
               {
                   head_ = it;
                   if (it.fields.has_token("Expect", "100-continue"))
                       write("HTTP/1.1 100 Continue\r\n\r\n");
               },
               [this](std::string_view it) { body_.append(it); }, [this] { busy_ = true; }}},
      last_activity_{core::runtime_clock::now()}
{
    reader_.set_limits(limits.message);
    socket_->setReadBufferSize(read_buffer_bytes);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, socket_.get(), [this] { on_readable(); });
    QObject::connect(socket_.get(), &QTcpSocket::disconnected, socket_.get(), [this] { on_disconnected(); });
    QObject::connect(socket_.get(), &QTcpSocket::bytesWritten, socket_.get(), [this] { read_requests(); });
    resume_timer_.setSingleShot(true);
    QObject::connect(&resume_timer_, &QTimer::timeout, &resume_timer_, [this] { read_requests(); });
}

caller_connection::~caller_connection()
{
    QObject::disconnect(socket_.get(), nullptr, socket_.get(), nullptr);
}

std::size_t caller_connection::unsent_bytes() const
{
    return static_cast<std::size_t>(socket_->bytesToWrite());
}

void caller_connection::on_readable()
{
    if (!busy_)
        last_activity_ = core::runtime_clock::now();
    read_requests();
}

void caller_connection::read_requests()
{
    // A response that is finished inside its handler returns here: the loop below goes on with the next
    // request.
    if (is_reading_)
        return;
    const auto self = shared_from_this();
    is_reading_ = true;
    std::size_t requests = 0;
    // Bytes after a request stay in the socket's bounded buffer until the request has its response.
    while (!busy_ && !closed_ && !ending_ && unsent_bytes() <= max_unsent_before_next)
    {
        if (++requests > max_requests_a_turn)
        {
            resume_timer_.start(0);
            break;
        }
        if (!read_request())
            break;
    }
    is_reading_ = false;
}

bool caller_connection::read_request()
{
    if (std::exchange(next_is_due_, false))
    {
        on_result(reader_.next());
        return true;
    }
    const auto bytes = socket_->readAll();
    if (bytes.isEmpty())
        return false;
    on_result(reader_.feed({bytes.data(), static_cast<std::size_t>(bytes.size())}));
    return true;
}

void caller_connection::on_result(codec_error ec)
{
    if (ec != codec_error::none)
    {
        busy_ = true;
        handlers_.bad_request(shared_from_this(), ec);
        return;
    }
    if (busy_)
        handlers_.request(shared_from_this(), head_, std::exchange(body_, {}));
}

void caller_connection::write(std::string_view bytes)
{
    if (!closed_)
        socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
}

void caller_connection::finish(bool close)
{
    busy_ = false;
    on_left = nullptr;
    if (closed_)
        return;
    last_activity_ = core::runtime_clock::now();
    if (close || !head_.keep_alive)
        return end_after_flush();
    next_is_due_ = true;
    read_requests();
}

void caller_connection::end_after_flush()
{
    ending_ = true;
    socket_->disconnectFromHost();
}

void caller_connection::break_off()
{
    busy_ = false;
    on_left = nullptr;
    if (!closed_)
        end_after_flush();
}

void caller_connection::reset()
{
    busy_ = false;
    on_left = nullptr;
    if (!closed_)
        socket_->abort();
}

void caller_connection::detach_from_listener()
{
    handlers_.request = [](const auto&, const auto&, const auto&) {};
    handlers_.bad_request = [](const auto&, codec_error) {};
    handlers_.closed = [](const caller_connection*) {};
    reset();
}

void caller_connection::on_disconnected()
{
    if (std::exchange(closed_, true))
        return;
    const auto self = shared_from_this();
    const auto left = std::exchange(on_left, nullptr);
    busy_ = false;
    handlers_.closed(this);
    if (left)
        left();
}

void caller_connection::check_timeouts(core::time_point now, const listener_limits& limits)
{
    if (busy_ || closed_ || ending_)
        return;
    const auto idle_time = now - last_activity_;
    if (reader_.in_message() && idle_time >= limits.header_timeout)
        return on_result(codec_error::malformed);
    if (idle_time >= limits.idle_timeout)
        end_after_flush();
}

bool caller_connection::has_unread_bytes() const
{
    // Bytes that arrived since the event loop last polled are still in the kernel's buffer.
    int waiting = 0;
    const bool is_known = ::ioctl(static_cast<int>(socket_->socketDescriptor()), FIONREAD, &waiting) == 0;
    return socket_->bytesAvailable() > 0 || (is_known && waiting > 0);
}

void caller_connection::close_if_idle()
{
    if (is_idle() && !closed_ && !has_unread_bytes())
        end_after_flush();
}

// Listener

http_listener::http_listener(request_handler on_request, bad_request_handler on_bad_request)
    : on_request_{std::move(on_request)}, on_bad_request_{std::move(on_bad_request)}
{
    server_.setProxy(QNetworkProxy::NoProxy);
    server_.setListenBacklogSize(listen_backlog);
    server_.setMaxPendingConnections(listen_backlog);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept_all(); });
    sweep_timer_.setSingleShot(true);
    QObject::connect(&sweep_timer_, &QTimer::timeout, &sweep_timer_, [this] { retired_.clear(); });
}

http_listener::~http_listener()
{
    // Other holders of the shared pointers may keep connections alive after the listener is destroyed.
    const auto all = std::exchange(connections_, {});
    for (const auto& [key, it] : all)
        it->detach_from_listener();
}

core::result<std::uint16_t> http_listener::listen(const std::string& host, std::uint16_t port)
{
    if (!server_.listen(QHostAddress{QString::fromStdString(host)}, port))
        return core::failure{core::errc::settings_invalid, "listen " + host + ":" + std::to_string(port) +
                                                               ": " + server_.errorString().toStdString()};
    return server_.serverPort();
}

void http_listener::accept_all()
{
    while (auto* socket = server_.nextPendingConnection())
    {
        socket->setParent(nullptr);
        caller_connection::handlers to;
        to.request = on_request_;
        to.bad_request = on_bad_request_;
        to.closed = [this](const caller_connection* it) { retire(it); };
        auto it =
            std::make_shared<caller_connection>(std::unique_ptr<QTcpSocket>{socket}, limits_, std::move(to));
        connections_.emplace(it.get(), it);
    }
}

void http_listener::retire(const caller_connection* connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end())
        return;
    retired_.push_back(std::move(found->second));
    connections_.erase(found);
    if (!sweep_timer_.isActive())
        sweep_timer_.start(0);
}

void http_listener::check_timeouts()
{
    const auto now = core::runtime_clock::now();
    const auto all = connections_;
    for (const auto& [key, it] : all)
        it->check_timeouts(now, limits_);
}

void http_listener::close_idle()
{
    const auto all = connections_;
    for (const auto& [key, it] : all)
        it->close_if_idle();
}

} // namespace runlink::net
