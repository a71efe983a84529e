/// \file
/// The life cycle of each forwarded request, from arrival to the final answer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/load/model_choice.hpp"
#include "runlink/load/plain_load.hpp"
#include "runlink/paths/path_control.hpp"
#include "runlink/places/evacuations.hpp"
#include "runlink/routing/forwarder_hooks.hpp"
#include "runlink/routing/forwarder_options.hpp"
#include "runlink/routing/messages.hpp"
#include "runlink/routing/newer_versions.hpp"
#include "runlink/routing/place_queue.hpp"
#include "runlink/routing/repeated_news.hpp"
#include "runlink/routing/routing_table.hpp"
#include "runlink/routing/session_pins.hpp"
#include "runlink/routing/stream_position.hpp"
#include "runlink/routing/succession.hpp"

namespace runlink::routing
{

/// Receives requests and the results of their attempts, and decides what is sent where and when.
///
/// A refusal says `not_run` only if no attempt may have run. A request that is not idempotent has at most one
/// attempt that may have run. A stream is resumed at another endpoint as `stream_position` says, and
/// the attempt before is cancelled before an event of the new one is forwarded.
class request_forwarder
{
public:
    request_forwarder(forwarder_options options, const failure_domain_id& own_domain,
                      const core::instance_id& self, forwarder_hooks hooks);
    request_forwarder(const request_forwarder&) = delete;
    request_forwarder& operator=(const request_forwarder&) = delete;

    /// The process has started: requests may wait briefly for the first routing table.
    void begin_start(time_point now) { start_queue_.open(now); }
    /// The process was suspended from `since` to `now`. Requests that are read before `end_wake` may have
    /// arrived at any time in between, so their deadlines count from `since`: no request is forwarded after
    /// its caller's deadline.
    void on_wake(time_point now, time_point since);
    void end_wake() { paused_since_.reset(); }
    /// Makes a newer routing table current.
    void apply(routing_table_ptr table);
    const routing_table_ptr& table() const { return table_; }
    /// A store call sent at `sent_at` proved that the routing table is current.
    void proven_current(time_point sent_at);
    /// Time since the table was last proven to be current; nothing without a proof.
    std::optional<core::duration> proof_age(time_point now) const;

    /// Another instance has this version of the routing table in force. Returns whether that is news.
    bool on_version_known(time_point now, std::uint64_t version);
    /// Whether a newer routing table has been known for so long that no request is admitted by this one.
    bool is_outdated(time_point now) const;
    const newer_versions& known_versions() const { return newer_versions_; }

    /// Processes an endpoint entry of the store.
    endpoint_directory::change on_endpoint(time_point now, const endpoint_entry& it);
    /// Processes the complete list of readable entries. Endpoints that are missing from it are removed; those
    /// in `unreadable`, whose entries could not be parsed, are removed at once.
    void on_endpoints(time_point now, const std::vector<endpoint_entry>& all,
                      const std::vector<endpoint_name>& unreadable);
    /// An operator evacuated a failure domain (nothing is sent there) or readmitted it.
    void on_evacuated(const failure_domain_id& domain);
    void on_readmitted(time_point now, const failure_domain_id& domain);
    /// The complete set of evacuated failure domains.
    void on_evacuations(time_point now, const std::set<failure_domain_id>& all);
    /// Limits on what endpoints accept, and which instances send to endpoints that accept little.
    places::endpoint_bounds& bounds() { return bounds_; }
    /// This instance's share of the slack of retry budgets.
    routing::retry_share& own_retry_share() { return retry_share_; }
    const routing::retry_share& own_retry_share() const { return retry_share_; }
    const places::endpoint_bounds& bounds() const { return bounds_; }
    const places::evacuations& evacuated() const { return evacuations_; }
    endpoint_directory& endpoints() { return endpoints_; }
    const endpoint_directory& endpoints() const { return endpoints_; }
    rollout_control& rollouts() { return rollouts_; }
    const rollout_control& rollouts() const { return rollouts_; }
    /// An operator's order to roll out a version, written to the store at `written_at`.
    void on_order(time_point now, const rollout_order& order, time_point written_at);

    /// The process ends at `end`. From `closed_from` on, only requests with a deadline up to `end` are
    /// accepted.
    void begin_stop(time_point closed_from, time_point end) { stop_ = stop_times{closed_from, end}; }

    void on_request(time_point now, flow_id id, inbound_request request);
    void on_caller_left(time_point now, flow_id id);

    /// The attempt is connected. Returns whether its request may still be written.
    bool may_write(time_point now, attempt_id id);
    /// Bytes of the attempt's request may have been sent, so the request may run.
    void on_sent(time_point now, attempt_id id);
    /// A complete answer that is not a stream. The HTTP edge holds it until `forward_answer`.
    void on_answer(time_point now, attempt_id id, const attempt_head& head);
    void on_stream_head(time_point now, attempt_id id, const attempt_head& head);
    /// One complete stream event.
    void on_stream_event(time_point now, attempt_id id, std::string_view event,
                         std::optional<std::uint64_t> event_id);
    /// Bytes between events that carry no data, such as a comment that keeps the connection open.
    void on_stream_comment(time_point now, attempt_id id, std::string_view bytes);
    void on_stream_end(time_point now, attempt_id id);
    void on_lost(time_point now, attempt_id id, attempt_loss loss);

    /// Processes what an endpoint states about itself in the answer to a request sent at `asked_at`, even if
    /// the caller no longer waits for that answer.
    void on_statement(time_point now, const endpoint_id& id, time_point asked_at,
                      const endpoint_statement& it);
    /// Another instance reports endpoints that stated that they are leaving.
    void on_leaving_told(time_point now, const leaving_notices& it);
    /// All endpoints known to have stated that they are leaving, for an instance that starts.
    leaving_notices leaving_endpoints(time_point now) const;
    /// Another instance reports rate limits stated by endpoints.
    void on_limits_told(time_point now, const places::limit_reports& it);
    /// The result of a probe started by `forwarder_hooks::ask`.
    void on_probe_result(time_point now, const endpoint_id& id, core::contact what);
    /// The result of a probe started by `forwarder_hooks::ask_via`.
    void on_carried_probe_result(time_point now, const endpoint_id& id, const core::instance_id& via,
                                 core::contact what);
    /// The result of a probe started by `forwarder_hooks::probe_path`.
    void on_path_probed(time_point now, const endpoint_id& id, core::contact what);
    /// Which endpoints this instance reaches directly, and who carries its other connections.
    paths::path_control& paths() { return paths_; }
    const paths::path_control& paths() const { return paths_; }
    /// A session ran at another instance.
    void on_peer_run(time_point now, const session_run& it) { pins_.record_run(now, it.session, it.version); }

    /// Another instance sent a prompt to an endpoint.
    void on_peer_prompt(time_point now, const prompt_sent& it)
    {
        ++counters_.prompts_heard;
        chooser_.placement().on_peer_sent(now, it);
    }

    /// An endpoint began its answer to a prompt of another instance.
    void on_peer_answer(time_point now, const prompt_answered& it)
    {
        chooser_.placement().on_peer_answered(now, it);
    }

    /// A stream that another instance announced with its prompt is over.
    void on_peer_stream_ended(time_point now, const load::stream_ended& it)
    {
        chooser_.placement().on_peer_stream_ended(now, it);
    }
    /// The parts of load tracking that are in force.
    const load::active_load& active_load() const { return load_active_; }
    const prompt_placement& placement() const { return chooser_.placement(); }
    /// Number of streams tracked one by one, those of peers included.
    std::size_t streams_tracked() const { return chooser_.placement().streams().size(); }

    /// Prompts sent by instances of other failure domains.
    void on_remote_loads(time_point now, const load_digest& it)
    {
        chooser_.placement().on_remote_loads(now, it);
        on_peer_counts(now, {}, it.counts);
    }
    /// Prompts sent by instances of this instance's failure domain.
    load_digest local_loads(time_point now, milliseconds least) const
    {
        auto out = chooser_.placement().local_loads(now, least);
        if (load_active_.plain_load)
            out.counts = plain_.local_counts(now);
        return out;
    }
    /// Another instance announces its requests at plain endpoints.
    void on_peer_counts(time_point now, const core::instance_id& from,
                        const std::vector<load::request_counts>& all);
    /// Number of requests that wait until an endpoint may be sent to.
    std::size_t waiting_count() const { return slot_queue_.size(); }

    /// Another instance reports crashed endpoints.
    void on_crash_news(time_point now, const crashes::crash_message& it);
    crashes::crash_attribution& attribution() { return attribution_; }
    const crashes::crash_attribution& attribution() const { return attribution_; }

    /// Runs everything that is due at `now`.
    void tick(time_point now);
    /// Drops expired state. To be called about once per second.
    void keep_house(time_point now);
    std::optional<time_point> next_due() const;

    std::size_t active_count() const { return flows_.size() + start_queue_.size(); }
    /// Number of active requests whose API key is not in the current table.
    std::size_t count_without_key() const;
    const forwarder_counters& counters() const { return counters_; }
    const load::token_speed& token_speeds() const { return chooser_.placement().token_speeds(); }
    const load::answer_length& answer_lengths() const { return chooser_.placement().answer_lengths(); }
    /// Number of attempts under way at the endpoints of each service.
    std::map<service_id, std::uint32_t> running() const;

private:
    /// An active request.
    struct flow
    {
        flow_id id{};
        inbound_request request;
        crashes::request_elements elements;
        routing_table_ptr table;
        const route* matched_route = nullptr;
        service_id service;
        account_id account;
        const routing::account* owner = nullptr; ///< in `table`; null without a key
        /// When the key was last known to be valid, if the current table lacks it.
        std::optional<time_point> key_last_valid_at;
        int priority = 0;
        session_hash session;            ///< hash of the session, or of the request ID without a session
        std::uint64_t shared_parts = 0;  ///< hash of the prompt parts shared between requests
        std::uint32_t shared_tokens = 0; ///< tokens of these parts
        time_point arrived{};
        time_point deadline{};
        std::set<attempt_id> attempts;
        std::set<endpoint_id> tried;
        std::size_t model_index = 0; ///< index into the route's `model_sizes`
        std::uint32_t sends = 0;
        std::uint32_t unsent = 0; ///< sends of which no byte was sent
        std::uint32_t runs = 0;   ///< attempts that may have run
        bool head_forwarded = false;
        bool hedged = false;
        std::optional<time_point> held_since; ///< start of the wait for an isolated run or a send slot
        bool waits_for_slot = false;
        bool run_counted = false; ///< `forwarder_hooks::run_began` was called
        /// Why no further attempt was allowed, since the latest one was sent.
        std::optional<succession_denial> denied;
        stream_position position;
        std::uint32_t events = 0; ///< forwarded to the caller, over all attempts
        time_point last_progress{};
        time_point move_denied_at{}; ///< when a move was last denied
        time_point check_at{};       ///< the time in `timers_`
        time_point probe_at{};       ///< when its endpoint is probed if it stays silent
        /// When to check again whether attempts at ended endpoints may be replaced.
        std::optional<time_point> replace_at;
    };
    /// One send of a request to an endpoint.
    struct attempt
    {
        flow_id flow{};
        endpoint_id endpoint;
        endpoint_name name;    ///< endpoint name
        core::instance_id via; ///< the instance that carries the connection; empty: direct
        version_id version;
        model_id model;
        std::uint32_t number = 0; ///< counts the sends of the request, from 1
        bool may_have_run = false;
        std::optional<placed_prompt> prompt;  ///< set until the endpoint has read the prompt
        std::optional<tracked_stream> stream; ///< set if streams are tracked
        bool is_plain = false;                ///< counted in `plain_`
        time_point started{};
        duration expected{}; ///< estimated time to the first byte, from backlog and prompt; 0: unknown
        bool has_head = false;
        bool ends_with_connection = false; ///< see `attempt_head`
        std::optional<time_point> first_event;
        std::uint32_t events = 0;
        stream_run run;
        time_point sampled_at{}; ///< start of the next sample of the time per token
        answer_counts counted;   ///< what was already counted in the version statistics
        bool is_trial = false;   ///< isolated run of a suspected request
        bool has_ended = false;  ///< the endpoint has ended, as far as is known
        bool is_stalled = false; ///< a successor was sought because the attempt made no progress
    };

    // Arrival
    /// Whether there is a routing table by which requests may be admitted.
    bool is_started(time_point now) const;
    /// Admits the request and sends its first attempt, holds it, or refuses it.
    void start_flow(time_point now, time_point arrived, flow_id id, inbound_request request);
    /// Processes requests of the start queue that are ready or due.
    void process_start_queue(time_point now);
    /// Returns the refusal if the request cannot be admitted.
    std::optional<refusal> admit(time_point now, flow& it);
    std::optional<refusal> check_key(time_point now, flow& it);
    /// Chooses the service of the request and derives its session and prompt hashes.
    void assign_service(flow& it) const;
    /// Expected wait and read time of the request's prompt at the endpoint that it would be sent to now;
    /// nothing without a prompt or an endpoint.
    std::optional<placed_prompt> expected_prompt(time_point now, const flow& it) const;
    /// The retry delay for a caller that is refused now.
    milliseconds retry_after(time_point now, const flow& it) const;
    /// Whether the table was proven to be current within `max_age`.
    bool is_fresh(time_point now, milliseconds max_age) const;
    /// Whether the current table is proven recently enough for its API keys to admit requests.
    bool are_keys_proven(time_point now) const;

    /// Reports once that the request has begun to run.
    void note_run(flow& it);

    // Endpoints
    /// Returns an empty ID for an endpoint that is not listed.
    failure_domain_id domain_of(const endpoint_id& id) const;
    paths::path_hooks path_hooks();
    void on_path_lost(time_point now, const failure_domain_id& domain, const paths::path_evidence& it);
    void on_path_regained(const failure_domain_id& domain, duration lost_for);
    /// Replaces attempts that were sent by way of the instance.
    void on_carrier_gone(time_point now, const core::instance_id& id);
    /// Whether the attempt's own connection to its endpoint is likely to be dead.
    bool is_path_lost(const attempt& it) const;
    /// Whether the loss of the attempt may be due to the network path instead of the endpoint.
    bool may_be_path_loss(const attempt& it) const;
    /// Probes an endpoint, by way of another instance if its path is lost.
    void ask(const endpoint_entry& it);
    /// Acts on an endpoint that does not answer (`silent`) or has ended (`refused`).
    void on_unreachable(time_point now, const endpoint_id& id, const core::instance_id& via,
                        core::contact what);
    /// Whether the request may go to the endpoint now.
    bool may_use(time_point now, const flow& it, const endpoint_entry& to) const;
    /// Whether the regions of route and client account allow the endpoint and its failure domain is not
    /// evacuated.
    bool is_allowed(const flow& it, const endpoint_entry& to) const;
    /// Time until the first allowed endpoint may be sent a request again.
    duration time_to_slot(time_point now, const flow& it) const;
    /// Whether a more urgent or an older request waits for a send slot at the endpoint.
    bool is_outranked(time_point now, const flow& it, const endpoint_entry& at) const;
    /// Whose next send to an endpoint is considered.
    enum class sender
    {
        self,
        any, ///< a refused caller may retry at any instance
    };
    /// Send slots of the endpoints that are suitable but restricted by their own statements.
    std::vector<slot_series> restricted_slots(time_point now, const flow& it, sender whose) const;
    /// Whether the request gets a send slot before its answer would be late.
    bool may_wait(time_point now, const flow& it) const;
    void wait_for_slot(time_point now, flow& it);
    /// The retry delay for the caller of a request without a send slot.
    milliseconds slot_retry_after(time_point now, const flow& it);
    /// A slot is free again: the first request that waits for one is checked at once.
    void recheck_first_waiting(time_point now, const service_id& service);
    void end_wait(flow& it);
    static slot_queue::entry queue_entry_of(const flow& it) { return {it.priority, it.arrived, it.id}; }
    /// Announces changed limits that are due to other instances.
    void announce_limits(time_point now);
    void mark_leaving(time_point now, const endpoint_id& id, milliseconds age, std::string_view source);
    leaving_notice notice_of(time_point now, const endpoint_id& id) const;
    void announce_leaving(time_point now);
    void log_statement(std::string_view event, const endpoint_id& id, std::string_view reason);
    /// What an answer says about how many refusals the endpoints of its service bear.
    void note_brittle(time_point now, const endpoint_id& id, std::optional<double> refusals_per_s,
                      time_point asked_at);
    void log_rest(const endpoint_id& id, duration rest);
    void log_limit(const endpoint_id& id, places::limit_change what, std::string_view source,
                   milliseconds age);
    void readmit(time_point now, const failure_domain_id& domain);
    /// Treats the endpoint as possibly cold.
    void mark_suspected_cold(time_point now, const endpoint_entry& it, places::cold_reason why);
    void mark_unreachable_cold(time_point now, const endpoint_id& id);
    void log_cold(time_point now, const endpoint_entry& it, places::cold_reason why);

    // Requests that crash endpoints
    crashes::crash_attribution::hooks attribution_hooks();
    /// Holds the request; `recheck_held` checks it again every `hold_interval`.
    void hold(time_point now, flow& it);
    /// Checks whether a held request may be sent, waits on or is refused.
    void recheck_held(time_point now, flow& it);
    std::vector<flow_id> flows_of(crashes::element_fingerprint it) const;
    /// Acts on requests that became suspected or were found harmful. Must not be called from the callbacks of
    /// the attribution, because this may end the attempt or flow that is being processed.
    void apply_verdicts(time_point now);
    /// Cancels attempts of a suspected request that were sent before the suspicion, and holds their flows.
    void withdraw_copies(time_point now, crashes::element_fingerprint it);
    /// Ends the flows of a request that was found harmful.
    void end_copies(time_point now, crashes::element_fingerprint it);
    /// Whether the request's answer has begun, or it may run only once and may have begun to run.
    bool is_exempt_from_verdict(const flow& it) const;
    /// Narrows `need` so that an isolated run goes to an endpoint with the fewest other requests, and other
    /// requests avoid endpoints with an isolated run.
    void isolate_suspects(time_point now, endpoint_need& need, bool is_trial) const;
    /// Reports a broken connection to the crash attribution. With `probes_endpoint`, probes the endpoint at
    /// once to find out whether it has ended: then all its requests are cut, and one of them may be the
    /// cause.
    void report_broken(time_point now, const flow& it, const attempt& from, bool probes_endpoint);
    /// Tells the crash attribution that an attempt was answered, and probes the endpoint if only the end of
    /// the connection shows that the answer is complete.
    void report_answered(time_point now, const flow& it, const attempt& from, bool ends_with_connection);
    /// Bytes of the endpoint have arrived.
    void on_heard(time_point now, const endpoint_id& id);
    void on_endpoint_ended(time_point now, crashes::endpoint_id_hash it);
    void report_endpoint_ended(time_point now, const endpoint_id& id, std::string_view how);
    void log_attribution(time_point now, std::string_view event, crashes::element_fingerprint it,
                         std::string_view reason);

    // Plain services
    /// Whether the request is for a plain service (without an engine) whose load is tracked.
    bool is_plain(const flow& it) const;
    duration time_to_target(time_point now, const flow& it) const;
    /// Whether the endpoint has room for the request; true if its load is not tracked.
    bool has_plain_room(time_point now, const flow& it, const endpoint_entry& at) const;
    /// Whether the endpoint is restricted by its own statements, or by its load.
    bool is_restricted(time_point now, const flow& it, const endpoint_entry& at) const;
    /// The endpoint for the next attempt; null if there is none.
    const endpoint_entry* choose_endpoint(time_point now, const flow& it, const endpoint_need& need) const;
    const endpoint_entry* lowest_end(time_point now, const flow& it, endpoint_chooser::candidates from) const;
    /// Tracks the load of the endpoint if its service is plain.
    void put_plain(const endpoint_entry& it);
    /// Counts the arrival of a request that is sent to an endpoint or has none.
    void note_plain_arrival(time_point now, const flow& it, const endpoint_entry* to);
    void note_plain_send(time_point now, const flow& it, const endpoint_entry& to);
    void note_plain_end(time_point now, const flow& it, const attempt& of);
    void note_plain_answer(time_point now, const attempt& from, bool is_refused);
    /// The send slots that are left at the endpoint by its load.
    slot_series with_load(time_point now, const endpoint_entry& at, slot_series it) const;
    /// Shortest expected time to an answer over the endpoints; 0 if the load is not tracked.
    duration expected_run(time_point now, const flow& it) const;
    void note_stated_load(time_point now, const endpoint_id& id, const endpoint_statement& it);
    /// When the waiting request may be sent; the end of time if that does not depend on load.
    time_point plain_slot_at(const flow& it) const;
    /// Whether the request was refused a send only for lack of room.
    bool lacks_room(time_point now, const flow& it) const;
    load::plain_load::waiting_check waits_at_all() const;
    void announce_counts(time_point now);

    // Attempts
    /// Whether the endpoint stated that it is leaving and may not be used even as a last resort.
    bool is_excluded_as_leaving(time_point now, const endpoint_id& id) const;
    /// Whether `table` has the request's key, for the same client account.
    static bool has_key(const routing_table& table, const flow& it);
    key_state key_state_of(time_point now, const flow& it) const;
    /// Time since the key was last known to be valid; -1 ms while the current table has it.
    milliseconds time_since_key_valid(time_point now, const flow& it) const;
    void send(time_point now, flow& it, const successor& to);
    void log_dispatched(time_point now, const flow& it, const attempt_order& order, const attempt& sent,
                        retry_cause cause);
    endpoint_need need_of(time_point now, const flow& it) const;
    /// The model that the next attempt asks for; empty if the caller named the model or the route has none.
    model_id model_of(const flow& it) const;
    std::optional<placed_prompt> place_prompt(time_point now, const endpoint_entry& to,
                                              const std::optional<prompt_need>& need,
                                              const std::optional<tracked_stream>& stream);
    void on_prompt_read(time_point now, attempt& it);

    // Streams tracked over all instances
    /// Takes the parts of load tracking that are in force by the current table.
    void apply_load_switches();
    /// Adds what the forecast of a stream needs.
    void add_stream_need(const flow& it, prompt_need& to) const;
    std::optional<tracked_stream> plan_stream(time_point now, const flow& it, const successor& to,
                                              attempt_id id) const;
    void begin_stream(time_point now, attempt& it);
    void end_stream(const attempt& it);
    static void describe_stream(const attempt& it, decision& to);

    // Succession: an attempt that may still be answered is cancelled only in the step that sends its
    // successor. Without a successor the attempt is kept.

    /// Whether the request's content may run freely, only in isolation, not now, or not at all.
    crashes::permission content_permission(time_point now, const flow& it) const;
    succession_input input_of(time_point now, const flow& it, retry_cause cause);
    /// Plans the next attempt without sending it.
    succession plan_successor(time_point now, const flow& it, retry_cause cause);
    /// Sends a successor that was planned in this step, as a retry.
    void send_retry(time_point now, flow& it, const successor& to);
    /// Replaces an attempt by its successor, or returns the reason against a successor.
    std::optional<succession_denial> try_replace(time_point now, attempt_id id);
    /// Tries to replace an attempt that is unlikely to be answered. `has_ended`: the endpoint has ended, as
    /// far as is known.
    void replace(time_point now, attempt_id id, bool has_ended);
    /// Checks again whether attempts at ended endpoints may be replaced.
    void replace_ended(time_point now, flow& it);
    /// If no attempt is active: retries the request, holds it, or ends it with the error `why`.
    void retry_or_end(time_point now, flow& it, core::errc why, retry_cause cause);
    void log_denial(time_point now, flow& it, succession_denial why, std::string_view event);
    double allowance_left(time_point now, const service_id& of);
    /// Adds the retry allowance to the log record.
    void describe_allowance(time_point now, const flow& it, decision& to);
    /// Adds the inputs of the denial to the log record.
    void describe_denial(time_point now, const flow& it, decision& to);
    void record_loss(time_point now, attempt_id id, attempt_loss loss);
    /// The event, or the end of the stream if it has no id, does not fit the ids before it. The attempt is
    /// lost.
    void on_event_out_of_order(time_point now, attempt_id id, std::optional<std::uint64_t> event_id);
    void record_failed_connection(time_point now, const attempt& it);
    std::optional<attempt> take_attempt(time_point now, attempt_id id);
    void cancel_attempts(time_point now, flow& it);
    /// Cancels all attempts of the request except `but`.
    void cancel_others(time_point now, flow& it, attempt_id but);
    /// Records the version of a session's latest run.
    void pin(time_point now, const flow& it, const version_id& version);
    version_sample sample_of(const flow& it, const attempt& from) const;
    void sample_head(time_point now, const flow& it, attempt& from);
    void sample_end(time_point now, const flow& it, attempt& from, bool is_bad);
    /// Samples an abandoned attempt. Without a first byte, its age is a lower bound of the time to the first
    /// byte. Without these samples a version that never answered 30 % of its requests was rated good.
    void sample_given_up(time_point now, const flow& it, attempt& from, bool is_stalled);
    cascade_input cascade_input_of(time_point now, const flow& it, int confidence, const succession& larger);
    /// Retries at a larger model if the confidence of the answer is too low. Returns whether it does.
    bool try_escalate(time_point now, flow& it, attempt_id from, int confidence);
    /// The larger models that may be asked, and where.
    struct larger_models
    {
        load::model_choice_input in;
        std::vector<successor> to; ///< for each of `in.larger`
    };
    std::optional<load::stream_forecast> forecast_of(time_point now, const endpoint_entry& to,
                                                     const std::optional<prompt_need>& need) const;
    load::model_choice_input choice_input_of(time_point now, const flow& it, const attempt& from,
                                             int confidence) const;
    /// Adds the sizes above that of `in`. Returns whether all that may be asked have a forecast, and one may.
    bool add_larger(time_point now, const flow& it, larger_models& out);
    /// Decides by the forecasts of the larger models. Empty: there is none, and the thresholds decide;
    /// otherwise whether a larger model was asked.
    std::optional<bool> try_choose_model(time_point now, flow& it, attempt_id from, int confidence);
    void note_kept(time_point now, flow& it, attempt_id from, const larger_models& all,
                   load::choice_reason why);
    /// Drops the answer of `from` and asks the model of index `size`.
    void ask_larger(time_point now, flow& it, attempt_id from, std::size_t size, const successor& to);

    // Speeds
    /// Streams at the endpoint, this instance's included.
    std::uint32_t running_at(time_point now, const endpoint_id& at) const;
    /// Generated tokens in one event of the request's stream.
    static std::uint32_t tokens_per_event(const flow& it);
    static model_id asked_model(const flow& it, const attempt& from);
    /// Learns the time per token from the events of an attempt, of which one was just counted.
    void learn_token_speed(time_point now, const flow& it, attempt& from);
    /// Learns the length of a response that ended, completely or not.
    void learn_length(const flow& it, bool is_complete);

    // Endings
    void end_without_answer(time_point now, flow& it, core::errc why);
    void finish(time_point now, flow& it, std::string_view outcome, int status);
    flow* find(attempt_id id);

    // Timers
    void arm(flow& it, time_point at);
    time_point next_check(const flow& it) const;
    void check(time_point now, flow& it);
    void hedge(time_point now, flow& it);
    /// Moves a stream without progress to another endpoint, but keeps the last attempt in reserve.
    void move(time_point now, flow& it);
    /// Like `move`, but may use the last attempt.
    void move_with_last_attempt(time_point now, flow& it);
    /// Whether a stream's attempt is kept until its successor answers: only if the service's run begins with
    /// its answer, so that two runs are not active at the same time.
    bool keeps_until_answered(const flow& it) const;
    /// Probes the silent endpoints of the request.
    void probe_endpoints(time_point now, flow& it);
    /// Replaces silent attempts that were sent to the endpoint on the same path, or all if it has ended.
    void replace_silent_attempts(time_point now, const endpoint_id& id, const core::instance_id& via,
                                 bool has_ended);
    void replace_earlier_life(time_point now, const endpoint_entry& it);

    decision describe(time_point now, const flow& it, std::string_view event) const;
    /// The id for the log; empty without one.
    static std::string text_of_id(std::optional<std::uint64_t> event_id);
    /// The first shared parts of the prompt, for the log.
    static std::string text_of_parts(const flow& it);

    forwarder_options options_;
    forwarder_hooks hooks_;
    routing_table_ptr table_;
    load::active_load load_active_; ///< by `options_.load` and the engines of `table_`
    newer_versions newer_versions_;
    std::optional<time_point> proven_at_;
    struct stop_times
    {
        time_point closed_from{};
        time_point end{};
    };
    std::optional<stop_times> stop_;
    endpoint_directory endpoints_;
    endpoint_chooser chooser_;
    liveness liveness_;
    places::endpoint_bounds bounds_;
    slot_queue slot_queue_;
    load::plain_load plain_;
    std::set<endpoint_id> unreadable_loads_; ///< endpoints whose statement of load was logged as unreadable
    time_point counts_checked_at_{};         ///< when announcements were last checked to be due
    repeated_news<endpoint_id> leaving_news_;
    places::evacuations evacuations_;
    paths::path_control paths_;
    crashes::crash_attribution attribution_;
    std::vector<crashes::element_fingerprint> suspected_; ///< requests whose copies are to be withdrawn
    std::vector<crashes::element_fingerprint> condemned_; ///< requests whose copies are to be ended
    rollout_control rollouts_;
    session_pins pins_;
    cascade_policy cascade_;
    load::model_choice model_choice_;
    admission admission_;
    start_queue start_queue_;
    std::optional<time_point> paused_since_;
    bool is_start_queue_ready_ = false; ///< the start queue may be processed: table or proof is new
    std::map<service_id, retry_allowance> retries_;
    retry_share retry_share_;
    std::map<flow_id, flow> flows_;
    std::map<attempt_id, attempt> attempts_;
    std::set<std::pair<time_point, flow_id>> timers_;
    std::uint64_t next_attempt_ = 1;
    std::uint64_t self_hash_; ///< hash of the instance's id
    forwarder_counters counters_;
};

} // namespace runlink::routing
