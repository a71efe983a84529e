/// \file
/// Moves a service's requests to a new version in steps, and rolls a faulty version back.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/store_revision.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/answer_times.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/rollout_schedule.hpp"
#include "runlink/routing/version_trial.hpp"

namespace runlink::routing
{

using core::duration;
using core::endpoint_id;
using core::milliseconds;
using core::service_id;
using core::time_point;
using core::version_id;

/// An operator's order to move a service to a version.
struct rollout_order
{
    service_id service;
    version_id target;
    milliseconds allowed{};          ///< time for the whole roll-out, from the order
    core::store_revision revision{}; ///< of the order in the store
};

/// State of a roll-out.
enum class rollout_state
{
    running,
    succeeded,
    rolled_back,
};

std::string_view to_string(rollout_state it);

/// Shared state of a roll-out in the store: written by one instance, followed by all.
struct rollout_record
{
    service_id service;
    version_id target;
    rollout_state state = rollout_state::running;
    std::uint32_t share_percent = 0; ///< share of the requests that may go to the new version
    core::store_revision revision{}; ///< of the record in the store; none: no record exists
};

/// Parameters of roll-outs.
struct rollout_options
{
    schedule_options schedule;
    /// Instances delay their writes by 0 up to this time, so that usually a single instance writes.
    milliseconds write_spread{500};
    /// Additional delay of instances that learn of store changes from peers, so that the instances that
    /// follow the store write first. Without it, a roll-back that 295 instances decide at once causes 284
    /// writes instead of a few.
    milliseconds follower_delay{700};
    milliseconds rewrite_after{1500}; ///< a write that is not confirmed within this time is repeated
    trial_options trial;
    /// Delay within which answers of the new version are reported to peers. With a first share of 8 %, one of
    /// 91 instances sees an answer in six seconds, so none has enough evidence alone. The delay is the same
    /// for flawed and flawless answers: with 100 ms for flawed and 1 s for other answers, a failure rate of
    /// 20 % looked like 30 % while the share was growing.
    milliseconds evidence_delay{400};
    /// Number of answers with the full share that are awaited before a version is declared good, while there
    /// is time. In a deployment of six instances with 26 requests per second, a version that failed a sixth
    /// of its answers was declared good on 2 answers, 0.6 s after the step.
    std::uint32_t least_answers = 40;
    /// Interval at which a step that is held back for doubt is considered again.
    milliseconds doubt_interval{100};
    /// Time before the deadline at which a version in doubt is either rejected or declared good. In a
    /// deployment of six instances, a version that began to fail 0.5 s before the decision was due was
    /// declared good with 2 failures in 9 answers at the full share.
    milliseconds decision_margin{300};
};

/// State of a roll-out as known to this instance, for logs.
struct rollout_status
{
    rollout_order order;
    rollout_record record;
    bool is_bad = false;   ///< this instance found the target version faulty
    answer_counts fresh;   ///< answers of the new version, counted by this instance and its peers
    answer_counts old;     ///< answers of the old version, likewise
    std::size_t peers = 0; ///< number of peers whose counts are included
};

/// Decides which version a request may run on, and when a roll-out proceeds or is rolled back.
///
/// Each instance stops sending to a version as soon as it finds the version faulty itself. The share and the
/// verdict are kept in the store and changed by conditional writes, so that all instances agree on them.
class rollout_control
{
public:
    rollout_control(rollout_options options, std::uint64_t instance_seed)
        : options_{std::move(options)}, schedule_{options_.schedule}, seed_{instance_seed}
    {
    }

    /// Takes an order; returns whether it starts a new roll-out. An order that is written again unchanged
    /// does not.
    bool on_order(time_point now, const rollout_order& order);
    void on_order_removed(const service_id& service);
    void on_record(time_point now, const rollout_record& record);
    /// The record was deleted from the store.
    void on_record_removed(time_point now, const service_id& service);
    /// The store has returned from a copy that does not hold the record. What it says is kept and written
    /// again.
    void on_record_lost(time_point now, const service_id& service);
    /// Takes the complete list of services with orders and records in the store; all others are removed.
    void on_listed(time_point now, const std::set<service_id>& orders, const std::set<service_id>& records);
    /// Takes new information about an answer. `counted` holds what was already counted for this answer and is
    /// updated, so that each flaw counts once.
    void on_sample(time_point now, const version_sample& sample, answer_counts& counted);
    /// A request went to an endpoint of this version.
    void on_sent(const service_id& service, const version_id& version);

    /// Versions that a request may run on.
    struct choice
    {
        std::optional<version_id> only;     ///< this version, if it has a usable endpoint
        std::optional<version_id> excluded; ///< never this version
        std::optional<version_id> avoided;  ///< only if no other version is available
        bool is_strict = false;             ///< `only` admits no other version
    };

    /// `pinned` is the version that the session ran on last.
    choice choose(const service_id& service, session_hash session,
                  const std::optional<version_id>& pinned) const;

    /// Whether runs of this session are announced to peers. This is needed only for sessions that fall into
    /// the first share, since an active session must not be moved to the new version in the first half.
    bool announces_runs(const service_id& service, session_hash session) const;
    /// When evidence of this instance is to be sent to peers.
    std::optional<time_point> evidence_due() const;
    /// Returns the evidence that is due, and schedules its repetition.
    std::vector<version_evidence> tell_evidence(time_point now);
    /// Takes the counts of a peer, which replace its earlier ones.
    void on_peer_evidence(time_point now, const core::instance_id& peer,
                          const std::vector<version_evidence>& it);

    /// Whether this instance follows the store directly rather than through peers.
    void set_follows_store(bool it) { follows_store_ = it; }
    /// Sets the number of instances, including this one.
    void set_instances(std::size_t it) { instances_ = it; }
    /// The records that this instance should write to the store now.
    std::vector<rollout_record> due(time_point now);
    /// When `due` should be called next.
    std::optional<time_point> next_due() const;
    /// A conditional write failed because the record in the store has changed; it is retried later.
    void on_write_failed(time_point now, const service_id& service);

    /// The record of the service's roll-out while its order exists, or null. For logs and metrics.
    const rollout_record* find(const service_id& service) const;
    /// The state of the service's latest roll-out, if any.
    std::optional<rollout_status> status(const service_id& service) const;
    /// Whether a roll-out of the service is under way.
    bool is_running(const service_id& service) const;
    /// Called when this instance finds a version faulty.
    std::function<void(const service_id&, const version_fault&)> on_verdict = [](const auto&, const auto&) {};

private:
    struct rollout
    {
        explicit rollout(trial_options options = {}) : trial{options} {}

        rollout_order order;
        rollout_record record;
        std::optional<version_id> stable_version; ///< version of the last successful roll-out
        time_point ordered_at{};                  ///< when the order was written
        time_point step_began{};
        time_point next_write{};              ///< earliest time of the next write
        std::optional<time_point> restore_at; ///< when the record, which the store has lost, is written again
        bool is_bad = false;                  ///< this instance found the target faulty
        std::optional<time_point> verdict_due; ///< when the roll-back is written
        std::uint32_t answers_before_step = 0; ///< answers of the new version before the current step
        std::uint64_t sent = 0;                ///< requests of this instance since the order
        std::uint64_t sent_to_new = 0;         ///< of these, sent to the new version
        double requests_per_s = 0;             ///< estimated, over all instances
        version_trial trial;
        std::optional<time_point> evidence_due_at; ///< when evidence is sent to peers
        bool is_repeat_scheduled = false;          ///< evidence is sent twice, as datagrams may be lost
        std::optional<version_id> rejected;        ///< version that an earlier order rolled back
    };

    /// Whether the known record is further than one that the store holds after its return from a copy.
    static bool is_ahead(const rollout_record& known, const rollout_record& stored);
    static bool is_running(const rollout& it) { return it.record.state == rollout_state::running; }
    /// Whether the target was found faulty, by this instance or a peer.
    static bool is_rejected(const rollout& it)
    {
        return it.is_bad || it.record.state == rollout_state::rolled_back;
    }
    /// The record to write now, or null if no step is due.
    std::optional<rollout_record> next_record(rollout& it, time_point now);
    /// When the next step or the verdict is due, without the write delay.
    time_point next_change(const rollout& it) const;
    /// Whether a session that has not run on the new version may do so now.
    bool may_run_on_target(const rollout& it, session_hash session, bool ran_on_old) const;
    rollout& at(const service_id& service);
    rollout* find_running(const service_id& service);
    trial_phase phase_of(const rollout& it) const;
    /// Rejects the target if the evidence suffices.
    void reject_if_faulty(time_point now, rollout& it);
    void reject(rollout& it, const version_fault& why);
    /// Whether the next step has to wait. Shortly before the deadline a version in doubt is rejected instead.
    bool must_hold(time_point now, rollout& it);
    /// Whether the version has the full share, but fewer than `least_answers` answers since.
    bool has_too_few_answers(const rollout& it) const;
    /// Estimates the rate of the service's requests from the answers that are known.
    void estimate_rate(time_point now, rollout& it) const;
    /// Schedules sending evidence to peers, at the latest at `at`.
    void schedule_evidence(rollout& it, time_point at);
    /// Delay between the due time of a step and its write by this instance.
    milliseconds write_delay() const;
    /// Delay between a verdict and its write.
    milliseconds verdict_delay() const;

    rollout_options options_;
    rollout_schedule schedule_;
    std::uint64_t seed_;
    bool follows_store_ = true;
    std::size_t instances_ = 1;
    std::map<service_id, rollout> rollouts_;
    std::map<service_id, answer_times> times_;
};

} // namespace runlink::routing
