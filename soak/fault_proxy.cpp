#include "soak/fault_proxy.hpp"

#include <stdexcept>
#include <utility>
#include <vector>

#include <QTimer>

namespace runlink::soak
{

fault_proxy::fault_proxy(std::uint16_t target, const std::string& host, std::uint16_t port)
    : target_{target}, host_{QString::fromStdString(host)}
{
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept(); });
    if (!server_.listen(host_, port))
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
    silent_port_.reset();
    if (!accepts_connections())
        server_.close();
    if (it == link_fault::down)
        return reset_all();
    if (it == link_fault::unanswered)
        silent_port_ = std::make_unique<tests::silent_port>(host_.toString().toStdString(), port_);
    listen();
    std::vector<link_ptr> all;
    for (const auto& [key, e] : links_)
        all.push_back(e);
    for (const auto& e : all)
        for (const bool to_server : {true, false})
            pass(e, to_server);
}

void fault_proxy::listen()
{
    constexpr core::milliseconds retry{50};
    if (!accepts_connections() || server_.isListening() || server_.listen(host_, port_))
        return;
    QTimer::singleShot(retry, &server_, [this] { listen(); });
}

void fault_proxy::reset_all()
{
    on_reset();
    while (!links_.empty())
    {
        const auto it = links_.begin()->second; // keeps the link alive after its removal from the map
        end(it, false);
    }
}

void fault_proxy::accept()
{
    while (auto* socket = server_.nextPendingConnection())
    {
        auto it = std::make_shared<link>();
        it->client_side.reset(socket);
        socket->setParent(nullptr);
        if (fault_ == link_fault::refuse)
        {
            end(it, false);
            continue;
        }
        it->server_side = std::make_unique<QTcpSocket>();
        links_[it.get()] = it;
        const std::weak_ptr weak{it};
        const auto on = [this, weak](bool to_server)
        {
            if (const auto e = weak.lock())
                pass(e, to_server);
        };
        const auto on_end = [this, weak]
        {
            const auto e = weak.lock();
            if (e && links_.contains(e.get()) && fault_ != link_fault::silent &&
                fault_ != link_fault::unanswered)
                end(e, e->client_side->error() == QAbstractSocket::RemoteHostClosedError ||
                           e->server_side->error() == QAbstractSocket::RemoteHostClosedError);
        };
        QObject::connect(it->client_side.get(), &QTcpSocket::readyRead, it->client_side.get(),
                         [on] { on(true); });
        QObject::connect(it->server_side.get(), &QTcpSocket::readyRead, it->server_side.get(),
                         [on] { on(false); });
        QObject::connect(it->server_side.get(), &QTcpSocket::connected, it->server_side.get(),
                         [on] { on(true); });
        for (auto* e : {it->client_side.get(), it->server_side.get()})
            QObject::connect(e, &QTcpSocket::disconnected, e, on_end);
        QObject::connect(it->server_side.get(), &QTcpSocket::errorOccurred, it->server_side.get(), on_end);
        it->server_side->connectToHost(QHostAddress::LocalHost, target_);
    }
}

bool fault_proxy::accepts_connections() const
{
    return fault_ != link_fault::down && fault_ != link_fault::closed && fault_ != link_fault::unanswered;
}

bool fault_proxy::is_blocked(bool to_server) const
{
    return fault_ == link_fault::silent || fault_ == link_fault::unanswered ||
           (fault_ == link_fault::cut_answers && !to_server);
}

void fault_proxy::pass(const link_ptr& it, bool to_server)
{
    if (is_blocked(to_server) || it->server_side->state() != QTcpSocket::ConnectedState)
        return;
    const auto bytes = (to_server ? it->client_side : it->server_side)->readAll();
    if (bytes.isEmpty())
        return;
    const auto after = base_delay + (fault_ == link_fault::delay ? delay : core::milliseconds{});
    if (after.count() > 0 || !(to_server ? it->waiting_to_server : it->waiting_to_client).empty())
        return write_later(it, to_server, after, bytes);
    (to_server ? it->server_side : it->client_side)->write(bytes);
}

void fault_proxy::write_later(const link_ptr& it, bool to_server, core::milliseconds after,
                              const QByteArray& bytes)
{
    (to_server ? it->waiting_to_server : it->waiting_to_client).push_back(bytes);
    QTimer::singleShot(after, &server_,
                       [this, it, to_server]
                       {
                           if (!links_.contains(it.get()))
                               return;
                           auto& waiting = to_server ? it->waiting_to_server : it->waiting_to_client;
                           (to_server ? it->server_side : it->client_side)->write(waiting.front());
                           waiting.pop_front();
                       });
}

void fault_proxy::end(const link_ptr& it, bool graceful)
{
    links_.erase(it.get());
    for (auto* socket : {it->client_side.get(), it->server_side.get()})
    {
        if (socket == nullptr)
            continue;
        socket->disconnect();
        if (graceful)
            socket->disconnectFromHost();
        else
            socket->abort();
    }
    // Keeps both sockets alive: one may be emitting a signal or have unsent bytes.
    constexpr core::milliseconds linger{1000};
    QTimer::singleShot(linger, [it] { it->client_side->abort(); });
}

} // namespace runlink::soak
