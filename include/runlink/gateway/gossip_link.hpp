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

/// Datagrams that the operating system refused to send since the start.
struct datagram_failures
{
    std::uint64_t count = 0;
    std::string last_error;
    std::size_t last_bytes = 0;
};

/// Sends messages to other instances as datagrams, and batches frequent ones for a short time. Datagrams may
/// be lost: their contents improve decisions but correctness does not depend on them.
class gossip_link
{
public:
    using handler = std::function<void(const proto::datagram&)>;

    gossip_link(core::instance_id self, core::failure_domain_id own_domain, handler on_message);
    gossip_link(const gossip_link&) = delete;
    gossip_link& operator=(const gossip_link&) = delete;

    core::result<std::uint16_t> bind(const std::string& host, std::uint16_t port);
    /// Adds or updates another instance; the entry of this instance is ignored.
    void put_peer(const control::peer_entry& it);
    void remove_peer(const core::instance_id& id) { peers_.erase(id); }
    /// Address of a peer; empty if the instance is not one.
    std::string host_of(const core::instance_id& id) const;
    std::size_t peer_count() const { return peers_.size(); }
    /// Number of peers in the own failure domain.
    std::size_t count_in_domain() const;
    /// Sets the address of an instance that is not yet a peer. It receives only messages sent to its id.
    void put_address(const core::instance_id& id, const std::string& host, std::uint16_t port);

    /// Sets the version of the configuration in force, which some messages carry.
    void set_configuration_version(std::uint64_t it) { configuration_version_ = it; }

    void send_to(const std::vector<core::instance_id>& to, const proto::datagram& it);
    // `broadcast` sends to all peers. Session runs, prompts and answers are batched for a short time; prompts
    // and answers may be restricted to the own failure domain.
    void broadcast(const routing::session_run& it);
    void broadcast(std::vector<routing::version_evidence> it);
    void broadcast(const routing::prompt_sent& it);
    void broadcast(const routing::prompt_answered& it);
    void broadcast(const load::stream_ended& it);
    /// Sent immediately: the sender has batched them. They go where prompts go.
    void broadcast(const std::vector<load::request_counts>& it);
    /// Sent immediately: each copy of the request that another instance sends meanwhile may crash an
    /// endpoint.
    void broadcast(const crashes::crash_message& it) { send_to_all(it, false); }
    /// Sent immediately: requests sent to an endpoint that shuts down may be interrupted.
    void broadcast(const routing::leaving_notices& it) { send_to_all(it, false); }
    /// Sent immediately: other instances delay their own sends to stay within the limit.
    void broadcast(const places::limit_reports& it) { send_to_all(it, false); }
    /// Sends to the instances of the own failure domain.
    void broadcast_in_domain(const proto::datagram& it) { send_to_all(it, true); }
    /// Whether prompts and answers are also sent to instances of other failure domains.
    bool sends_prompts_to_all_domains() const { return peers_.size() <= max_peers_for_all_domains_; }
    /// Number of peers up to which prompts and answers are sent to every peer.
    void set_max_peers_for_all_domains(std::size_t it) { max_peers_for_all_domains_ = it; }
    const datagram_failures& not_sent() const { return not_sent_; }

private:
    struct peer
    {
        QHostAddress host;
        std::uint16_t port = 0;
        bool in_own_domain = false; ///< in the failure domain of this instance
    };

    /// Identifies a part of the store's items that a relay sends to many instances one after the other.
    struct part_key
    {
        core::store_revision since;
        core::store_revision revision;
        core::store_revision complete_since;

        friend auto operator<=>(const part_key&, const part_key&) = default;
    };

    /// The bytes of a datagram. Parts of the store's items are encoded and compressed once: what changes in
    /// them later is contained in later parts as well.
    QByteArray bytes_of(const proto::datagram& it);
    void send_runs();
    void send_prompts();
    routing::gossip_message new_message() const;
    void start_prompt_timer();
    void send_to_all(const proto::datagram& it, bool own_domain_only);
    void receive();
    /// Sends a datagram. A failure is counted in `not_sent_` and not retried.
    void write(const peer& to, const QByteArray& bytes);

    core::instance_id self_;
    core::failure_domain_id own_domain_;
    handler on_message_;
    /// Traffic grows with the square of the number of instances that send to each other. At 91 instances it
    /// takes 0.0024 of a core of each. At 295 instances, sending to every peer took 605 s of processor time
    /// and 0.36 GB between failure domains on a quiet day. Sending within the failure domain, with sums
    /// between domains, took 276 s and 0.14 GB (processor time and bytes of a day as the platform charges
    /// them).
    std::uint64_t configuration_version_ = 0;
    std::size_t max_peers_for_all_domains_ = 128;
    QUdpSocket socket_;
    QTimer run_timer_;
    QTimer prompt_timer_;
    std::map<core::instance_id, peer> peers_;
    std::map<core::instance_id, peer> addresses_; ///< of instances that are not peers
    datagram_failures not_sent_;
    std::map<part_key, QByteArray> parts_;
    std::vector<routing::session_run> pending_runs_;
    std::vector<routing::prompt_sent> pending_prompts_;
    std::vector<routing::prompt_answered> pending_answers_;
    std::vector<load::stream_ended> pending_ends_;
};

} // namespace runlink::gateway
