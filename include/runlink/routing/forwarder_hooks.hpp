/// \file
/// The outgoing interface of the forwarder: commands to the HTTP edge, messages for other instances, log
/// records and counters.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/crashes/crash_messages.hpp"
#include "runlink/paths/reach_messages.hpp"
#include "runlink/places/advertised_limits.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/messages.hpp"

namespace runlink::routing
{

/// A record of the structured log. Empty and negative members are omitted.
struct decision
{
    std::string_view event;
    std::string_view request;
    std::string_view reason;
    std::string content; ///< fingerprint of the request's content, equal for all retries by the caller
    std::string parts;   ///< fingerprints of the first shared parts of the prompt, separated by commas
    std::string route;
    std::string account;
    std::string session;
    std::string endpoint;
    std::string version;
    std::string model;
    std::string failure_domain;
    std::string via;         ///< instance that carries the connection to the endpoint
    std::string_view source; ///< `answer`: stated by the endpoint itself; `peer`: reported by an instance
    std::string limit;       ///< requests per second that the endpoint accepts from all instances together
    std::optional<core::run_outcome> outcome; ///< outcome of a completed request
    int status = -1;
    int confidence = -1;
    std::int64_t attempt = -1;
    std::string resumed_after;     ///< id of the event behind which an attempt continues a stream
    std::string event_id;          ///< id of an event that contradicts the one before; empty without one
    std::string previous_event_id; ///< id of the event before, or the one to resume after
    std::int64_t elapsed_ms = -1;
    std::int64_t time_left_ms = -1;
    std::int64_t proof_age_ms = -1;
    std::int64_t table_version = -1;
    std::int64_t expected_wait_ms = -1; ///< time to read the prompts queued before this one
    std::int64_t expected_read_ms = -1; ///< time to read this prompt
    std::int64_t running = -1; ///< streams or requests at the endpoint, over all instances, before this one
    std::int64_t expected_end_ms = -1;   ///< time until the end of a stream of median length
    std::int64_t cold_ms = -1;           ///< time for which the endpoint still counts as cold
    std::int64_t ends = -1;              ///< number of endpoints that crashed while running the request
    std::int64_t trials = -1;            ///< number of runs of the request in isolation at an endpoint
    std::int64_t evidence_age_ms = -1;   ///< time since the latest of these crashes
    std::string_view retry;              ///< what a retry was sent for, if it cost allowance
    std::string service;                 ///< whose retry allowance was asked
    std::string_view denied;             ///< why no further attempt was allowed
    std::int64_t key_gone_ms = -1;       ///< time since a removed key was last known to be valid
    std::string allowance_share;         ///< most retries that this instance may save up
    std::int64_t instances = -1;         ///< that share the slack of the retry budget
    std::int64_t allowance_left = -1;    ///< retries that the service's retry allowance still permits
    std::int64_t endpoints_fitting = -1; ///< endpoints that could take another attempt
    std::int64_t endpoints_limited = -1; ///< endpoints excluded only by a rate limit or a rest
    std::int64_t place_ms = -1;          ///< time until one of these may be sent a request
    std::int64_t endpoints_resting = -1; ///< endpoints among these that asked for a rest
    std::int64_t rest_ms = -1;           ///< rest that an endpoint asked for
    std::int64_t lost_ms = -1;           ///< time for which a path has been lost or its connections failed
    std::int64_t endpoints_failed = -1;  ///< endpoints that could not be connected to
    std::int64_t statement_age_ms = -1;  ///< time since the endpoint made the statement
    std::optional<bool> is_sender;       ///< whether this instance is among the senders of the endpoint
};

/// Callbacks of the forwarder. Each request gets exactly one of these sequences, unless its caller leaves:
/// `forward_answer`; or `forward_head`, any number of `forward_bytes` and then `forward_end` or `break_off`;
/// or `refuse`.
struct forwarder_hooks
{
    std::function<void(const attempt_order&)> start;
    std::function<void(attempt_id)> cancel;
    /// Probes an endpoint by opening a connection; the result is passed to `on_probe_result`.
    std::function<void(const endpoint_entry&)> ask;
    /// The same over a connection that another instance carries.
    std::function<void(const endpoint_entry&, const core::instance_id& via)> ask_via = [](const auto&,
                                                                                          const auto&) {};
    /// Connects to an endpoint directly, although its path is lost; the result is passed to `on_path_probed`.
    std::function<void(const endpoint_entry&)> probe_path = [](const auto&) {};
    /// Asks other instances whether they reach an endpoint and carry connections.
    std::function<void(const std::vector<core::instance_id>&, const paths::reach_query&)> query_reach =
        [](const auto&, const auto&) {};
    /// The instance is no longer used as a carrier.
    std::function<void(const core::instance_id&)> carrier_gone = [](const auto&) {};
    /// Pooled connections to the endpoint lead to an earlier incarnation, or over a path that is lost.
    std::function<void(const endpoint_entry&)> forget_connections = [](const endpoint_entry&) {};
    std::function<void(flow_id, attempt_id)> forward_answer;
    std::function<void(flow_id, attempt_id)> forward_head;
    std::function<void(flow_id, std::string_view)> forward_bytes;
    std::function<void(flow_id)> forward_end;
    std::function<void(flow_id)> break_off;
    std::function<void(flow_id, const refusal&)> refuse;
    /// Announces to other instances that a session ran that belongs to the first share of a roll-out.
    std::function<void(const session_run&)> announce_session_run;
    /// Announces to other instances that a prompt was sent to an endpoint.
    std::function<void(const prompt_sent&)> announce_prompt_sent;
    /// Announces to other instances that an endpoint began to answer a prompt.
    std::function<void(const prompt_answered&)> announce_prompt_answered;
    /// Announces to other instances that a stream is over at its endpoint, if its prompt was announced with
    /// it.
    std::function<void(const load::stream_ended&)> announce_stream_ended = [](const auto&) {};
    /// Announces requests at plain endpoints to other instances.
    std::function<void(const std::vector<load::request_counts>&)> announce_counts = [](const auto&) {};
    /// Announces endpoint crashes to other instances.
    std::function<void(const crashes::crash_message&)> announce_crashes = [](const auto&) {};
    /// Announces rate limits stated by endpoints to the instances in `to`, or to all if `to` is empty.
    std::function<void(const std::vector<core::instance_id>& to, const std::vector<places::limit_report>&)>
        announce_limits = [](const auto&, const auto&) {};
    /// Announces to all other instances that endpoints are leaving.
    std::function<void(const leaving_notices&)> announce_leaving = [](const auto&) {};
    /// This instance found a request to crash endpoints. The finding is to be stored so that it survives this
    /// instance.
    std::function<void(crashes::element_fingerprint)> found_harmful = [](auto) {};
    /// A request of the account began to run at an endpoint; called once for each request.
    std::function<void(const core::account_id&)> run_began = [](const auto&) {};
    std::function<void(const decision&)> log;
    /// A request has ended; its account, route and duration feed the metrics.
    std::function<void(const decision&, core::duration)> ended;
};

/// Event counters of the forwarder.
struct forwarder_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< requests that ended without an answer but may have run
    std::uint64_t broken = 0; ///< streams cut after their head was forwarded
    std::uint64_t callers_left = 0;
    std::uint64_t attempts = 0;
    std::uint64_t repeats = 0;
    std::uint64_t retries_charged = 0;      ///< sends that cost retry allowance
    std::uint64_t retries_unaffordable = 0; ///< decisions against another attempt for lack of allowance
    std::uint64_t hedges = 0;
    std::uint64_t resumed = 0;
    std::uint64_t escalated = 0;
    std::uint64_t escalated_to_middle = 0; ///< of these, to a model that is not the largest
    std::uint64_t kept_for_time = 0;       ///< unsure answers kept: larger models would end too late
    std::uint64_t kept_for_load = 0; ///< unsure answers kept for the load of larger models, or their price
    std::uint64_t endpoint_refusals = 0;
    std::uint64_t attempts_lost = 0;
    std::uint64_t prompts_told = 0;      ///< prompts announced to other instances
    std::uint64_t prompts_heard = 0;     ///< prompts announced by other instances
    std::uint64_t streams_begun = 0;     ///< tracked streams whose first token has arrived
    std::uint64_t streams_late = 0;      ///< of these, long after the forecast time
    std::uint64_t cold_sends = 0;        ///< sends to cold endpoints
    std::uint64_t without_place = 0;     ///< requests refused because no endpoint may be used now
    std::uint64_t endpoints_ended = 0;   ///< endpoint ends that this instance detected itself
    std::uint64_t suspected = 0;         ///< requests suspected of crashing endpoints
    std::uint64_t trials = 0;            ///< isolated runs of suspected requests
    std::uint64_t found_harmful = 0;     ///< requests found to crash endpoints
    std::uint64_t harmful_refused = 0;   ///< requests refused as harmful
    std::uint64_t limited_sends = 0;     ///< sends to endpoints with a stated rate limit
    std::uint64_t withheld = 0;          ///< sends that lost their send slot while connecting
    std::uint64_t carried = 0;           ///< sends by way of another instance
    std::uint64_t waited = 0;            ///< requests that waited for a send slot
    std::uint64_t no_room = 0;           ///< requests refused because plain endpoints had no room
    std::uint64_t counts_told = 0;       ///< announcements of requests at plain endpoints
    std::uint64_t successors_denied = 0; ///< attempts kept because no successor was allowed
};

} // namespace runlink::routing
