#include "runlink/net/connection_carrier.hpp"

#include <utility>

#include <QHostAddress>
#include <QNetworkProxy>

namespace runlink::net
{

connection_carrier::connection_carrier(carrier_limits limits, admission admit)
    : limits_{limits}, admit_{std::move(admit)}
{
    server_.setProxy(QNetworkProxy::NoProxy);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept_all(); });
    sweep_timer_.setSingleShot(true);
    QObject::connect(&sweep_timer_, &QTimer::timeout, &sweep_timer_, [this] { retired_.clear(); });
}

connection_carrier::~connection_carrier()
{
    const auto all = std::exchange(connections_, {});
    for (const auto& [key, it] : all)
        QObject::disconnect(it->instance.get(), nullptr, nullptr, nullptr);
}

core::result<std::uint16_t> connection_carrier::listen(const std::string& host, std::uint16_t port)
{
    if (!server_.listen(QHostAddress{QString::fromStdString(host)}, port))
        return core::failure{core::errc::settings_invalid, "peers " + host + ":" + std::to_string(port) +
                                                               ": " + server_.errorString().toStdString()};
    return server_.serverPort();
}

void connection_carrier::accept_all()
{
    while (auto* socket = server_.nextPendingConnection())
    {
        socket->setParent(nullptr);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        set_silence_timeout(static_cast<int>(socket->socketDescriptor()), limits_.silence_timeout);
        auto it = std::make_shared<connection>();
        it->instance.reset(socket);
        it->timer = std::make_unique<QTimer>();
        it->timer->setSingleShot(true);
        connections_.emplace(it.get(), it);
        // The handlers belong to objects that the connection owns, so they hold no reference to it.
        const std::weak_ptr<connection> weak = it;
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, weak]
                         {
                             if (const auto self = weak.lock())
                                 on_instance_bytes(self);
                         });
        QObject::connect(socket, &QTcpSocket::disconnected, socket,
                         [this, weak]
                         {
                             if (const auto self = weak.lock())
                                 drop(self);
                         });
        QObject::connect(it->timer.get(), &QTimer::timeout, it->timer.get(),
                         [this, weak]
                         {
                             if (const auto self = weak.lock())
                                 on_timeout(self);
                         });
        it->timer->start(limits_.opening_timeout);
        on_instance_bytes(it);
    }
}

void connection_carrier::on_timeout(const connection_ptr& it)
{
    if (it->is_finished)
        return drop(it);
    if (it->endpoint)
        return on_endpoint_ended(it, stream_end::not_connected);
    reject(it);
}

void connection_carrier::on_instance_bytes(const connection_ptr& it)
{
    if (it->is_finished)
    {
        it->instance->readAll();
        return;
    }
    if (!it->endpoint)
        return read_opening_line(it);
    const auto bytes = it->instance->readAll();
    if (bytes.isEmpty())
        return;
    it->endpoint->write({bytes.data(), static_cast<std::size_t>(bytes.size())});
    if (it->endpoint->unsent_bytes() > limits_.max_unsent_bytes)
        drop(it);
}

void connection_carrier::read_opening_line(const connection_ptr& it)
{
    if (!it->instance->canReadLine())
    {
        if (it->instance->bytesAvailable() > static_cast<qint64>(max_opening_bytes))
            reject(it);
        return;
    }
    const auto line = it->instance->readLine().chopped(1);
    const auto opening = read_opening({line.data(), static_cast<std::size_t>(line.size())});
    const auto address =
        opening && connections_.size() <= limits_.max_connections ? admit_(*opening) : std::nullopt;
    if (!address)
        return reject(it);
    connect_to(it, *address);
}

void connection_carrier::connect_to(const connection_ptr& it, const peer_address& address)
{
    const std::weak_ptr<connection> weak = it;
    tcp_stream::handlers to;
    to.connected = [this, weak]
    {
        if (const auto self = weak.lock())
            on_endpoint_connected(self);
    };
    to.bytes = [this, weak](std::string_view bytes)
    {
        if (const auto self = weak.lock())
            on_endpoint_bytes(self, bytes);
    };
    to.ended = [this, weak](stream_end how)
    {
        if (const auto self = weak.lock())
            on_endpoint_ended(self, how);
    };
    it->endpoint = std::make_unique<tcp_stream>(std::move(to));
    if (!it->endpoint->connect(address.host, address.port))
        return on_endpoint_ended(it, stream_end::not_connected);
    it->timer->start(limits_.connect_timeout);
}

void connection_carrier::on_endpoint_connected(const connection_ptr& it)
{
    it->timer->stop();
    it->is_open = true;
    it->endpoint->set_silence_timeout(limits_.silence_timeout);
    ++counters_.carried;
    const auto frame = write_frame(carry_frame::connected);
    it->instance->write(frame.data(), static_cast<qint64>(frame.size()));
    on_instance_bytes(it);
}

void connection_carrier::on_endpoint_bytes(const connection_ptr& it, std::string_view bytes)
{
    counters_.bytes += bytes.size();
    const auto frame = write_frame(carry_frame::data, bytes);
    it->instance->write(frame.data(), static_cast<qint64>(frame.size()));
    if (it->instance->bytesToWrite() > static_cast<qint64>(limits_.max_unsent_bytes))
        drop(it);
}

void connection_carrier::on_endpoint_ended(const connection_ptr& it, stream_end how)
{
    if (how == stream_end::closed)
        return finish(it, carry_frame::closed);
    if (it->is_open)
        return finish(it, carry_frame::rejected);
    ++counters_.unreached;
    finish(it, it->endpoint->was_refused() ? carry_frame::refused : carry_frame::silent);
}

void connection_carrier::finish(const connection_ptr& it, carry_frame type)
{
    it->is_finished = true;
    it->timer->stop();
    if (it->endpoint)
        it->endpoint->abort();
    const auto frame = write_frame(type);
    it->instance->write(frame.data(), static_cast<qint64>(frame.size()));
    if (!it->is_open)
        return it->instance->disconnectFromHost(); // after the bytes that wait have been sent
    it->instance->readAll();
    it->timer->start(limits_.closing_timeout);
    QObject::connect(it->instance.get(), &QTcpSocket::bytesWritten, it->timer.get(),
                     [this, timer = it->timer.get()] { timer->start(limits_.closing_timeout); });
}

void connection_carrier::reject(const connection_ptr& it)
{
    ++counters_.rejected;
    finish(it, carry_frame::rejected);
}

void connection_carrier::drop(const connection_ptr& it)
{
    if (connections_.erase(it.get()) == 0)
        return;
    it->timer->stop();
    if (it->endpoint)
        it->endpoint->abort();
    QObject::disconnect(it->instance.get(), nullptr, nullptr, nullptr);
    it->instance->abort();
    retired_.push_back(it);
    if (!sweep_timer_.isActive())
        sweep_timer_.start(0);
}

} // namespace runlink::net
