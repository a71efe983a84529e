/// \file
/// Finds the element of requests, their content or a part of their prompts, that crashes endpoints.
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
#include "runlink/crashes/unproven_answers.hpp"

namespace runlink::crashes
{

using core::duration;
using core::milliseconds;
using core::time_point;

/// Parameters for attributing endpoint crashes to the requests that caused them.
struct attribution_options
{
    /// Number of endpoints that have to end while they run requests with an element before it is suspected. A
    /// request with a suspected element runs only as a trial: on an endpoint of its own, one at a time across
    /// all instances.
    std::size_t suspect_threshold = 2;
    /// A part of a prompt is suspected only after this time without a complete answer at any instance,
    /// because many requests may share it.
    milliseconds clearance_time{80};
    /// Upper bound of the delay before an instance announces that it answered a part under which an endpoint
    /// ended. Each instance derives its delay from its id, so that few of many instances announce it.
    milliseconds max_clearance_delay{40};
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
    /// Number of inconclusive trials after which an element counts as harmful, because each trial may have
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
    /// A complete answer at this instance clears elements that become suspected within this time after it.
    milliseconds answer_validity{2000};
    /// An endpoint whose bytes arrive this long after an answer ended with its connection did not crash under
    /// that answer. Longer than the time for which such bytes may be on their way.
    milliseconds heard_margin{50};
    /// A part that was answered within this time needs no probe after an answer that ended with its
    /// connection.
    milliseconds proof_interval{10000};
    /// Such an answer is kept for this long, in which the store drops the entry of an endpoint that crashed.
    milliseconds unproven_retention{5000};
    std::size_t max_tracked_elements = 1024;
    std::size_t max_answered_elements = 4096;
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
/// Protects against requests that crash every endpoint that runs them: a request that its caller repeats at
/// any instance, or different requests with one part in their prompts. The bound on the attempts of one
/// request does not stop them, because each is a new request. Dozens of other requests are interrupted
/// together with them, so counting alone would also blame those. Evidence is therefore kept for each element
/// of requests: a complete answer clears all elements of its request, so parts that many requests share are
/// not blamed for long. An element with which requests were running on two endpoints when they ended is
/// suspected. Requests with it then run as trials, one at a time across all instances, where few other
/// requests can be interrupted: a complete answer clears it, and another end proves it harmful. An end that
/// is attributed to a harmful element does not count against any other element.
///
/// Elements that were in all of the same requests cannot be told apart. They are found harmful together, and
/// only requests with all of them are refused.
///
/// A broken connection alone does not show that an endpoint ended: its address must refuse connections, or a
/// restarted endpoint with a new id must have taken its place. An element that was answered completely after
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
        /// The element is now suspected. Attempts of requests with it that have not begun have to be
        /// withdrawn and wait.
        std::function<void(time_point, element_fingerprint)> suspected = [](auto, auto) {};
        /// The element is harmful: attempts of requests that `judge` refuses have to be cancelled. `is_own`:
        /// found by this instance.
        std::function<void(time_point, element_fingerprint, bool is_own)> marked_harmful = [](auto, auto,
                                                                                              bool) {};
    };

    crash_attribution(attribution_options options, std::uint64_t own_hash, hooks to);
    crash_attribution(const crash_attribution&) = delete;
    crash_attribution& operator=(const crash_attribution&) = delete;

    const attribution_options& options() const { return options_; }
    /// Whether the request may be sent now, and how.
    permission judge(time_point now, const request_elements& of) const;
    suspicion suspicion_of(time_point now, element_fingerprint it) const;
    /// Time left until a harmful request may get another trial; zero for any other request.
    duration refusal_time_left(time_point now, const request_elements& of) const;
    /// Endpoints that run a request with a suspected element; no other request should be sent to them.
    std::set<endpoint_id_hash> endpoints_on_trial(time_point now) const;
    /// Elements without which a harmful element is not known to be harmful.
    std::vector<element_fingerprint> companions_of(element_fingerprint it) const;

    /// This instance sends a request with suspected elements to an endpoint as a trial.
    void begin_trial(time_point now, const request_elements& of, endpoint_id_hash at);
    /// The trial of this instance ended without a result. `has_reached`: its endpoint may have run the
    /// request; if false, the trial does not count towards `max_trials`.
    void end_trial(time_point now, const request_elements& of, endpoint_id_hash at, bool has_reached);
    /// Whether this instance may repeat its trial on another endpoint: nothing suggests that the current
    /// endpoint has ended, and the number of trials is below `max_trials`.
    bool may_repeat_trial(const request_elements& of) const;
    /// The connection broke on which a request ran that was sent at `sent_at`. Returns whether the caller
    /// should check if the endpoint still accepts connections.
    bool on_connection_broken(time_point now, const request_elements& of, endpoint_id_hash at,
                              time_point sent_at);
    /// An endpoint whose connections broke is alive or cannot be reached, so nothing shows that it ended.
    void on_end_not_confirmed(time_point now, endpoint_id_hash at);
    /// The endpoint has certainly ended.
    void on_ended(time_point now, endpoint_id_hash at);
    /// A request got a complete answer at this instance.
    void on_answered(time_point now, const request_elements& of);
    /// A request got an answer that ended with its connection, as the crash of an endpoint ends it too.
    /// Counts as complete only once the endpoint has been heard from after it. Returns whether the caller
    /// should check if the endpoint still accepts connections.
    bool on_answered_until_close(time_point now, const request_elements& of, endpoint_id_hash at,
                                 time_point sent_at);
    /// Bytes of the endpoint have arrived.
    void on_heard(time_point now, endpoint_id_hash from);
    /// The endpoint has accepted a connection that was opened after the latest answer.
    void on_reached(time_point now, endpoint_id_hash what);
    /// Handles a message of another instance.
    void on_message(time_point now, const crash_message& it);

    /// The store lists the element as harmful, or as harmful together with its companions.
    void on_recorded(time_point now, element_fingerprint it,
                     const std::vector<element_fingerprint>& companions = {});
    /// The store no longer lists the element as harmful.
    void on_unrecorded(time_point now, element_fingerprint it);
    /// Elements that the store still lists as harmful after `refusal_time`, or although they were cleared;
    /// returns each of them once.
    std::vector<element_fingerprint> take_expired(time_point now);

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
        time_point last_notice_at{}; ///< when its owner announced it last
        /// Endpoints at which its owner began it before; the request may still run there.
        std::set<endpoint_id_hash> earlier{};
        bool has_ended = false;                 ///< whether one of its endpoints has ended
        std::optional<time_point> verdict_at{}; ///< when to decide on its outcome

        bool ran_at(endpoint_id_hash it) const { return endpoint == it || earlier.contains(it); }
    };
    struct record
    {
        std::map<endpoint_id_hash, duration>
            ends; ///< ended endpoints, and how long the earliest request with the element had run there
        std::set<endpoint_id_hash> own_ends; ///< those of `ends` where a request of this instance ran
        time_point latest_end_at{};
        /// When the element counts as suspected, unless it is cleared before; set from the second end on.
        std::optional<time_point> suspect_from;
        bool is_suspect = false;
        std::optional<time_point> next_trial_at; ///< at this instance; set while suspected
        std::optional<trial> active_trial;
        std::uint32_t trials = 0;
        std::optional<endpoint_id_hash> trial_end; ///< the latest endpoint that ended during a trial
        std::optional<time_point> harmful_until;
        std::vector<element_fingerprint> companions; ///< see `element_finding::companions`
        bool is_recorded = false;                    ///< whether the store lists it as harmful
        bool on_probation = false; ///< refused for `refusal_time`; has to pass another trial
    };
    struct interrupted_attempt
    {
        request_elements elements;
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

    record* find(element_fingerprint it);
    const record* find(element_fingerprint it) const;
    record& at(time_point now, element_fingerprint it);
    static bool is_suspect(const record& it) { return it.on_probation || it.is_suspect; }
    /// Whether `among` contains a harmful element together with its companions.
    bool is_refused(time_point now, const std::vector<element_fingerprint>& among) const;
    permission judge_element(time_point now, element_fingerprint it) const;
    bool has_active_trial(time_point now, const record& it) const;
    std::size_t count_unconfirmed_losses(element_fingerprint it) const;
    /// Reports and counts the ends of the current batch.
    void flush_ends(time_point now);
    crash_report report_of(time_point now, endpoint_id_hash ended, const unconfirmed_loss& it) const;
    bool answered_since(element_fingerprint it, time_point when) const;
    /// A delay below `max` that differs between instances.
    duration own_delay(element_fingerprint it, milliseconds max) const;
    void record_end(time_point now, endpoint_id_hash ended, const std::vector<interrupted_element>& running);
    void record_end_under(time_point now, endpoint_id_hash ended, const interrupted_element& of);
    /// The element has reached `suspect_threshold`: suspects it, now or later, or clears it.
    void consider_suspicion(time_point now, element_fingerprint it);
    void suspect(time_point now, element_fingerprint it);
    /// Announces a part as harmless after a delay, unless another instance does so before.
    void clear_and_announce(time_point now, element_fingerprint part);
    void announce_clearances(time_point now);
    /// Decides on the outcome of a trial, for all elements that it tries.
    void conclude_trial(time_point now, const std::vector<element_fingerprint>& tried, endpoint_id_hash where,
                        bool has_reached);
    /// Those of the tried elements that ended most endpoints; they cannot be told apart.
    std::vector<element_fingerprint> most_ends_of(const std::vector<element_fingerprint>& tried) const;
    bool is_beyond_chance(time_point now, element_fingerprint it) const;
    /// Ends probably caused by other suspects, namely by those with an endpoint that ended during a trial.
    std::set<endpoint_id_hash> ends_by_others(element_fingerprint than) const;
    bool other_suspect_was_at(const std::vector<element_fingerprint>& than, endpoint_id_hash where) const;
    void schedule_trial(time_point now, element_fingerprint it, record& of);
    void remove_trial(element_fingerprint it, record& of);
    void on_trial_notice(time_point now, const trial_notice& it);
    void mark_harmful(time_point now, element_fingerprint it,
                      const std::vector<element_fingerprint>& companions, bool is_own);
    void attribute_to_harmful(endpoint_id_hash by_harmful);
    /// Answers of the endpoint that ended by `until` are complete.
    void prove_answers(time_point now, endpoint_id_hash from, time_point until);
    bool needs_probe(time_point now, const request_elements& of) const;
    /// Removes the element's record, unless it is known to be harmful by itself.
    void clear(element_fingerprint it);
    void remove_companion(element_fingerprint it);
    /// Clears the elements that were found harmful only together with this one, which is harmful by itself.
    void clear_companions_of(element_fingerprint it);
    void announce_trials(time_point now);
    void conclude_due_trials(time_point now);
    /// Reports of the ends under requests with the element that this instance saw itself.
    static std::vector<crash_report> own_reports(element_fingerprint it, const record& of);
    void broadcast_finding(time_point now, const element_finding& it);
    /// Schedules repeated reports of ends that this instance saw under a harmful element, so that other
    /// instances do not count them against any other element.
    void schedule_report_resends(time_point now, const std::vector<crash_report>& all);
    void evict_record();

    attribution_options options_;
    std::uint64_t own_hash_;
    hooks hooks_;
    std::map<element_fingerprint, record> records_;
    std::map<endpoint_id_hash, unconfirmed_loss> unconfirmed_losses_;
    unproven_answers unproven_;
    std::optional<time_point> flush_at_;
    std::set<element_fingerprint> on_trial_;   ///< elements whose record has an `active_trial`
    std::set<element_fingerprint> pending_;    ///< elements whose record has a `suspect_from`
    std::set<element_fingerprint> clearances_; ///< answered elements to be announced as harmless
    std::optional<time_point> announce_at_;
    std::vector<element_fingerprint> released_;          ///< listed by the store, but cleared
    std::map<element_fingerprint, time_point> answered_; ///< time of the latest complete answer
    std::deque<element_fingerprint> answered_order_;
    recent_set<endpoint_id_hash> ended_;
    end_rate rate_;
    recent_set<endpoint_id_hash> ends_by_harmful_; ///< endpoints whose end is attributed to a harmful request
    std::vector<scheduled_resend> scheduled_resends_;
};

} // namespace runlink::crashes
