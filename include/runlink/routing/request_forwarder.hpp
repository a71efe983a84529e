/// \file
/// The life of each forwarded request, from its arrival to its final word.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/places/evacuations.hpp"
#include "runlink/routing/forwarder_hooks.hpp"
#include "runlink/routing/forwarder_options.hpp"
#include "runlink/routing/messages.hpp"
#include "runlink/routing/place_queue.hpp"
#include "runlink/routing/repeated_news.hpp"
#include "runlink/routing/routing_table.hpp"
#include "runlink/routing/session_pins.hpp"
#include "runlink/routing/succession.hpp"

namespace runlink::routing
{

/// Takes requests and what becomes of their attempts, and decides.
///
/// A refusal says `not_run` only while no attempt may have run. A request that is not idempotent has one
/// attempt that may have run at most. A stream goes on at another endpoint only behind its last whole event,
/// after the attempt before it was cancelled.
class request_forwarder
{
public:
    request_forwarder(forwarder_options options, const failure_domain_id& own_domain,
                      const core::instance_id& self, forwarder_hooks hooks);
    request_forwarder(const request_forwarder&) = delete;
    request_forwarder& operator=(const request_forwarder&) = delete;

    /// The process has started; requests may wait for the first table for a moment.
    void begin_start(time_point now) { start_queue_.open(now); }
    /// The process stood still since then. Requests that are read before `end_wake` may have come at any time
    /// in between: their deadlines count from its beginning, so that none is sent on after its caller's.
    void on_wake(time_point now, time_point since);
    void end_wake() { paused_since_.reset(); }
    /// A newer table is in force.
    void apply(routing_table_ptr table);
    const routing_table_ptr& table() const { return table_; }
    /// A call that was sent at this time proved the table to be the newest.
    void proven_current(time_point sent_at);
    /// Age of the proof, if there is one.
    std::optional<core::duration> proof_age(time_point now) const;

    /// An entry of the store.
    endpoint_directory::change on_endpoint(time_point now, const endpoint_entry& it);
    /// All entries that can be read; what is missing is gone, and at once where its entry cannot be read.
    void on_endpoints(time_point now, const std::vector<endpoint_entry>& all,
                      const std::vector<endpoint_name>& unreadable);
    /// An operator's order to send nothing to a failure domain, and its end.
    void on_evacuated(const failure_domain_id& domain);
    void on_readmitted(time_point now, const failure_domain_id& domain);
    /// All orders that stand.
    void on_evacuations(time_point now, const std::set<failure_domain_id>& all);
    /// What endpoints bear, and which instances send to those that bear little.
    places::endpoint_bounds& bounds() { return bounds_; }
    const places::endpoint_bounds& bounds() const { return bounds_; }
    const places::evacuations& evacuated() const { return evacuations_; }
    endpoint_directory& endpoints() { return endpoints_; }
    const endpoint_directory& endpoints() const { return endpoints_; }
    rollout_control& rollouts() { return rollouts_; }
    /// An operator's order to roll out a version, written to the store at that time.
    void on_order(time_point now, const rollout_order& order, time_point written_at);

    /// The process ends at `end`. From `closed_from` on only requests are taken that are over by then.
    void begin_stop(time_point closed_from, time_point end) { stop_ = stop_times{closed_from, end}; }

    void on_request(time_point now, flow_id id, inbound_request request);
    void on_caller_left(time_point now, flow_id id);

    /// The attempt's connection has come up: whether its bytes may still leave.
    bool may_write(time_point now, attempt_id id);
    /// Bytes of the attempt may have left.
    void on_sent(time_point now, attempt_id id);
    /// A whole answer that is not a stream. The edge keeps it.
    void on_answer(time_point now, attempt_id id, const attempt_head& head);
    void on_stream_head(time_point now, attempt_id id, const attempt_head& head);
    /// One whole event.
    void on_stream_event(time_point now, attempt_id id, std::string_view event,
                         std::optional<std::uint64_t> event_id);
    void on_stream_end(time_point now, attempt_id id);
    void on_lost(time_point now, attempt_id id, attempt_loss loss);

    /// What an endpoint says of itself in the answer to a request that was sent at `asked_at`, also where
    /// nobody waits for that answer any more.
    void on_statement(time_point now, const endpoint_id& id, time_point asked_at,
                      const endpoint_statement& it);
    /// Another instance heard endpoints say that they leave.
    void on_leaving_told(time_point now, const leaving_notices& it);
    /// All endpoints that are known to leave by their own word, for an instance that starts.
    leaving_notices leaving_endpoints(time_point now) const;
    /// Another instance's news of endpoints that name limits.
    void on_limits_told(time_point now, const places::limit_reports& it);
    void on_asked(time_point now, const endpoint_id& id, core::contact what);
    /// A session ran at another instance.
    void on_peer_run(time_point now, const session_run& it) { pins_.ran(now, it.session, it.version); }

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

    /// Prompts that instances of other failure domains sent.
    void on_far_loads(time_point now, const load_digest& it) { chooser_.placement().on_far_loads(now, it); }
    /// Prompts that instances of the own failure domain sent.
    load_digest near_loads(time_point now, milliseconds least) const
    {
        return chooser_.placement().near_loads(now, least);
    }

    /// Other instances saw endpoints end.
    void on_crash_news(time_point now, const crashes::crash_news& it);
    crashes::crash_attribution& attribution() { return attribution_; }
    const crashes::crash_attribution& attribution() const { return attribution_; }

    /// Does what is due.
    void tick(time_point now);
    /// Forgets what nobody asks for any more; about once a second.
    void keep_house(time_point now);
    std::optional<time_point> next_due() const;

    std::size_t active_count() const { return flows_.size() + start_queue_.size(); }
    /// Requests under way whose key the table in force has no more.
    std::size_t count_without_key() const;
    const forwarder_counters& counters() const { return counters_; }

private:
    struct flow
    {
        flow_id id{};
        inbound_request request;
        crashes::request_fingerprint fingerprint;
        routing_table_ptr table;
        const route* via = nullptr;
        service_id service;
        account_id account;
        const routing::account* owner = nullptr; ///< in `table`; null without a key
        /// When the key was last known to hold, if the table in force has it no more.
        std::optional<time_point> key_held_at;
        int priority = 0;
        session_hash session;            ///< or hash of the request without one
        std::uint64_t shared_parts = 0;  ///< hash of the prompt parts that requests share
        std::uint32_t shared_tokens = 0; ///< of these parts
        time_point arrived{};
        time_point deadline{};
        std::set<attempt_id> attempts;
        std::set<endpoint_id> tried;
        std::size_t size = 0; ///< index of the model
        std::uint32_t sends = 0;
        std::uint32_t unsent = 0; ///< of the sends: the connection did not come up
        std::uint32_t runs = 0;   ///< attempts that may have run
        bool head_forwarded = false;
        bool hedged = false;
        std::optional<time_point> held_since; ///< it waits for its turn to be tried alone, or for a place
        bool waits_for_place = false;
        /// What spoke against another attempt since the latest one was sent.
        std::optional<succession_denial> denied;
        std::optional<std::uint64_t> last_event;
        time_point last_progress{};
        time_point not_moved_at{}; ///< it was looked whether it may be moved, and it might not
        time_point check_at{};
        time_point ask_at{}; ///< when its silent endpoint is asked whether it lives
        /// When it is looked again whether it may leave an endpoint that has ended.
        std::optional<time_point> leave_at;
    };
    struct attempt
    {
        flow_id flow{};
        endpoint_id endpoint;
        endpoint_name name; ///< of the endpoint
        version_id version;
        model_id model;
        std::uint32_t number = 0;
        bool may_have_run = false;
        std::optional<placed_prompt> prompt; ///< while it is not read
        time_point started{};
        duration expected{}; ///< to the first byte, by what waits and is to be read; 0: not known
        bool has_head = false;
        std::optional<time_point> first_event;
        std::uint32_t events = 0;
        answer_counts counted;   ///< of it, in the judgement of versions
        bool is_trial = false;   ///< the request is suspected, and no other copy runs
        bool has_ended = false;  ///< its endpoint, as far as is known
        bool is_stalled = false; ///< a successor was looked for, since it made no progress
    };

    // Arrival
    /// Whether a table is there by which requests may be admitted.
    bool is_started(time_point now) const;
    void take(time_point now, time_point arrived, flow_id id, inbound_request request);
    void take_held(time_point now);
    std::optional<refusal> admit(time_point now, flow& it);
    std::optional<refusal> check_key(time_point now, flow& it);
    void place(flow& it) const;
    /// What is expected of the request's prompt at the endpoint where it would go now, if it has one.
    std::optional<placed_prompt> expect(time_point now, const flow& it) const;
    /// When a caller that is refused now is to come back.
    milliseconds retry_after(time_point now, const flow& it) const;
    bool is_fresh(time_point now, milliseconds max_age) const;
    /// Whether keys of the table in force may admit requests.
    bool keys_hold(time_point now) const;

    // Endpoints
    /// Empty for one that is not listed.
    failure_domain_id domain_of(const endpoint_id& id) const;
    /// Whether the request may go to the endpoint now.
    bool may_use(time_point now, const flow& it, const endpoint_entry& to) const;
    /// Whether the declarations allow it, and no order forbids it.
    bool is_allowed(const flow& it, const endpoint_entry& to) const;
    /// Until an endpoint may be used that bears nothing more now.
    duration time_to_place(time_point now, const flow& it) const;
    /// Whether a more urgent request, or an older one, waits for a place there.
    bool is_outranked(const flow& it, const endpoint_entry& at) const;
    /// Whose next send to an endpoint is meant.
    enum class sender
    {
        self,
        any, ///< a caller that is refused comes back to whichever instance
    };
    /// Endpoints that would fit had they not said that they bear little.
    std::vector<opening> openings(time_point now, const flow& it, sender whose) const;
    /// Whether the request has a place before its answer would be late.
    bool may_wait(time_point now, const flow& it) const;
    void wait_for_place(time_point now, flow& it);
    /// When the caller of a request without a place is to come back.
    milliseconds return_time(time_point now, const flow& it);
    void end_wait(flow& it);
    static place_queue::entry place_of(const flow& it) { return {it.priority, it.arrived, it.id}; }
    /// Tells other instances what is due.
    void tell_limits(time_point now);
    void mark_leaving(time_point now, const endpoint_id& id, milliseconds age, std::string_view source);
    leaving_notice notice_of(time_point now, const endpoint_id& id) const;
    void tell_leaving(time_point now);
    void log_statement(std::string_view event, const endpoint_id& id, std::string_view reason);
    void log_rest(const endpoint_id& id, duration rest);
    void log_limit(const endpoint_id& id, places::limit_change what, std::string_view source,
                   milliseconds age);
    void readmit(time_point now, const failure_domain_id& domain);
    void suspect(time_point now, const endpoint_entry& it, places::cold_reason why);
    void suspect_unreachable(time_point now, const endpoint_id& id);
    void log_cold(time_point now, const endpoint_entry& it, places::cold_reason why);

    // Requests under which endpoints end
    crashes::crash_attribution::hooks attribution_hooks();
    /// Waits for the request's turn to be tried.
    void hold(time_point now, flow& it);
    void release(time_point now, flow& it);
    std::vector<flow_id> flows_of(crashes::request_fingerprint it) const;
    /// Does what news of requests ask for. Not from within the attribution's calls: an attempt or a flow that
    /// is being worked on may be among those that are to end.
    void settle_verdicts(time_point now);
    void withdraw_copies(time_point now, crashes::request_fingerprint it);
    void end_copies(time_point now, crashes::request_fingerprint it);
    /// Whether the request's answer has begun, or an attempt may run only once and may have begun.
    bool is_beyond_verdict(const flow& it) const;
    /// Where a suspected request cuts the least, and where others do not meet one.
    void keep_apart(time_point now, endpoint_need& need, bool is_trial) const;
    /// Whether the endpoint ended is asked at once: all that it ran is cut, and one request may be the cause.
    void note_broken(time_point now, const flow& it, const attempt& from, bool asks_endpoint);
    void on_endpoint_ended(time_point now, crashes::endpoint_life it);
    void note_ended(time_point now, const endpoint_id& id, std::string_view how);
    void log_attribution(time_point now, std::string_view event, crashes::request_fingerprint it,
                         std::string_view reason);

    // Attempts
    /// Whether it leaves by its own word, and is not even used where nothing else fits any more.
    bool has_left(time_point now, const endpoint_id& id) const;
    /// Whether the request's client account has its key there.
    static bool has_key(const routing_table& table, const flow& it);
    key_standing key_of(time_point now, const flow& it) const;
    /// Since the key was last known to hold; negative while the table in force has it.
    milliseconds key_gone_for(time_point now, const flow& it) const;
    void send(time_point now, flow& it, const successor& to);
    void log_dispatched(time_point now, const flow& it, const attempt_order& order, const attempt& as);
    endpoint_need need_of(time_point now, const flow& it) const;
    /// The model that the request's next attempt asks for; empty where the caller named it.
    model_id model_of(const flow& it) const;
    std::optional<placed_prompt> place_prompt(time_point now, const endpoint_entry& to,
                                              const std::optional<prompt_need>& need);
    void prompt_read(time_point now, attempt& it);

    // Succession: an attempt that may still be answered is given up only in the step in which its successor
    // goes. Without one it is waited for.
    /// Whether the request may go on as a suspect that is tried, or at all.
    crashes::permission content_of(time_point now, const flow& it) const;
    succession_input input_of(time_point now, const flow& it, bool costs_allowance);
    succession plan(time_point now, const flow& it, bool costs_allowance);
    /// Sends what was planned in this step.
    void repeat(time_point now, flow& it, const successor& to, bool costs_allowance);
    /// Gives up an attempt for its successor, or tells what speaks against one.
    std::optional<succession_denial> try_replace(time_point now, attempt_id id);
    /// An attempt that will hardly be answered. `has_ended`: its endpoint, as far as is known.
    void replace(time_point now, attempt_id id, bool has_ended);
    /// Looks again whether attempts whose endpoints have ended may be replaced.
    void leave_ended(time_point now, flow& it);
    /// Nothing of the request is under way: sends it again, or ends it for the reason.
    void again_or_end(time_point now, flow& it, core::errc why, bool costs_allowance);
    void note_denied(time_point now, flow& it, succession_denial why, std::string_view event);
    /// Adds what the denial was decided by.
    void describe_denial(time_point now, const flow& it, decision& to);
    void note_lost(time_point now, attempt_id id, attempt_loss loss);
    std::optional<attempt> take_attempt(time_point now, attempt_id id);
    void cancel_attempts(time_point now, flow& it);
    /// Of a stream and its successor one goes on: the one that this attempt is.
    void cancel_others(time_point now, flow& it, attempt_id but);
    /// Notes the version of a session's latest run.
    void pin(time_point now, const flow& it, const version_id& version);
    version_sample sample_of(const flow& it, const attempt& from) const;
    void sample_head(time_point now, const flow& it, attempt& from);
    void sample_end(time_point now, const flow& it, attempt& from, bool is_bad);
    /// An attempt that nobody waits for any more. Without a first byte it says how long that takes at least:
    /// a version of which 30 % of the answers never came was declared good while these were not counted.
    void sample_given_up(time_point now, const flow& it, attempt& from, bool is_stalled);
    cascade_input cascade_input_of(time_point now, const flow& it, int confidence, const succession& larger);
    /// Asks the largest model where the answer is not sure enough. Returns whether it does.
    bool try_escalate(time_point now, flow& it, attempt_id from, int confidence);

    // Endings
    void end_without_answer(time_point now, flow& it, core::errc why);
    void finish(time_point now, flow& it, std::string_view outcome, int status);
    flow* find(attempt_id id);

    // Timers
    void arm(flow& it, time_point at);
    time_point next_check(const flow& it) const;
    void check(time_point now, flow& it);
    void hedge(time_point now, flow& it);
    /// Sends a stream without progress to another endpoint.
    void move(time_point now, flow& it);
    /// The same, with its last attempt as well.
    void move_with_last_attempt(time_point now, flow& it);
    /// Whether a stream's attempt is kept until its successor answers: only where a run begins with its
    /// answer, so that two runs do not work side by side.
    bool keeps_until_answered(const flow& it) const;
    void ask_endpoints(time_point now, flow& it);
    void replace_silent_attempts(time_point now, const endpoint_id& id, bool has_ended);
    void replace_earlier_life(time_point now, const endpoint_entry& it);

    decision describe(time_point now, const flow& it, std::string_view event) const;

    forwarder_options options_;
    forwarder_hooks hooks_;
    routing_table_ptr table_;
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
    place_queue place_queue_;
    repeated_news<endpoint_id> leaving_news_;
    places::evacuations evacuations_;
    crashes::crash_attribution attribution_;
    std::vector<crashes::request_fingerprint> suspected_; ///< their copies are to be withdrawn
    std::vector<crashes::request_fingerprint> condemned_; ///< their copies are to end
    rollout_control rollouts_;
    session_pins pins_;
    cascade_policy cascade_;
    admission admission_;
    start_queue start_queue_;
    std::optional<time_point> paused_since_;
    bool may_release_ = false; ///< held requests may be decided on
    std::map<service_id, retry_allowance> retries_;
    std::map<flow_id, flow> flows_;
    std::map<attempt_id, attempt> attempts_;
    std::set<std::pair<time_point, flow_id>> timers_;
    std::uint64_t next_attempt_ = 1;
    forwarder_counters counters_;
};

} // namespace runlink::routing
