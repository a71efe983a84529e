#include "runlink/gateway/gossip_link.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <QNetworkDatagram>
#include <QtEndian>

namespace runlink::gateway
{
namespace
{

/// Session runs are batched into one datagram for this long. The next request of a session rarely follows
/// sooner.
constexpr std::chrono::milliseconds run_batch_time{30};
/// Batching time for prompts: an endpoint takes several times as long to read a long one.
constexpr std::chrono::milliseconds prompt_batch_time{60};
/// Session runs per datagram, which keeps it below the size that a link carries unfragmented.
constexpr std::size_t max_runs_per_datagram = 50;
/// Messages of at least this size are compressed. Configurations shrink to a fifth or less, endpoint lists to
/// a tenth.
constexpr std::size_t min_bytes_to_compress = 600;
/// Limit of the uncompressed size. Larger datagrams are treated as damaged.
constexpr std::uint32_t max_uncompressed_bytes = 4 * 1024 * 1024;
/// The fastest level: the links are local and the processors are small.
constexpr int compression_level = 1;
/// Encoded parts of the store's items that are kept; the items of a large fleet take some ten parts.
constexpr std::size_t max_known_parts = 64;
/// First byte of a datagram, which tells whether the rest is compressed.
constexpr char uncompressed_mark = 0;
constexpr char compressed_mark = 1;

QByteArray pack(const std::string& message)
{
    const QByteArray plain{message.data(), static_cast<qsizetype>(message.size())};
    if (message.size() < min_bytes_to_compress)
        return uncompressed_mark + plain;
    return compressed_mark + qCompress(plain, compression_level);
}

/// Returns the message of a datagram; empty if the datagram is damaged.
QByteArray unpack(const QByteArray& datagram)
{
    auto body = datagram.sliced(std::min<qsizetype>(1, datagram.size()));
    if (datagram.startsWith(uncompressed_mark))
        return body;
    // Qt's format starts with the uncompressed length.
    constexpr qsizetype length_bytes = sizeof(std::uint32_t);
    if (!datagram.startsWith(compressed_mark) || body.size() < length_bytes ||
        qFromBigEndian<std::uint32_t>(body.constData()) > max_uncompressed_bytes)
        return {};
    return qUncompress(body);
}

} // namespace

gossip_link::gossip_link(core::instance_id self, core::failure_domain_id own_domain, handler on_message)
    : self_{std::move(self)}, own_domain_{std::move(own_domain)}, on_message_{std::move(on_message)}
{
    run_timer_.setSingleShot(true);
    QObject::connect(&run_timer_, &QTimer::timeout, &run_timer_, [this] { send_runs(); });
    prompt_timer_.setSingleShot(true);
    QObject::connect(&prompt_timer_, &QTimer::timeout, &prompt_timer_, [this] { send_prompts(); });
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_, [this] { receive(); });
}

core::result<std::uint16_t> gossip_link::bind(const std::string& host, std::uint16_t port)
{
    if (!socket_.bind(QHostAddress{QString::fromStdString(host)}, port))
        return core::failure{core::errc::settings_invalid, "peers " + host + ":" + std::to_string(port) +
                                                               ": " + socket_.errorString().toStdString()};
    return socket_.localPort();
}

void gossip_link::put_peer(const control::peer_entry& it)
{
    if (it.id == self_)
        return;
    peers_[it.id] = {QHostAddress{QString::fromStdString(it.host)}, it.port,
                     it.failure_domain == own_domain_};
    addresses_.erase(it.id);
}

std::string gossip_link::host_of(const core::instance_id& id) const
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? std::string{} : found->second.host.toString().toStdString();
}

std::size_t gossip_link::count_in_domain() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [](const auto& it) { return it.second.in_own_domain; }));
}

void gossip_link::put_address(const core::instance_id& id, const std::string& host, std::uint16_t port)
{
    addresses_[id] = {QHostAddress{QString::fromStdString(host)}, port};
}

QByteArray gossip_link::bytes_of(const proto::datagram& it)
{
    const auto* part = std::get_if<control::sync_reply>(&it);
    if (part == nullptr || part->number != 0 || !part->has_more)
        return pack(proto::encode(it));
    const part_key key{part->since, part->store_revision, part->complete_since};
    const auto known = parts_.find(key);
    if (known != parts_.end())
        return known->second;
    if (parts_.size() >= max_known_parts)
        parts_.clear();
    return parts_.emplace(key, pack(proto::encode(it))).first->second;
}

void gossip_link::send_to(const std::vector<core::instance_id>& to, const proto::datagram& it)
{
    const auto bytes = bytes_of(it);
    for (const auto& id : to)
        if (const auto peer = peers_.find(id); peer != peers_.end())
            write(peer->second, bytes);
        else if (const auto address = addresses_.find(id); address != addresses_.end())
            write(address->second, bytes);
}

void gossip_link::write(const peer& to, const QByteArray& bytes)
{
    if (socket_.writeDatagram(bytes, to.host, to.port) == bytes.size())
        return;
    ++not_sent_.count;
    not_sent_.last_error = socket_.errorString().toStdString();
    not_sent_.last_bytes = static_cast<std::size_t>(bytes.size());
}

void gossip_link::broadcast(const routing::session_run& it)
{
    if (peers_.empty())
        return;
    pending_runs_.push_back(it);
    if (pending_runs_.size() >= max_runs_per_datagram)
        return send_runs();
    if (!run_timer_.isActive())
        run_timer_.start(run_batch_time);
}

void gossip_link::broadcast(const routing::prompt_sent& it)
{
    if (peers_.empty())
        return;
    pending_prompts_.push_back(it);
    start_prompt_timer();
}

void gossip_link::broadcast(const routing::prompt_answered& it)
{
    if (peers_.empty())
        return;
    pending_answers_.push_back(it);
    start_prompt_timer();
}

void gossip_link::broadcast(const load::stream_ended& it)
{
    if (peers_.empty())
        return;
    pending_ends_.push_back(it);
    start_prompt_timer();
}

routing::gossip_message gossip_link::new_message() const
{
    routing::gossip_message out;
    out.configuration_version = configuration_version_;
    return out;
}

void gossip_link::start_prompt_timer()
{
    if (!prompt_timer_.isActive())
        prompt_timer_.start(prompt_batch_time);
}

void gossip_link::send_prompts()
{
    auto out = new_message();
    out.prompts = std::exchange(pending_prompts_, {});
    out.answers = std::exchange(pending_answers_, {});
    out.ended = std::exchange(pending_ends_, {});
    send_to_all(out, !sends_prompts_to_all_domains());
}

void gossip_link::send_to_all(const proto::datagram& it, bool own_domain_only)
{
    const auto bytes = pack(proto::encode(it));
    for (const auto& [id, to] : peers_)
        if (to.in_own_domain || !own_domain_only)
            write(to, bytes);
}

void gossip_link::send_runs()
{
    run_timer_.stop();
    auto out = new_message();
    out.sender = self_;
    out.runs = std::exchange(pending_runs_, {});
    send_to_all(out, false);
}

void gossip_link::broadcast(std::vector<routing::version_evidence> it)
{
    auto out = new_message();
    out.sender = self_;
    out.evidence = std::move(it);
    send_to_all(out, false);
}

void gossip_link::broadcast(const std::vector<load::request_counts>& it)
{
    auto out = new_message();
    out.sender = self_;
    out.counts = it;
    send_to_all(out, !sends_prompts_to_all_domains());
}

void gossip_link::receive()
{
    while (socket_.hasPendingDatagrams())
    {
        const auto datagram = socket_.receiveDatagram();
        const auto bytes = unpack(datagram.data());
        const auto message = proto::decode_datagram({bytes.data(), static_cast<std::size_t>(bytes.size())});
        // A seed is known only by its address until its entry is listed.
        if (const auto* reply = std::get_if<control::sync_reply>(&message))
            if (!peers_.contains(reply->sender))
                addresses_[reply->sender] = {datagram.senderAddress(),
                                             static_cast<std::uint16_t>(datagram.senderPort())};
        on_message_(message);
    }
}

} // namespace runlink::gateway
