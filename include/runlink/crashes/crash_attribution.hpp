/// \file
/// Finds the request that crashes endpoints among all requests that were running on them when they ended.
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

/// Parameters for attributing endpoint crashes to the requests that caused them.
struct attribution_options
{
    /// Number of endpoints that have to end while they run a request before it is suspected. A suspected
    /// request runs only as a trial: on an endpoint of its own, one copy at a time across all instances.
    std::size_t suspect_threshold = 2;
    /// Upper bound of the delay before a trial. Each instance derives its delay from its id, so that one
    /// instance at a time tries a suspected request.
    milliseconds max_trial_delay{300};
    /// Interval at which the instance that runs a trial announces it.
    milliseconds trial_interval{500};
    /// A trial of another instance counts as lost if no announcement arrives for this long.
    milliseconds trial_timeout{1600};
    /// Time between the end of a trial's endpoint and the verdict. Reports of other instances may arrive
    /// meanwhile and show that another suspect ran on that endpoint.
    milliseconds verdict_delay{120};
    /// Number of inconclusive trials after which a request counts as harmful, because each trial may have
    /// cost an endpoint.
    std::uint32_t max_trials = 4;
    /// Minimum expected time between false positives (harmless requests marked as harmful) of one instance,
    /// given its number of requests and the recent rate at which endpoints end. A trial marks a request as
    /// harmful only if this bound holds. Chance alone interrupts a long stream several times where endpoints
    /// come and go, and among many requests it interrupts some as often as would be very unlikely for a
    /// given one. The bound is per instance, and many instances decide independently.
    std::chrono::hours false_positive_interval{2400};
    /// A broken connection counts as the end of its endpoint only if that end is confirmed within this time.
    milliseconds end_confirmation_timeout{1500};
    /// Ends of endpoints that are seen within this time are reported in one message.
    milliseconds report_batch_window{10};
    /// If more endpoints than this end at once while they run requests of this instance, the cause is not a
    /// request but a version that is stopped or the loss of a failure domain. These ends are neither counted
    /// nor reported: reports of each end from all instances to all others would saturate their links.
    std::size_t max_simultaneous_ends = 16;
    /// How long a harmful request is refused. It then gets one more trial, because a later version of the
    /// endpoints may handle it.
    core::seconds refusal_time{600};
    /// How long a request's record is kept after the latest end of an endpoint under it.
    core::seconds record_retention{600};
    /// Delays after which a finding, and the reports of ends that it explains, are sent again, because
    /// datagrams may be lost.
    std::vector<milliseconds> resend_delays{milliseconds{200}, milliseconds{1000}};
    /// A complete answer at this instance clears a request that becomes suspected within this time after it.
    milliseconds answer_validity{2000};
    std::size_t max_tracked_requests = 1024;
    std::size_t max_answered_requests = 1024;
    std::size_t max_tracked_endpoints =
        512; ///< ended endpoints to remember, and separately those ended by a harmful request
};

/// Whether a request may be sent now.
enum class permission
{
    free,    ///< it is not suspected
    waits,   ///< it is or may become suspected, and its turn for a trial has not come
    alone,   ///< it is suspected and may run now as a trial
    refused, ///< it is harmful: it makes endpoints end
};

/// The evidence that an instance has against a request, for the log.
struct suspicion
{
    std::size_t ends = 0; ///< endpoints that ended while they ran it
    duration age{};       ///< since the latest of these ends
    std::uint32_t trials = 0;
};

/// Combines the reports of all instances on which requests ran on endpoints that ended.
///
/// Protects against a request that crashes every endpoint that runs it and that its caller repeats at any
/// instance. The bound on the attempts of one request does not stop it, because each repetition is a new
/// request. Dozens of other requests are interrupted together with it, so counting alone would also blame
/// those. A request that was running on two endpoints when they ended is suspected. It then runs as a trial,
/// one copy at a time across all instances, where few other requests can be interrupted: a complete answer
/// clears it, and another end proves it harmful. An end that is attributed to a harmful request does not
/// count against any other request.
///
/// A broken connection alone does not show that an endpoint ended: its address must refuse connections, or a
/// restarted endpoint with a new id must have taken its place. A request that was answered completely after
/// an attempt began did not end that attempt's endpoint.
class crash_attribution
{
public:
    struct hooks
    {
        /// Sends a message to all other instances.
        std::function<void(const crash_message&)> broadcast = [](const auto&) {};
        /// This instance or another one saw that an endpoint ended.
        std::function<void(time_point, endpoint_id_hash)> ended = [](auto, auto) {};
        /// The request is now suspected. Attempts of it that have not begun have to be withdrawn and wait.
        std::function<void(time_point, request_fingerprint)> suspected = [](auto, auto) {};
        /// The request is harmful: all its attempts have to be cancelled. `is_own`: found by this instance.
        std::function<void(time_point, request_fingerprint, bool is_own)> marked_harmful = [](auto, auto,
                                                                                              bool) {};
    };

    crash_attribution(attribution_options options, std::uint64_t own_hash, hooks to);
    crash_attribution(const crash_attribution&) = delete;
    crash_attribution& operator=(const crash_attribution&) = delete;

    const attribution_options& options() const { return options_; }
    /// Whether the request may be sent now, and how.
    permission judge(time_point now, request_fingerprint it) const;
    suspicion suspicion_of(time_point now, request_fingerprint it) const;
    /// Time left until a harmful request may get another trial; zero for any other request.
    duration refusal_time_left(time_point now, request_fingerprint it) const;
    /// Endpoints that run a suspected request; no other request should be sent to them.
    std::set<endpoint_id_hash> endpoints_on_trial(time_point now) const;

    /// This instance sends a suspected request to an endpoint as a trial.
    void begin_trial(time_point now, request_fingerprint it, endpoint_id_hash at);
    /// The trial of this instance ended without a result. `has_reached`: its endpoint may have run the
    /// request; if false, the trial does not count towards `max_trials`.
    void end_trial(time_point now, request_fingerprint it, endpoint_id_hash at, bool has_reached);
    /// Whether this instance may repeat its trial on another endpoint: nothing suggests that the current
    /// endpoint has ended, and the number of trials is below `max_trials`.
    bool may_repeat_trial(request_fingerprint it) const;
    /// The connection broke on which a request ran that was sent at `sent_at`. Returns whether the caller
    /// should check if the endpoint still accepts connections.
    bool on_connection_broken(time_point now, request_fingerprint it, endpoint_id_hash at,
                              time_point sent_at);
    /// An endpoint whose connections broke is alive or cannot be reached, so nothing shows that it ended.
    void on_end_not_confirmed(time_point now, endpoint_id_hash at);
    /// The endpoint has certainly ended.
    void on_ended(time_point now, endpoint_id_hash at);
    /// A request got a complete answer at this instance.
    void on_answered(time_point now, request_fingerprint it);
    /// Handles a message of another instance.
    void on_message(time_point now, const crash_message& it);

    /// The store lists the request as harmful.
    void on_recorded(time_point now, request_fingerprint it);
    /// The store no longer lists the request as harmful.
    void on_unrecorded(time_point now, request_fingerprint it);
    /// Requests that the store still lists as harmful after `refusal_time`; returns each of them once.
    std::vector<request_fingerprint> take_expired(time_point now);

    /// Sends and decides what is due.
    void tick(time_point now);
    /// When `tick` has to be called next; nothing if no work is pending.
    std::optional<time_point> next_due() const;
    /// Removes outdated records; call it about once a second.
    void expire(time_point now);
    /// Sets the current number of endpoints, which is needed to estimate the rate at which they end.
    void watch(time_point now, std::size_t endpoints) { rate_.watch(now, endpoints); }
    std::size_t size() const { return records_.size(); }

private:
    struct trial
    {
        endpoint_id_hash endpoint;
        bool is_own = false;
        time_point last_notice_at{};          ///< when its owner announced it last
        bool has_ended = false;               ///< whether its endpoint has ended
        std::optional<time_point> verdict_at; ///< when to decide on its outcome
    };
    struct record
    {
        std::map<endpoint_id_hash, duration>
            ends;                            ///< ended endpoints, and how long the request had run there
        std::set<endpoint_id_hash> own_ends; ///< those of `ends` where it ran for this instance
        time_point latest_end_at{};
        std::optional<time_point> next_trial_at; ///< at this instance; set while suspected
        std::optional<trial> active_trial;
        std::uint32_t trials = 0;
        std::optional<endpoint_id_hash> trial_end; ///< the latest endpoint that ended during a trial
        std::optional<time_point> harmful_until;
        bool is_recorded = false;  ///< whether the store lists it as harmful
        bool on_probation = false; ///< refused for `refusal_time`; has to pass another trial
    };
    struct interrupted_attempt
    {
        request_fingerprint request;
        time_point sent_at{};
    };
    struct unconfirmed_loss
    {
        time_point at{};
        bool has_ended = false; ///< the end of the endpoint is confirmed but not yet reported
        std::vector<interrupted_attempt> attempts;
    };
    struct scheduled_resend
    {
        time_point at{};
        crash_message what;
    };

    record* find(request_fingerprint it);
    const record* find(request_fingerprint it) const;
    record& at(time_point now, request_fingerprint it);
    bool is_suspect(const record& it) const;
    bool has_active_trial(time_point now, const record& it) const;
    std::size_t count_unconfirmed_losses(request_fingerprint it) const;
    /// Reports and counts the ends of the current batch.
    void flush_ends(time_point now);
    crash_report report_of(time_point now, endpoint_id_hash ended, const unconfirmed_loss& it) const;
    bool answered_since(request_fingerprint it, time_point when) const;
    duration trial_delay(request_fingerprint it) const;
    void record_end(time_point now, endpoint_id_hash ended, const std::vector<interrupted_request>& running);
    void record_end_under(time_point now, endpoint_id_hash ended, const interrupted_request& of);
    void conclude_trial(time_point now, request_fingerprint it, bool has_reached);
    bool is_beyond_chance(time_point now, request_fingerprint it) const;
    /// Ends probably caused by other suspects, namely by those with an endpoint that ended during a trial.
    std::set<endpoint_id_hash> ends_by_others(request_fingerprint than) const;
    bool other_suspect_was_at(request_fingerprint it, endpoint_id_hash where) const;
    void schedule_trial(time_point now, request_fingerprint it, record& of);
    void remove_trial(request_fingerprint it, record& of);
    void on_trial_notice(time_point now, const trial_notice& it);
    void mark_harmful(time_point now, request_fingerprint it, bool is_own);
    void attribute_to_harmful(endpoint_id_hash by_harmful);
    void clear(request_fingerprint it);
    /// Reports of the ends under a request that this instance saw itself.
    static std::vector<crash_report> own_reports(request_fingerprint it, const record& of);
    void broadcast_finding(time_point now, const request_finding& it);
    /// Schedules repeated reports of ends that this instance saw under a harmful request, so that other
    /// instances do not count them against any other request.
    void schedule_report_resends(time_point now, const std::vector<crash_report>& all);
    void evict_record();

    attribution_options options_;
    std::uint64_t own_hash_;
    hooks hooks_;
    std::map<request_fingerprint, record> records_;
    std::map<endpoint_id_hash, unconfirmed_loss> unconfirmed_losses_;
    std::optional<time_point> flush_at_;
    std::set<request_fingerprint> requests_on_trial_;    ///< requests whose record has an `active_trial`
    std::map<request_fingerprint, time_point> answered_; ///< time of the latest complete answer
    std::deque<request_fingerprint> answered_order_;
    recent_set<endpoint_id_hash> ended_;
    end_rate rate_;
    recent_set<endpoint_id_hash> ends_by_harmful_; ///< endpoints whose end is attributed to a harmful request
    std::vector<scheduled_resend> scheduled_resends_;
};

} // namespace runlink::crashes
