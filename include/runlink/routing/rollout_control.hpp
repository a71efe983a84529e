/// \file
/// Moves a service's requests to a new version, step by step, and takes a bad version out.
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
    milliseconds allowed{};     ///< the roll-out is to be done by then
    std::uint64_t revision = 0; ///< of the order in the store
};

/// How a roll-out stands.
enum class rollout_state
{
    running,
    succeeded,
    rolled_back,
};

std::string_view to_string(rollout_state it);

/// What instances share of a roll-out: written by one, followed by all.
struct rollout_record
{
    service_id service;
    version_id target;
    rollout_state state = rollout_state::running;
    std::uint32_t share_percent = 0; ///< of the requests that the new version gets
    std::uint64_t revision = 0;      ///< of the record in the store; 0: not there yet
};

/// Parameters of roll-outs.
struct rollout_options
{
    schedule_options schedule;
    /// Instances wait between nothing and this long before they write, so that mostly one does.
    milliseconds write_spread{500};
    /// Instances that learn of changes from others write this much later: those that follow the store have
    /// written by then, and all know it. A roll-back that all of 295 instances found at once cost 284 writes
    /// (calls counted by kind in their logs), and costs a few.
    milliseconds follower_delay{700};
    milliseconds rewrite_after{1500}; ///< a write that was not seen by then is tried again
    trial_options trial;
    /// Answers of the new version are told to other instances within this: at a first share of 8 % one of 91
    /// instances sees an answer in six seconds, and none has seen enough alone. Flawed ones no sooner: told
    /// within 100 ms beside others within 1 s, failures of 20 % looked like 30 % for as long as the share was
    /// growing.
    milliseconds tell_time{400};
    /// Answers to all requests on which a version is declared good, while there is time to wait for them.
    /// With 2 of them, 0.6 s after the step, one was declared good of which a sixth of the answers failed
    /// (log of a deployment of six, 26 requests a second).
    std::uint32_t least_answers = 40;
    /// While in doubt about a version, its next step is looked at again after this.
    milliseconds doubt_interval{100};
    /// A version that is in doubt is waited with until this long before the end, then taken out or declared
    /// good. One of which a part of the answers began to fail 0.5 s before its turn was declared good with 2
    /// failures of 9 answers to all requests (seen in the log of a deployment of six).
    milliseconds last_word{300};
};

/// What this instance knows of a roll-out.
struct rollout_standing
{
    rollout_order order;
    rollout_record record;
    bool is_bad = false; ///< this instance found it so
    answer_counts fresh; ///< answers of the new version, as this instance and others counted them
    answer_counts old;
    std::size_t peers = 0; ///< other instances whose counts are in
};

/// Decides which version a request may get, and when the roll-out goes on or back.
///
/// Every instance stops sending to a version that it finds bad at once, by itself. The share and the verdict
/// are in the store, written under a condition, so that all instances follow one line.
class rollout_control
{
public:
    rollout_control(rollout_options options, std::uint64_t instance_seed)
        : options_{std::move(options)}, schedule_{options_.schedule}, seed_{instance_seed}
    {
    }

    /// Returns whether a roll-out begins with it.
    bool on_order(time_point now, const rollout_order& order);
    void on_order_removed(const service_id& service);
    void on_record(time_point now, const rollout_record& record);
    /// The record is in the store no more.
    void on_record_removed(time_point now, const service_id& service);
    /// A list of the store has these orders and records: the others are gone.
    void on_listed(time_point now, const std::set<service_id>& orders, const std::set<service_id>& records);
    /// What became known of an answer. `counted` is what was counted of it before; each flaw counts once.
    void on_sample(time_point now, const version_sample& sample, answer_counts& counted);
    /// A request went to an endpoint of this version.
    void on_sent(const service_id& service, const version_id& version);

    /// Which versions a request may run on.
    struct choice
    {
        std::optional<version_id> only;     ///< this one, if an endpoint is there
        std::optional<version_id> excluded; ///< never this one
        std::optional<version_id> avoided;  ///< only where there is no other
        bool is_strict = false;             ///< `only` admits no other version
    };

    /// `pinned` is the version that the session ran on last.
    choice choose(const service_id& service, session_hash session,
                  const std::optional<version_id>& pinned) const;

    /// Whether other instances are to know of this session's runs: only sessions that may get the new version
    /// in the first half, which must not be moved to it while they are active.
    bool spreads_runs(const service_id& service, session_hash session) const;
    /// When other instances are to be told what this one has counted.
    std::optional<time_point> evidence_due() const;
    /// What they are told now.
    std::vector<version_evidence> tell_evidence(time_point now);
    /// What another one has counted; it replaces what that one said before.
    void on_peer_evidence(time_point now, const core::instance_id& peer,
                          const std::vector<version_evidence>& it);

    /// Whether this instance follows the store itself.
    void set_follows_store(bool it) { follows_store_ = it; }
    /// A record that this instance should write now.
    std::vector<rollout_record> due(time_point now);
    /// When `due` should be asked next.
    std::optional<time_point> next_due() const;
    /// Whether the write took place; otherwise the record in the store is another one.
    void on_write_failed(time_point now, const service_id& service);

    /// A roll-out that is not finished, or null. For logs and metrics.
    const rollout_record* find(const service_id& service) const;
    std::optional<rollout_standing> standing(const service_id& service) const;
    std::function<void(const service_id&, const version_fault&)> on_verdict = [](const auto&, const auto&) {};

private:
    struct rollout
    {
        explicit rollout(trial_options options = {}) : trial{options} {}

        rollout_order order;
        rollout_record record;
        std::optional<version_id> settled; ///< the version that the last roll-out brought in
        time_point seen{};
        time_point step_began{};
        time_point next_write{};
        bool is_bad = false;                   ///< this instance found it so
        std::optional<time_point> verdict_due; ///< when it is written
        std::uint32_t answers_before_step = 0; ///< of the new version
        std::uint64_t sent = 0;                ///< requests since the order, by this instance
        std::uint64_t sent_to_new = 0;         ///< those to the new version
        version_trial trial;
        std::optional<time_point> tell_at;  ///< evidence, to other instances
        bool is_told_again = false;         ///< datagrams may be lost: what is told last is told twice
        std::optional<version_id> rejected; ///< by a verdict on an earlier order
    };

    static bool is_running(const rollout& it) { return it.record.state == rollout_state::running; }
    /// Whether its target was found bad, here or by another instance.
    static bool is_rejected(const rollout& it)
    {
        return it.is_bad || it.record.state == rollout_state::rolled_back;
    }
    std::optional<rollout_record> next_record(rollout& it, time_point now);
    time_point next_change(const rollout& it) const;
    /// Whether a session that has not run on the new version may do so now.
    bool may_enter(const rollout& it, session_hash session, bool ran_on_old) const;
    rollout& at(const service_id& service);
    rollout* find_running(const service_id& service);
    trial_phase phase_of(const rollout& it) const;
    void judge(time_point now, rollout& it);
    void reject(rollout& it, const version_fault& why);
    /// Whether the next step has to wait. At the end of its time a version that is in doubt is rejected.
    bool is_in_doubt(time_point now, rollout& it);
    bool has_too_few_answers(const rollout& it) const;
    void tell_by(rollout& it, time_point at);
    /// How long after a step is due this instance writes it.
    milliseconds delay() const;
    /// The same of a verdict.
    milliseconds verdict_delay() const;

    rollout_options options_;
    rollout_schedule schedule_;
    std::uint64_t seed_;
    bool follows_store_ = true;
    std::map<service_id, rollout> rollouts_;
    std::map<service_id, answer_times> times_;
};

} // namespace runlink::routing
