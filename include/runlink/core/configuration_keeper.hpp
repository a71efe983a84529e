/// \file
/// Keeps the configuration of one instance at the newest revision.
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

/// Times of the keeper.
struct keeper_options
{
    milliseconds watch_wait{5000};
    milliseconds retry_delay{500};
    milliseconds read_timeout{2000}; ///< beyond the wait, for a watch that is lost
    milliseconds cut_off_after{5000};
    milliseconds peer_grace{1500}; ///< time to hear every peer's revision while the store is down
    std::uint32_t expected_instances = 1;
};

/// What the keeper tells its surroundings.
struct keeper_hooks
{
    store_port store;
    std::function<void(const configuration_ptr&)> applied;
    std::function<void(const member_info&)> ask_peer;
};

/// Learns revisions from a watch on the store and from peers, and applies only larger ones.
class configuration_keeper
{
public:
    using confirm_handler = std::function<void(result<config_revision>)>;

    configuration_keeper(std::string deployment, keeper_options options, keeper_hooks hooks);

    configuration_ptr current() const { return current_; }
    config_revision revision() const { return current_ ? current_->revision : config_revision{}; }

    void tick(time_point now);
    /// A peer's heartbeat names a revision.
    void on_peer_revision(time_point now, const member_info& peer, config_revision revision, bool peer_ready);
    void on_document(const std::string& json);

    /// Writes a plan's configuration if its base revision is still the one in the store. Fails with
    /// `plan_conflict`, `wrong_deployment` or `store_unavailable`. A lost reply is settled by reading back.
    void confirm(time_point now, plan it, const confirm_handler& handler);
    /// Withdraws a version in the store, again and again until it is withdrawn.
    void withdraw(const version_ref& version);

    /// Whether work may be admitted: the newest revision that can be known here is in force.
    bool is_ready(time_point now, const membership& members) const;
    /// The store and most of the instances have been out of reach for long.
    bool is_cut_off(time_point now, const membership& members) const;
    bool store_reached(time_point now) const;

    static std::string key_of(const std::string& deployment) { return "config/" + deployment; }
    static std::string history_key_of(const std::string& deployment, config_revision revision)
    {
        return "config-history/" + deployment + "/" + std::to_string(revision.value());
    }

private:
    void watch(time_point now);
    void on_watched(std::uint64_t serial, const result<store_value>& it);
    void take(const store_value& it);
    void apply(configuration it);
    void write(plan it, std::uint64_t store_revision, const confirm_handler& handler);
    void record(const configuration& it);
    void settle(plan it, const confirm_handler& handler);
    void withdraw_next(time_point now);

    std::string deployment_;
    keeper_options options_;
    keeper_hooks hooks_;
    configuration_ptr current_;
    std::uint64_t store_revision_ = 0;
    std::uint64_t watch_serial_ = 0;
    bool watching_ = false;
    time_point watch_again_{};
    time_point now_{};
    std::optional<time_point> store_seen_;
    std::optional<time_point> started_;
    config_revision newest_heard_{};
    bool heard_ready_peer_ = false;
    time_point asked_peer_{};
    std::deque<version_ref> withdrawals_;
    bool withdrawing_ = false;
    time_point withdraw_again_{};
};

} // namespace runlink::core
