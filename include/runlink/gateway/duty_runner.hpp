/// \file
/// Connects the duties to the store, the platform's interface for duties, and the other instances.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "runlink/control/documents.hpp"
#include "runlink/duties/duty_lease.hpp"
#include "runlink/duties/load_sum.hpp"
#include "runlink/duties/scale_orders.hpp"
#include "runlink/duties/usage_counter.hpp"
#include "runlink/duties/usage_reporter.hpp"
#include "runlink/duties/wall_time_estimate.hpp"
#include "runlink/gateway/gateway_settings.hpp"
#include "runlink/gateway/http_caller.hpp"
#include "runlink/observe/decision_log.hpp"

namespace runlink::gateway
{

/// What the duties need of the daemon.
struct duty_runner_hooks
{
    std::function<void(const control::kv_transaction&, std::function<void(control::kv_commit_result)>)>
        commit;
    /// Sends this instance's counts to the holder.
    std::function<void(const core::instance_id& to, const duties::usage_report&)> send;
    /// Services whose endpoints are ordered from the platform, without their load.
    std::function<std::map<core::service_id, duties::service_state>()> services;
    /// This instance's requests at the endpoints of each service.
    std::function<std::map<core::service_id, std::uint32_t>()> running;
    std::function<std::size_t()> instance_count;
    core::clock_source now;
    std::function<duties::wall_time()> wall;
    std::function<void(const observe::log_line&)> log;
};

/// Calls of the duties since the start, by result.
struct duty_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t fenced = 0;
    std::uint64_t refused = 0;
    std::uint64_t unanswered = 0;
};

/// Counts the runs of this instance, sends them to the holder, and carries out the duties while this instance
/// is the holder.
class duty_runner
{
public:
    duty_runner(const duty_settings& settings, const core::instance_id& self, control::duty_wire wire,
                control::document_codec documents, duty_runner_hooks hooks);
    duty_runner(const duty_runner&) = delete;
    duty_runner& operator=(const duty_runner&) = delete;

    /// Whether the deployment has duties.
    bool is_enabled() const { return settings_.address.port != 0; }
    /// A request of the account began to run.
    void on_run_began(const core::account_id& account);
    void on_report(const duties::usage_report& it);
    // Records of the store.
    void on_record(core::time_point now, const duties::lease_record& it) { lease_.on_record(now, it); }
    void on_record(core::time_point now, const duties::usage_record& it) { reporter_.on_record(now, it); }
    void on_record(const duties::order_record& it) { orders_.on_record(it); }
    /// The store was listed completely; `has_lease`: the list contained the lease.
    void on_listed(core::time_point now, bool has_lease);
    /// The store has given an answer in this era.
    void on_era(core::time_point now, core::store_era it) { lease_.on_era(now, it); }
    // The store has returned from a copy that lacks the record.
    void on_usage_lost(core::time_point now) { reporter_.on_record_lost(now); }
    void on_orders_lost() { orders_.on_record_lost(); }
    /// Whether this instance follows the store directly and may hold the duties.
    void set_candidate(bool it);
    /// The process stops: the duties are left to another instance.
    void begin_stop();

    void tick(core::time_point now);
    std::optional<core::time_point> next_due() const;
    bool is_holder(core::time_point now) const { return lease_.may_act(now); }
    const duty_counters& counters() const { return counters_; }

private:
    duties::lease_hooks lease_hooks();
    duties::report_hooks report_hooks();
    duties::scale_hooks scale_hooks();
    duties::window_options windows() const;
    bool may_act(core::time_point now) const { return !is_stopping_ && lease_.may_act(now); }
    control::duty_caller caller() const { return {self_, lease_.epoch()}; }
    /// Writes an item if the stored one is at the expected revision.
    void write(control::kv_item item, const core::store_revision& expected,
               std::function<void(duties::write_result)> done);
    void apply_conflict(const control::kv_conflict& it);
    /// Counts the result of a call and passes it on.
    void on_call(duties::call_outcome it);
    void send_counts(core::time_point now);
    core::milliseconds send_interval() const;

    duty_settings settings_;
    core::instance_id self_;
    control::duty_wire wire_;
    control::document_codec documents_;
    duty_runner_hooks hooks_;
    core::incarnation_id process_;
    http_caller platform_;
    duties::wall_time_estimate wall_;
    duties::usage_counter counter_;
    duties::usage_collector collector_;
    duties::load_sum loads_;
    duties::duty_lease lease_;
    duties::usage_reporter reporter_;
    duties::scale_orders orders_;
    duty_counters counters_;
    core::time_point next_counts_{};
    std::optional<core::time_point> acquired_at_;
    bool is_stopping_ = false;
};

} // namespace runlink::gateway
