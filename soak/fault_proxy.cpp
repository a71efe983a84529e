#include "soak/fault_proxy.hpp"

#include <stdexcept>
#include <utility>
#include <vector>

#include <QTimer>

namespace runlink::soak
{

fault_proxy::fault_proxy(std::uint16_t target) : target_{target}
{
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept(); });
    if (!server_.listen(QHostAddress::LocalHost, 0))
        throw std::runtime_error{"no port for a proxy: " + server_.errorString().toStdString()};
    port_ = server_.serverPort();
}

fault_proxy::~fault_proxy()
{
    reset_all();
}

void fault_proxy::set_fault(link_fault it)
{
    fault_ = it;
    if (it == link_fault::down)
    {
        server_.close();
        return reset_all();
    }
    listen();
    std::vector<link_ptr> all;
    for (const auto& [key, e] : links_)
        all.push_back(e);
    for (const auto& e : all)
        for (const bool to_far : {true, false})
            pass(e, to_far);
}

void fault_proxy::listen()
{
    constexpr core::milliseconds retry{50};
    if (fault_ == link_fault::down || server_.isListening() || server_.listen(QHostAddress::LocalHost, port_))
        return;
    QTimer::singleShot(retry, &server_, [this] { listen(); });
}

void fault_proxy::reset_all()
{
    on_reset();
    while (!links_.empty())
    {
        const auto it = links_.begin()->second; // outlives its place in the map
        end(it, false);
    }
}

void fault_proxy::accept()
{
    while (auto* socket = server_.nextPendingConnection())
    {
        auto it = std::make_shared<link>();
        it->near.reset(socket);
        socket->setParent(nullptr);
        if (fault_ == link_fault::refuse)
        {
            end(it, false);
            continue;
        }
        it->far = std::make_unique<QTcpSocket>();
        links_[it.get()] = it;
        const std::weak_ptr weak{it};
        const auto on = [this, weak](bool to_far)
        {
            if (const auto e = weak.lock())
                pass(e, to_far);
        };
        const auto on_end = [this, weak]
        {
            const auto e = weak.lock();
            if (e && links_.contains(e.get()) && fault_ != link_fault::silent)
                end(e, e->near->error() == QAbstractSocket::RemoteHostClosedError ||
                           e->far->error() == QAbstractSocket::RemoteHostClosedError);
        };
        QObject::connect(it->near.get(), &QTcpSocket::readyRead, it->near.get(), [on] { on(true); });
        QObject::connect(it->far.get(), &QTcpSocket::readyRead, it->far.get(), [on] { on(false); });
        QObject::connect(it->far.get(), &QTcpSocket::connected, it->far.get(), [on] { on(true); });
        for (auto* e : {it->near.get(), it->far.get()})
            QObject::connect(e, &QTcpSocket::disconnected, e, on_end);
        QObject::connect(it->far.get(), &QTcpSocket::errorOccurred, it->far.get(), on_end);
        it->far->connectToHost(QHostAddress::LocalHost, target_);
    }
}

bool fault_proxy::holds(bool to_far) const
{
    return fault_ == link_fault::silent || (fault_ == link_fault::cut_answers && !to_far);
}

void fault_proxy::pass(const link_ptr& it, bool to_far)
{
    if (holds(to_far) || it->far->state() != QTcpSocket::ConnectedState)
        return;
    const auto bytes = (to_far ? it->near : it->far)->readAll();
    if (bytes.isEmpty())
        return;
    const auto after = distance + (fault_ == link_fault::delay ? delay : core::milliseconds{});
    if (after.count() > 0 || !(to_far ? it->waiting_to_far : it->waiting_to_near).empty())
        return write_later(it, to_far, after, bytes);
    (to_far ? it->far : it->near)->write(bytes);
}

void fault_proxy::write_later(const link_ptr& it, bool to_far, core::milliseconds after,
                              const QByteArray& bytes)
{
    (to_far ? it->waiting_to_far : it->waiting_to_near).push_back(bytes);
    QTimer::singleShot(after, &server_,
                       [this, it, to_far]
                       {
                           if (!links_.contains(it.get()))
                               return;
                           auto& waiting = to_far ? it->waiting_to_far : it->waiting_to_near;
                           (to_far ? it->far : it->near)->write(waiting.front());
                           waiting.pop_front();
                       });
}

void fault_proxy::end(const link_ptr& it, bool in_order)
{
    links_.erase(it.get());
    for (auto* socket : {it->near.get(), it->far.get()})
    {
        if (socket == nullptr)
            continue;
        socket->disconnect();
        if (in_order)
            socket->disconnectFromHost();
        else
            socket->abort();
    }
    // One of the two may be delivering a signal now, and may have bytes to send.
    constexpr core::milliseconds linger{1000};
    QTimer::singleShot(linger, [it] { it->near->abort(); });
}

} // namespace runlink::soak
