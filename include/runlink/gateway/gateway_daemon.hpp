/// \file
/// One instance that forwards requests: the edge, the forwarder, and its view of the store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <QTimer>

#include "runlink/control/documents.hpp"
#include "runlink/control/finding_registry.hpp"
#include "runlink/control/fleet_join.hpp"
#include "runlink/control/member_registry.hpp"
#include "runlink/control/relay.hpp"
#include "runlink/control/store_follower.hpp"
#include "runlink/gateway/gateway.hpp"
#include "runlink/gateway/gateway_settings.hpp"
#include "runlink/gateway/gossip_link.hpp"
#include "runlink/gateway/kv_http_store.hpp"
#include "runlink/gateway/loop_watch.hpp"

namespace runlink::gateway
{

/// How a deployment spells what goes over its wires.
struct deployment_binding
{
    header_names headers;
    control::document_codec documents;
    control::kv_wire store;
};

/// Wires the parts together and runs them on the event loop of the thread.
class gateway_daemon
{
public:
    gateway_daemon(gateway_settings settings, deployment_binding binding);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;

    core::result<void> start();
    /// Not ready from now on; goes on serving until nothing is under way or the grace is nearly over.
    void begin_stop();
    /// Settings that may change in a running process are taken over.
    void reload(const core::result<gateway_settings>& it);
    std::function<void()> on_stopped = [] {};

    bool is_ready() const;
    std::uint16_t callers_port() const { return callers_port_; }
    std::uint16_t readiness_port() const { return readiness_port_; }
    const kv_call_counters& store_calls() const { return store_.counters(); }
    std::size_t peer_count() const { return gossip_.peer_count(); }

private:
    /// Age of the configuration from which no key admits a request; nothing where keys do not expire.
    std::optional<core::milliseconds> max_key_age() const;
    routing::forwarder_options forwarder_options() const;
    control::follower_hooks follower_hooks();
    control::relay_hooks relay_hooks();

    void on_listed(core::time_point now, const std::vector<control::kv_item>& items);
    void on_changed(core::time_point now, const control::kv_event& it);
    /// `written_at`: when the item was written, as far as is known.
    void take(core::time_point now, const control::kv_item& item, core::time_point written_at);
    void take_table(core::time_point now, const routing::routing_table_ptr& it, std::uint64_t revision);
    void take_endpoint(core::time_point now, const routing::endpoint_entry& it);
    void on_datagram(const proto::datagram& it);
    void on_gossip(core::time_point now, const routing::gossip_message& it);
    control::join_hooks join_hooks();
    /// Instances that may be there at the start, but not this one.
    std::vector<core::instance_id> seeds() const;
    control::peer_entry own_entry() const;
    /// Sends a question with the own entry, so that the answer finds the way.
    void ask(const core::instance_id& to, control::sync_request it);
    void on_sync_request(core::time_point now, const control::sync_request& it);
    /// What endpoints have said of themselves: an instance that starts has had no answer yet.
    void tell_statements(core::time_point now, const core::instance_id& to);
    void take_peer(core::time_point now, const control::peer_entry& it);
    void drop_peer(const core::instance_id& id);
    /// Drops instances that a list of the store does not have.
    void drop_unlisted_peers(const std::vector<control::kv_item>& items);
    void write_members(const control::registry_batch& it, control::member_registry::done_handler done);
    void write_findings(const control::finding_batch& it, control::finding_registry::done_handler done);
    void take_harmful(core::time_point now, crashes::request_fingerprint it);
    void forget_harmful(core::time_point now, crashes::request_fingerprint it);
    void forget(core::time_point now, const std::string& key);
    /// Tells other failure domains what this one has sent, and the own one what the others have.
    void exchange_loads(core::time_point now);
    void on_load_digest(core::time_point now, const routing::load_digest& it);
    /// A call that was sent at this time proved that no newer configuration was there.
    void note_proof(core::time_point sent_at);
    void write_record(const routing::rollout_record& it);
    /// The record is another one than a write depended on, or there is none.
    void take_conflict(core::time_point now, const core::service_id& service, const control::kv_conflict& it);
    void forget_record(core::time_point now, const core::service_id& service);

    void on_readiness(const std::shared_ptr<net::caller_connection>& from);
    void on_metrics(const std::shared_ptr<net::caller_connection>& from);
    std::string metrics_text() const;
    void rearm();
    /// The time of an event; sees whether the process stood still before it.
    core::time_point begin_turn();
    void on_wake(core::time_point now, core::time_point since);
    void on_timer();
    void keep_house(core::time_point now);
    void check_stop(core::time_point now);
    void log_store_calls(core::time_point now);
    void log_state(std::string_view event, std::string_view reason);

    gateway_settings settings_;
    deployment_binding binding_;
    clock_source clock_;
    loop_watch loop_;
    observe::decision_log log_;
    observe::metrics metrics_;
    gateway edge_;
    routing::request_forwarder forwarder_;
    kv_http_store store_;
    control::kv_store store_port_;
    control::store_follower follower_;
    gossip_link gossip_;
    control::relay relay_;
    control::member_registry registry_;
    control::finding_registry findings_;
    control::fleet_join join_;
    net::http_listener readiness_;
    net::http_listener metrics_listener_;
    QTimer timer_;
    std::optional<core::time_point> armed_;
    core::time_point next_housekeeping_{};
    core::time_point next_call_report_{};
    routing::load_exchange far_loads_;
    std::optional<core::time_point> next_digest_; ///< while this instance is a relay and not all tell all
    std::optional<core::time_point> proven_at_;
    std::uint64_t table_revision_ = 0;
    bool table_is_readable_ = false;
    bool is_listed_ = false; ///< the store has been read whole once
    bool was_ready_ = false;
    std::optional<core::time_point> stop_began_;
    bool stopped_ = false;
    std::uint16_t callers_port_ = 0;
    std::uint16_t readiness_port_ = 0;
    std::uint16_t peers_port_ = 0;
};

} // namespace runlink::gateway
