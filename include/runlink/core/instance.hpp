/// \file
/// One instance: connects the components that make the decisions. It does no I/O itself.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "runlink/core/configuration_keeper.hpp"
#include "runlink/core/leave_marks.hpp"
#include "runlink/core/ledger_partition.hpp"
#include "runlink/core/membership.hpp"
#include "runlink/core/rate_limiter.hpp"
#include "runlink/core/request_router.hpp"

namespace runlink::core
{

/// Parameters of an instance.
struct instance_options
{
    std::string deployment;
    member_info self;
    std::uint32_t expected_instances = 1;
    std::vector<std::string> seed_addresses;
    std::vector<std::string> secrets; ///< keys of session tokens and plans; the first one signs
    std::uint64_t random_seed = 1;
    membership_options members;
    ledger_options ledger;
    double ledger_writes_per_second = 200; ///< for the whole deployment
    ledger_client_options client;
    router_options router;
    selector_options selector;
    guard_options guard;
    keeper_options keeper;
};

/// Callbacks and ports through which an instance does I/O.
struct instance_hooks
{
    store_port store;
    ledger_codec codec;
    mac_function mac;
    std::function<wall_time()> wall_clock;
    /// Sends a message to the peer link at an address, without a guarantee of delivery.
    std::function<void(const std::string& address, const peer_envelope&)> send;
    router_hooks router;
    /// Reports a change of state to be logged.
    std::function<void(const std::string&)> state_changed;
};

/// State of one live member.
struct member_status
{
    member_info info;
    bool ready = false;
    bool stopping = false;
    config_revision revision{};
};

/// An entry instance, driven by `tick` and by the events of its components.
class instance
{
public:
    instance(instance_options options, instance_hooks hooks);
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    void tick(time_point now);
    void on_peer(time_point now, const peer_envelope& it);

    /// Handles a request of an authenticated caller. Refuses it while the instance is not ready.
    void on_request(time_point now, const caller_request& request);
    /// Starts a graceful stop. The instance is not ready from now on, and rejects new requests after
    /// `balancer_wait`, the time in which the load balancer notices.
    void begin_stop(time_point now, milliseconds balancer_wait);
    /// Whether all requests have ended and every bill is safe.
    bool is_stopped(time_point now) const;

    bool is_ready(time_point now) const;
    bool is_stopping() const { return stopping_; }

    /// Handles the state of an endpoint, reported by the platform's list, a load report or the endpoint
    /// itself.
    void on_endpoint_state(time_point now, const endpoint_id& endpoint, endpoint_incarnation incarnation,
                           bool leaving);
    void on_rating(const version_ref& version, bool good) { guard_.rated(version, good); }

    request_router& router() { return *router_; }
    const request_router& router() const { return *router_; }
    endpoint_selector& selector() { return selector_; }
    configuration_keeper& keeper() { return keeper_; }
    const configuration_keeper& keeper() const { return keeper_; }
    const membership& members() const { return members_; }
    const version_guard& guard() const { return guard_; }
    const ledger_client& ledger() const { return client_; }
    const leave_marks& leaving() const { return leaving_; }
    const ledger_partition& partition(partition_id id) const { return *partitions_.at(id.value()); }
    std::uint64_t ledger_writes() const;
    std::vector<member_status> member_states(time_point now) const;

    /// Makes a plan that applies an intent to the current configuration.
    result<std::string> plan_intent(std::string_view intent, const std::string& operation_id) const;
    void confirm_plan(time_point now, std::string_view plan,
                      const configuration_keeper::confirm_handler& handler);
    /// Returns the version that a request would get.
    result<version_ref> explain(time_point now, const caller_request& request);

private:
    void on_message(time_point now, const member_info& from, const heartbeat& it);
    void on_message(time_point now, const member_info& from, const configuration_request& it);
    void on_message(time_point now, const member_info& from, const configuration_document& it);
    void on_message(time_point now, const member_info& from, const ledger_request& it);
    void on_message(time_point now, const member_info& from, const ledger_response& it);
    void on_message(time_point now, const member_info& from, const copy_request& it);
    void on_message(time_point now, const member_info& from, const copy_response& it);
    void on_message(time_point now, const member_info& from, const copy_release& it);

    void send(const std::string& address, peer_message message);
    void send_heartbeats(time_point now);
    void assign_partitions(time_point now);
    void on_applied(const configuration_ptr& it);
    ledger_hooks make_ledger_hooks();
    ledger_client_hooks make_client_hooks();

    instance_options options_;
    instance_hooks hooks_;
    std::mt19937_64 random_;
    std::uint64_t batch_count_ = 0;
    time_point now_{};
    membership members_;
    leave_marks leaving_;
    endpoint_selector selector_;
    account_limits limits_;
    version_guard guard_;
    session_tokens sessions_;
    ledger_client client_;
    configuration_keeper keeper_;
    std::vector<std::unique_ptr<ledger_partition>> partitions_;
    rate_limiter ledger_write_rate_{0, 0};
    std::uint64_t assigned_change_count_ = 0; ///< membership change count at the last complete assignment
    std::unique_ptr<request_router> router_;
    time_point next_heartbeat_{};
    std::uint64_t sent_heartbeat_count_ = 0;
    std::map<version_ref, version_counts> sent_counts_;
    bool stopping_ = false;
    bool was_ready_ = false;
    time_point stop_admission_at_{};
};

} // namespace runlink::core
