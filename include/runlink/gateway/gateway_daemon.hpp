/// \file
/// One forwarding instance: the gateway, the request forwarder, and the connection to the store.
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
#include "runlink/control/value_download.hpp"
#include "runlink/gateway/duty_runner.hpp"
#include "runlink/gateway/gateway.hpp"
#include "runlink/gateway/gateway_settings.hpp"
#include "runlink/gateway/gossip_link.hpp"
#include "runlink/gateway/kv_http_store.hpp"
#include "runlink/gateway/loop_watch.hpp"
#include "runlink/net/connection_carrier.hpp"

namespace runlink::gateway
{

/// Wire formats of a deployment: header names, stored documents, and the store's API.
struct deployment_binding
{
    header_names headers;
    control::document_codec documents;
    control::kv_wire store;
    control::duty_wire duties = {};
};

/// Connects the components of an instance and runs them on the current thread's event loop.
class gateway_daemon
{
public:
    gateway_daemon(gateway_settings settings, deployment_binding binding);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;

    core::result<void> start();
    /// Reports not ready from now on. Serves until no request is active or the grace period is nearly over.
    void begin_stop();
    /// Logs whether the settings are valid and have changed. Changes take effect at the next start.
    void reload(const core::result<gateway_settings>& it);
    std::function<void()> on_stopped = [] {};

    bool is_ready() const;
    std::uint16_t callers_port() const { return callers_port_; }
    std::uint16_t readiness_port() const { return readiness_port_; }
    const kv_call_counters& store_calls() const { return store_.counters(); }
    std::size_t peer_count() const { return gossip_.peer_count(); }

private:
    /// Time since the configuration was last confirmed, after which keys are rejected; nothing if keys do not
    /// expire.
    std::optional<core::milliseconds> max_key_age() const;
    routing::forwarder_options forwarder_options() const;
    kv_http_options store_options() const;
    control::follower_hooks follower_hooks();
    control::relay_hooks relay_hooks();

    void on_listed(core::time_point now, const std::vector<control::kv_item>& items);
    void on_changed(core::time_point now, const control::kv_event& it);
    /// The store has returned from a copy that lacks the latest change of a key.
    void on_lost_change(core::time_point now, const control::kv_event& it);
    void on_era_began(core::time_point now, core::store_era previous, core::store_era era);
    /// The copy lacks a document whose revision is used.
    void on_record_lost(core::time_point now, const control::document_key& name);
    /// Applies an item of the store. `written_at`: the best known time at which it was written.
    void apply_item(core::time_point now, const control::kv_item& item, core::time_point written_at);
    void apply_table(core::time_point now, const routing::routing_table_ptr& it,
                     const core::store_revision& revision);
    /// The store holds an older configuration than this instance applies, e.g. in an older copy.
    void log_outdated_table(core::time_point now, const routing::routing_table& it);
    void apply_endpoint(core::time_point now, const routing::endpoint_entry& it);
    void on_datagram(const proto::datagram& it);
    /// Version of the configuration in force; 0 without one.
    std::uint64_t version_in_force() const;
    /// Another instance has this version of the configuration in force.
    void note_version(core::time_point now, std::uint64_t version);
    void on_gossip(core::time_point now, const routing::gossip_message& it);
    control::join_hooks join_hooks();
    /// Instances to contact at the start; empty if this instance is one of the seeds.
    std::vector<core::instance_id> seeds() const;
    control::peer_entry own_entry() const;
    /// Sends a request together with this instance's entry, which holds the address to reply to.
    void send_sync_request(const core::instance_id& to, control::sync_request it);
    void on_sync_request(core::time_point now, const control::sync_request& it);
    /// Sends the known limits and shutdown notices of endpoints to an instance that starts and has not yet
    /// received any answer from them.
    void send_endpoint_statements(core::time_point now, const core::instance_id& to);
    /// Connects the paths to endpoints with the messages to other instances.
    void connect_path_hooks();
    /// Another instance asks whether this one reaches an endpoint.
    void on_reach_query(const paths::reach_query& it);
    void send_reach_replies(const core::endpoint_id& endpoint, std::optional<core::contact> contact,
                            const std::vector<paths::reach_query>& to);
    void on_reach_reply(core::time_point now, const paths::reach_reply& it);
    std::optional<net::carrier_address> carrier_address(const core::instance_id& id,
                                                        const core::endpoint_id& endpoint) const;
    /// Returns the endpoint's address if this instance carries the connection.
    std::optional<net::peer_address> admit_carried(const net::carry_opening& it) const;
    void apply_peer(core::time_point now, const control::peer_entry& it);
    void drop_peer(const core::instance_id& id);
    /// Removes instances that are missing from a listing of the store.
    void drop_unlisted_peers(const std::vector<control::kv_item>& items);
    void write_members(const control::registry_batch& it, control::member_registry::done_handler done);
    duty_runner_hooks duty_hooks();
    /// Services whose endpoints are ordered from the platform, and the endpoints that they have.
    std::map<core::service_id, duties::service_state> scaled_services(core::time_point now) const;
    void apply_duty_records(core::time_point now, const control::document& it);
    static std::int64_t wall_ms();
    void write_findings(const control::finding_batch& it, control::finding_registry::done_handler done);
    void apply_harmful(core::time_point now, const control::harmful_entry& it);
    void remove_harmful(core::time_point now, crashes::element_fingerprint it);
    /// Applies the removal of a key from the store.
    void remove_item(core::time_point now, const std::string& key);
    /// Sends the load of this failure domain to the relays of the others, and the load of the others to the
    /// instances of this one.
    void exchange_loads(core::time_point now);
    control::part_source_options part_options() const;
    control::part_source_hooks part_hooks();
    control::download_hooks download_hooks();
    /// Another instance has sent a large value.
    void on_value(core::time_point now, const control::received_value& it);
    /// Gets values that were too large for a reply from other instances.
    void fetch_values(core::time_point now, const std::vector<control::omitted_value>& all,
                      const std::vector<core::instance_id>& from);
    void read_configuration_soon(core::time_point now);
    void on_load_digest(core::time_point now, const load::load_digest& it);
    /// A call to the store sent at `sent_at` proved that the configuration was the newest.
    void note_proof(core::time_point sent_at);
    void write_record(const routing::rollout_record& it);
    /// A conditional write failed: the stored record differs from the expected one or does not exist.
    void apply_conflict(core::time_point now, const core::service_id& service,
                        const control::kv_conflict& it);
    void remove_record(core::time_point now, const core::service_id& service);

    void on_readiness(const std::shared_ptr<net::caller_connection>& from);
    void on_metrics(const std::shared_ptr<net::caller_connection>& from);
    std::string metrics_text() const;
    void rearm();
    /// Returns the time of an event, after checking whether the process was suspended before it.
    core::time_point begin_turn();
    /// The process was suspended; `since` is the last turn of the event loop before.
    void on_wake(core::time_point now, core::time_point since);
    void on_timer();
    void keep_house(core::time_point now);
    void check_stop(core::time_point now);
    void log_store_calls(core::time_point now);
    /// Logs the end of a call to the store that failed or carried a large answer.
    void log_transfer(kv_call kind, const call_report& it);
    void log_state(std::string_view event, std::string_view reason);

    gateway_settings settings_;
    deployment_binding binding_;
    clock_source clock_;
    loop_watch loop_;
    observe::decision_log log_;
    observe::metrics metrics_;
    gateway gateway_;
    routing::request_forwarder forwarder_;
    kv_http_store store_;
    control::kv_store store_port_;
    control::store_follower follower_;
    gossip_link gossip_;
    net::connection_carrier carrier_;
    control::relay relay_;
    control::member_registry registry_;
    control::finding_registry findings_;
    control::part_source parts_;
    control::value_download download_;
    control::fleet_join join_;
    duty_runner duties_;
    net::http_listener readiness_;
    net::http_listener metrics_listener_;
    QTimer timer_;
    std::optional<core::time_point> timer_due_; ///< when `timer_` fires
    core::time_point next_housekeeping_{};
    core::time_point next_store_call_log_{};
    std::uint16_t carrier_port_ = 0;
    std::string carrier_ticket_; ///< drawn at the start; admits connections to be carried
    std::map<core::instance_id, net::carrier_address> carriers_; ///< as told by their replies
    /// Queries for endpoints that are being connected to.
    std::map<core::endpoint_id, std::vector<paths::reach_query>> reach_queries_;
    load::load_exchange remote_loads_;
    std::optional<core::time_point> next_digest_; ///< set while this relay exchanges loads with other relays
    std::optional<core::time_point> configuration_proven_at_;
    core::store_revision table_revision_;
    bool table_is_readable_ = false;
    bool has_listed_store_ = false; ///< the store has been listed completely at least once
    bool was_ready_ = false;
    std::optional<core::time_point> stop_began_;
    bool is_stopped_ = false;
    std::uint16_t callers_port_ = 0;
    std::uint16_t readiness_port_ = 0;
    std::uint16_t peers_port_ = 0;
};

} // namespace runlink::gateway
