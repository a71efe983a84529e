/// \file
/// Datagrams between forwarding instances.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <QHostAddress>
#include <QTimer>
#include <QUdpSocket>

#include "runlink/control/peer_entry.hpp"
#include "runlink/core/failure.hpp"
#include "runlink/proto/gossip_codec.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::gateway
{

/// Datagrams that the system did not take, since the start.
struct datagram_failures
{
    std::uint64_t count = 0;
    std::string last_error;
    std::size_t last_bytes = 0;
};

/// Gathers what is to be told for a moment and sends it to all peers. Datagrams may be lost: what they carry
/// only makes decisions better.
class gossip_link
{
public:
    using handler = std::function<void(const proto::datagram&)>;

    gossip_link(core::instance_id self, core::failure_domain_id own_domain, handler on_message);
    gossip_link(const gossip_link&) = delete;
    gossip_link& operator=(const gossip_link&) = delete;

    core::result<std::uint16_t> bind(const std::string& host, std::uint16_t port);
    /// Another instance.
    void put_peer(const control::peer_entry& it);
    void remove_peer(const core::instance_id& id) { peers_.erase(id); }
    std::size_t peer_count() const { return peers_.size(); }
    /// An address that may be an instance's: it gets only what is sent to it by this id.
    void put_address(const core::instance_id& id, const std::string& host, std::uint16_t port);

    void send_to(const std::vector<core::instance_id>& to, const proto::datagram& it);
    void tell(const routing::session_run& it);
    void tell(std::vector<routing::version_evidence> it);
    void tell(const routing::prompt_sent& it);
    void tell(const routing::prompt_answered& it);
    /// At once: each copy that another instance sends meanwhile may cost an endpoint.
    void tell(const crashes::crash_message& it) { send_to_all(it, false); }
    /// At once: what an endpoint that leaves is sent may be cut.
    void tell(const routing::leaving_notices& it) { send_to_all(it, false); }
    /// At once: the others put off their own sends.
    void tell(const places::limit_reports& it) { send_to_all(it, false); }
    void tell_near(const proto::datagram& it) { send_to_all(it, true); }
    /// Whether prompts and answers are told to instances of other failure domains as well.
    bool tells_far() const { return peers_.size() <= most_far_peers_; }
    /// Other instances up to which all tell all.
    void set_most_far_peers(std::size_t it) { most_far_peers_ = it; }
    const datagram_failures& not_sent() const { return not_sent_; }

private:
    struct peer
    {
        QHostAddress host;
        std::uint16_t port = 0;
        bool is_near = false; ///< in the own failure domain
    };

    void send();
    void send_prompts();
    void start_prompts_timer();
    void send_to_all(const proto::datagram& it, bool only_near);
    void receive();
    /// A datagram that is not taken counts as lost, and as not sent.
    void write(const peer& to, const QByteArray& bytes);

    core::instance_id self_;
    core::failure_domain_id own_domain_;
    handler on_message_;
    /// What is told grows with the square of those who tell each other. At 91 instances it takes 0.0024 of a
    /// core of each. At 295 telling all took 605 s of processor time and 0.36 GB between failure domains on a
    /// quiet day; told near, with sums between failure domains, 276 s and 0.14 GB (processor time and bytes
    /// of a day as the platform charges them).
    std::size_t most_far_peers_ = 128;
    QUdpSocket socket_;
    QTimer timer_;
    QTimer prompts_timer_;
    std::map<core::instance_id, peer> peers_;
    std::map<core::instance_id, peer> addresses_; ///< of those that are not peers
    datagram_failures not_sent_;
    std::vector<routing::session_run> pending_;
    std::vector<routing::prompt_sent> pending_prompts_;
    std::vector<routing::prompt_answered> pending_answers_;
};

} // namespace runlink::gateway
