/// \file
/// Keeps the configuration of one instance up to date.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "runlink/core/configuration.hpp"
#include "runlink/core/membership.hpp"
#include "runlink/core/plan.hpp"
#include "runlink/core/store_port.hpp"

namespace runlink::core
{

/// Timeouts of the keeper.
struct keeper_options
{
    milliseconds watch_wait{5000};
    milliseconds retry_delay{500};
    milliseconds read_timeout{2000};  ///< for a read; for a watch, in addition to its wait
    milliseconds cut_off_after{5000}; ///< see `is_cut_off`
    milliseconds peer_grace{1500};    ///< time for every peer to report its revision while the store is down
    std::uint32_t expected_instances = 1;
};

/// Dependencies and notifications of the keeper.
struct keeper_hooks
{
    store_port store;
    std::function<void(const configuration_ptr&)> applied; ///< a new configuration is in effect
    std::function<void(const member_info&)> ask_peer;      ///< requests a peer's configuration
};

/// Gets configurations from a watch on the store and from peers, and applies those with a higher revision.
class configuration_keeper
{
public:
    using confirm_handler = std::function<void(result<config_revision>)>;

    configuration_keeper(std::string deployment, keeper_options options, keeper_hooks hooks);

    configuration_ptr current() const { return current_; }
    config_revision revision() const { return current_ ? current_->revision : config_revision{}; }

    void tick(time_point now);
    /// Handles the revision in a peer's heartbeat; a higher one is requested from the peer.
    void on_peer_revision(time_point now, const member_info& peer, config_revision revision, bool peer_ready);
    /// Handles a configuration that a peer has sent.
    void on_peer_configuration(const std::string& json);

    /// Writes a plan's configuration if the store still holds the plan's base revision. Fails with
    /// `plan_conflict`, `wrong_deployment`, `store_unavailable` or `store_unknown`. If the reply to the write
    /// is lost, the outcome is determined by reading the configuration back.
    void confirm(time_point now, plan it, const confirm_handler& handler);
    /// Withdraws a version in the store. Retries until it is withdrawn.
    void withdraw(const version_ref& version);

    /// Whether requests may be admitted: the newest revision known from the store or the peers is in effect.
    bool is_ready(time_point now, const membership& members) const;
    /// Whether the store and most of the instances have been unreachable for longer than `cut_off_after`.
    bool is_cut_off(time_point now, const membership& members) const;
    /// Whether the store has answered recently.
    bool store_reached(time_point now) const;

    static std::string key_of(const std::string& deployment) { return "config/" + deployment; }
    static std::string history_key_of(const std::string& deployment, config_revision revision)
    {
        return "config-history/" + deployment + "/" + std::to_string(revision.value());
    }

private:
    void watch(time_point now);
    void on_watched(std::uint64_t serial, const result<store_value>& it);
    void apply_stored(const store_value& it);
    void apply(configuration it);
    void write(plan it, std::uint64_t store_revision, const confirm_handler& handler);
    /// Writes a configuration to the history in the store.
    void write_history(const configuration& it);
    /// Reads the configuration back after a write without a reply.
    void resolve_unknown_write(plan it, const confirm_handler& handler);
    void withdraw_next(time_point now);

    std::string deployment_;
    keeper_options options_;
    keeper_hooks hooks_;
    configuration_ptr current_;
    std::uint64_t store_revision_ = 0;
    std::uint64_t watch_serial_ = 0;
    bool watching_ = false;
    time_point next_watch_{};
    time_point now_{};
    std::optional<time_point> store_answered_at_;
    std::optional<time_point> started_at_;
    config_revision newest_peer_revision_{};
    bool has_ready_peer_ = false;
    time_point next_peer_request_{};
    std::deque<version_ref> withdrawals_;
    bool withdrawing_ = false;
    time_point next_withdrawal_{};
};

} // namespace runlink::core
