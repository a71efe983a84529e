/// \file
/// Finds the request under which endpoints end, among all that were cut with them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "runlink/core/units.hpp"
#include "runlink/crashes/crash_messages.hpp"
#include "runlink/crashes/end_rate.hpp"
#include "runlink/crashes/recent_set.hpp"

namespace runlink::crashes
{

using core::duration;
using core::milliseconds;
using core::time_point;

/// Parameters of the attribution.
struct attribution_options
{
    /// Endpoints that ended under a request, after which it runs only alone and one copy at a time.
    std::size_t ends_to_suspect = 2;
    /// Suspects are tried by one instance at a time: each waits for a part of this that its name gives.
    milliseconds turn_spread{300};
    /// The owner of a trial tells of it this often; without a word for `trial_silence` it counts as lost.
    milliseconds trial_interval{500};
    milliseconds trial_silence{1600};
    /// After the end of a trial's endpoint reports of others are waited for: another suspect may have been
    /// there.
    milliseconds verdict_delay{120};
    /// A request whose trials brought no finding so often is taken for harmful: each may have cost an
    /// endpoint.
    std::uint32_t most_trials = 4;
    /// A request is convicted where endpoints that end by chance, at the rate seen lately, would make an
    /// instance with as many requests convict one of them no more often than this. A long stream is cut
    /// several times where endpoints come and go, and among many requests some are cut as often as is next to
    /// impossible for each; many instances judge.
    std::chrono::hours one_wrong_in{2400};
    /// A broken connection is explained by then, or counts as no end of an endpoint.
    milliseconds explanation_time{1500};
    /// Ends that are seen within this time are told together.
    milliseconds gather{10};
    /// Where more endpoints end at one moment under the requests of one instance, no request is the cause,
    /// and none is told or counted: a version that is stopped, or the loss of a failure domain. All instances
    /// telling all others of each would take their links.
    std::size_t most_ends_at_once = 16;
    /// How long a harmful request is refused. Then it is tried once more: a later version may bear it.
    core::seconds harmful_for{600};
    /// How long ends are remembered.
    core::seconds memory{600};
    /// Findings, and the ends that they explain, are told again after these times: datagrams may be lost.
    std::vector<milliseconds> told_again{milliseconds{200}, milliseconds{1000}};
    /// An answer of this instance clears a request that others suspect within this time of it.
    milliseconds answer_holds{2000};
    std::size_t most_requests = 1024;
    std::size_t most_answered = 1024;
    std::size_t most_lives = 512; ///< endpoints of which it is remembered that they ended, and why
};

/// What may be done with a request now.
enum class permission
{
    free,
    waits,   ///< it is suspected, and another copy runs or will run before it
    alone,   ///< it is suspected, and may run now as a trial
    refused, ///< endpoints end under it
};

/// What an instance believes of a request, for the log.
struct standing
{
    std::size_t ends = 0; ///< endpoints that ended under it
    duration age{};       ///< since the latest end
    std::uint32_t trials = 0;
};

/// Puts together which requests ran at endpoints when these ended, over all instances.
///
/// Answers a request that ends each endpoint that runs it and that its caller repeats at any instance: the
/// bound on the attempts of one request does not hold it, since each repeat is a new one. Its runs are cut
/// beside dozens of others, so that counting alone would condemn those as well. A request that was there
/// twice is suspected. It is run once more, one copy at a time over all instances, where least else is cut:
/// a whole answer clears it, and another end convicts it. An end that a harmful request explains counts
/// against no other.
///
/// A broken connection alone is no end of an endpoint: its address must refuse connections, or another life
/// must have taken its place. A request that was answered whole after an attempt began did not end that
/// attempt's endpoint.
class crash_attribution
{
public:
    struct hooks
    {
        std::function<void(const crash_news&)> tell = [](const auto&) {};
        /// An endpoint has ended, as this instance or another one saw.
        std::function<void(time_point, endpoint_life)> ended = [](auto, auto) {};
        /// Attempts of the request that have not begun are to be withdrawn, and wait.
        std::function<void(time_point, request_fingerprint)> suspected = [](auto, auto) {};
        /// No attempt of the request may go on. `is_own`: this instance found it.
        std::function<void(time_point, request_fingerprint, bool is_own)> condemned = [](auto, auto, bool) {};
    };

    crash_attribution(attribution_options options, std::uint64_t own_hash, hooks to);
    crash_attribution(const crash_attribution&) = delete;
    crash_attribution& operator=(const crash_attribution&) = delete;

    const attribution_options& options() const { return options_; }
    permission judge(time_point now, request_fingerprint it) const;
    standing standing_of(time_point now, request_fingerprint it) const;
    /// Until a harmful request may be tried again.
    duration refused_for(time_point now, request_fingerprint it) const;
    /// Endpoints that run a suspected request: nothing else should go there.
    std::set<endpoint_life> on_trial(time_point now) const;

    /// A suspected request goes to an endpoint, alone.
    void begin_trial(time_point now, request_fingerprint it, endpoint_life at);
    /// The trial of this instance ended without a finding. `has_reached`: its endpoint may have run it.
    void end_trial(time_point now, request_fingerprint it, endpoint_life at, bool has_reached);
    /// Whether the trial of this instance may go on at another endpoint: nothing shows that the one it is at
    /// has ended, and another trial is left.
    bool may_hand_on(request_fingerprint it) const;
    /// A connection broke on which a request ran that had been sent then. Returns whether the endpoint should
    /// be asked.
    bool on_broken(time_point now, request_fingerprint it, endpoint_life at, time_point sent_at);
    /// The endpoint of broken connections lives, or cannot be reached: nothing shows that it ended.
    void on_not_ended(time_point now, endpoint_life at);
    /// The endpoint has ended.
    void on_ended(time_point now, endpoint_life at);
    /// A request was answered whole.
    void on_answered(time_point now, request_fingerprint it);
    void on_news(time_point now, const crash_news& it);

    /// The store has, or has no more, the finding that a request is harmful.
    void on_recorded(time_point now, request_fingerprint it);
    void on_unrecorded(time_point now, request_fingerprint it);
    /// Findings in the store whose time is over.
    std::vector<request_fingerprint> take_expired(time_point now);

    void tick(time_point now);
    std::optional<time_point> next_due() const;
    /// Forgets what is old; about once a second.
    void expire(time_point now);
    /// How many endpoints there are, from which their rate of ends follows.
    void watch(time_point now, std::size_t endpoints) { rate_.watch(now, endpoints); }
    std::size_t size() const { return records_.size(); }

private:
    struct trial
    {
        endpoint_life endpoint;
        bool is_own = false;
        time_point heard{};                   ///< the last word of its owner
        bool has_ended = false;               ///< its endpoint, since it began
        std::optional<time_point> verdict_at; ///< what became of it is known by then
    };
    struct record
    {
        std::map<endpoint_life, duration> ends; ///< and how long it had been there
        std::set<endpoint_life> own_ends;       ///< of these: it ran there for this instance
        time_point latest{};
        std::optional<time_point> turn_at; ///< of this instance; set while suspected
        std::optional<trial> now_tried;
        std::uint32_t trials = 0;
        std::optional<endpoint_life> trial_end; ///< the latest endpoint that ended under a trial
        std::optional<time_point> harmful_until;
        bool is_recorded = false;  ///< in the store
        bool on_probation = false; ///< it was harmful, a long time ago
    };
    struct broken_run
    {
        request_fingerprint request;
        time_point sent_at{};
    };
    struct unexplained_loss
    {
        time_point at{};
        bool has_ended = false; ///< the endpoint, which is to be told
        std::vector<broken_run> runs;
    };
    struct repeated_news
    {
        time_point at{};
        crash_news what;
    };

    record* find(request_fingerprint it);
    const record* find(request_fingerprint it) const;
    record& at(time_point now, request_fingerprint it);
    bool is_suspect(const record& it) const;
    bool is_tried(time_point now, const record& it) const;
    std::size_t unexplained_ends(request_fingerprint it) const;
    /// Tells and counts the ends that were gathered.
    void flush_ends(time_point now);
    crash_report report_of(time_point now, endpoint_life ended, const unexplained_loss& it) const;
    bool answered_since(request_fingerprint it, time_point when) const;
    duration turn_delay(request_fingerprint it) const;
    void count(time_point now, endpoint_life ended, const std::vector<cut_run>& running);
    void count_one(time_point now, endpoint_life ended, const cut_run& of);
    void decide(time_point now, request_fingerprint it, bool has_reached);
    bool is_beyond_chance(time_point now, request_fingerprint it) const;
    /// Ends that other suspects have probably caused: endpoints ended under their trials.
    std::set<endpoint_life> ends_by_others(request_fingerprint than) const;
    bool other_suspect_was_at(request_fingerprint it, endpoint_life where) const;
    void begin_turn(time_point now, request_fingerprint it, record& of);
    void drop_trial(request_fingerprint it, record& of);
    void hear_trial(time_point now, const trial_notice& it);
    void condemn(time_point now, request_fingerprint it, bool is_own);
    void explain(endpoint_life by_harmful);
    void clear(request_fingerprint it);
    /// The ends under a request that this instance saw.
    static std::vector<crash_report> own_reports(request_fingerprint it, const record& of);
    void tell(time_point now, const conduct_finding& it);
    /// Tells again of ends that this instance saw under a harmful request: they speak against no other.
    void tell_explained(time_point now, const std::vector<crash_report>& all);
    void make_room();

    attribution_options options_;
    std::uint64_t own_hash_;
    hooks hooks_;
    std::map<request_fingerprint, record> records_;
    std::map<endpoint_life, unexplained_loss> unexplained_;
    std::optional<time_point> flush_at_;
    std::set<request_fingerprint> tried_; ///< records with a trial
    std::map<request_fingerprint, time_point> answered_;
    std::deque<request_fingerprint> answered_order_;
    recent_set<endpoint_life> ended_;
    end_rate rate_;
    recent_set<endpoint_life> explained_; ///< of these: by a harmful request
    std::vector<repeated_news> repeats_;
};

} // namespace runlink::crashes
