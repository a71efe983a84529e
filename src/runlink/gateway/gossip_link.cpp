#include "runlink/gateway/gossip_link.hpp"

#include <utility>

#include <QNetworkDatagram>

namespace runlink::gateway
{
namespace
{

/// What is told within this time goes into one datagram. A session's next request is seldom this close.
constexpr std::chrono::milliseconds gather_time{30};
/// Bound on one datagram, below what a link carries in one piece.
constexpr std::size_t max_runs = 50;

} // namespace

gossip_link::gossip_link(core::instance_id self, handler on_message)
    : self_{std::move(self)}, on_message_{std::move(on_message)}
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { send(); });
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_, [this] { receive(); });
}

core::result<std::uint16_t> gossip_link::bind(const std::string& host, std::uint16_t port)
{
    if (!socket_.bind(QHostAddress{QString::fromStdString(host)}, port))
        return core::failure{core::errc::settings_invalid, "peers " + host + ":" + std::to_string(port) +
                                                               ": " + socket_.errorString().toStdString()};
    return socket_.localPort();
}

void gossip_link::put_peer(const core::instance_id& id, const std::string& host, std::uint16_t port)
{
    if (id != self_)
        peers_[id] = {QHostAddress{QString::fromStdString(host)}, port};
}

void gossip_link::send_to(const core::instance_id& to, const proto::datagram& it)
{
    const auto found = peers_.find(to);
    if (found == peers_.end())
        return;
    const auto bytes = proto::encode(it);
    // A datagram that is not taken counts as lost.
    (void)socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()), found->second.host,
                                found->second.port);
}

void gossip_link::tell(const routing::session_run& it)
{
    if (peers_.empty())
        return;
    pending_.push_back(it);
    if (pending_.size() >= max_runs)
        return send();
    if (!timer_.isActive())
        timer_.start(gather_time);
}

void gossip_link::send()
{
    timer_.stop();
    routing::gossip_message out;
    out.sender = self_;
    out.runs = std::exchange(pending_, {});
    out.evidence = evidence();
    const auto bytes = proto::encode(out);
    for (const auto& [id, it] : peers_)
        // A datagram that is not taken counts as lost.
        (void)socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()), it.host, it.port);
}

void gossip_link::receive()
{
    while (socket_.hasPendingDatagrams())
    {
        const auto bytes = socket_.receiveDatagram().data();
        on_message_(proto::decode_datagram({bytes.data(), static_cast<std::size_t>(bytes.size())}));
    }
}

} // namespace runlink::gateway
