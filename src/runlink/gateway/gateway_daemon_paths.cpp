// Carried connections: questions of other instances, and where their connections lead.

#include <array>
#include <cstdint>
#include <utility>

#include <QByteArray>
#include <QRandomGenerator>

#include "runlink/gateway/gateway_daemon.hpp"

namespace runlink::gateway
{
namespace
{

constexpr std::size_t ticket_words = 4; ///< of 32 bits

std::string draw_ticket()
{
    std::array<std::uint32_t, ticket_words> words{};
    QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    const QByteArray bytes{reinterpret_cast<const char*>(words.data()), static_cast<qsizetype>(sizeof words)};
    return bytes.toHex().toStdString();
}

} // namespace

void gateway_daemon::connect_path_hooks()
{
    carrier_ticket_ = draw_ticket();
    gateway_.on_reach_query = [this](const std::vector<core::instance_id>& to, const paths::reach_query& it)
    { gossip_.send_to(to, it); };
    gateway_.carrier_address = [this](const core::instance_id& id, const core::endpoint_id& endpoint)
    { return carrier_address(id, endpoint); };
}

void gateway_daemon::on_reach_query(const paths::reach_query& it)
{
    // The ticket goes only to addresses that the store lists as instances.
    if (gossip_.host_of(it.sender).empty())
        return;
    const auto* endpoint = forwarder_.endpoints().find(it.endpoint);
    if (endpoint == nullptr || forwarder_.evacuated().contains(endpoint->failure_domain))
        return send_reach_replies(it.endpoint, std::nullopt, {it});
    auto& waiting = reach_queries_[it.endpoint];
    waiting.push_back(it);
    if (waiting.size() > 1)
        return;
    gateway_.connect_to(*endpoint,
                        [this, id = it.endpoint](core::contact contact)
                        {
                            // A failure here would raise a doubt at each instance that is asked in turn.
                            if (contact == core::contact::answered)
                                forwarder_.on_path_probed(clock_(), id, contact);
                            const auto done = reach_queries_.extract(id);
                            if (!done.empty())
                                send_reach_replies(id, contact, done.mapped());
                        });
}

void gateway_daemon::send_reach_replies(const core::endpoint_id& endpoint,
                                        std::optional<core::contact> contact,
                                        const std::vector<paths::reach_query>& to)
{
    paths::reach_reply out;
    out.sender = settings_.id;
    out.endpoint = endpoint;
    out.contact = contact;
    out.carries = !stop_began_ && carrier_.has_room() && !forwarder_.paths().is_any_lost();
    out.port = carrier_port_;
    out.ticket = carrier_ticket_;
    for (const auto& it : to)
    {
        out.number = it.number;
        gossip_.send_to({it.sender}, out);
    }
}

void gateway_daemon::on_reach_reply(core::time_point now, const paths::reach_reply& it)
{
    const auto host = gossip_.host_of(it.sender);
    if (host.empty())
        return;
    carriers_[it.sender] = {{host, it.port}, it.ticket, {}};
    forwarder_.paths().on_reply(now, it);
}

std::optional<net::carrier_address> gateway_daemon::carrier_address(const core::instance_id& id,
                                                                    const core::endpoint_id& endpoint) const
{
    const auto found = carriers_.find(id);
    if (found == carriers_.end())
        return std::nullopt;
    auto out = found->second;
    out.endpoint = endpoint.str();
    return out;
}

std::optional<net::peer_address> gateway_daemon::admit_carried(const net::carry_opening& it) const
{
    if (!net::is_same_ticket(it.ticket, carrier_ticket_))
        return std::nullopt;
    const auto* endpoint = forwarder_.endpoints().find(core::endpoint_id{it.endpoint});
    if (endpoint == nullptr || forwarder_.evacuated().contains(endpoint->failure_domain))
        return std::nullopt;
    return net::peer_address{endpoint->host, endpoint->port};
}

} // namespace runlink::gateway
