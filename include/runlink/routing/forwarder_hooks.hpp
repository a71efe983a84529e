/// \file
/// What the forwarder tells its surroundings: orders to the edge, news for other instances, log lines,
/// counters.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/crashes/crash_messages.hpp"
#include "runlink/places/advertised_limits.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/messages.hpp"

namespace runlink::routing
{

/// What happened, for the log. Empty and negative members are left out.
struct decision
{
    std::string_view event;
    std::string_view request;
    std::string_view reason;
    std::string content; ///< fingerprint of the request's content, the same for each repeat of its caller
    std::string route;
    std::string account;
    std::string session;
    std::string endpoint;
    std::string version;
    std::string model;
    std::string failure_domain;
    std::string_view source; ///< who said it: `answer` of the endpoint itself, or `peer`
    std::string limit;       ///< requests a second that an endpoint takes from all instances together
    std::optional<core::run_outcome> outcome; ///< of a request that has ended
    int status = -1;
    int confidence = -1;
    std::int64_t attempt = -1;
    std::int64_t elapsed_ms = -1;
    std::int64_t time_left_ms = -1;
    std::int64_t proof_age_ms = -1;
    std::int64_t table_version = -1;
    std::int64_t expected_wait_ms = -1;  ///< for what is read before this prompt
    std::int64_t expected_read_ms = -1;  ///< for the prompt
    std::int64_t cold_ms = -1;           ///< how much longer an endpoint counts as cold
    std::int64_t ends = -1;              ///< endpoints that ended under the request
    std::int64_t trials = -1;            ///< of the request, alone at an endpoint
    std::int64_t evidence_age_ms = -1;   ///< since the latest of these ends
    std::string_view denied;             ///< what spoke against another attempt
    std::int64_t key_gone_ms = -1;       ///< since a key that is gone was last known to hold
    std::int64_t allowance_left = -1;    ///< repeats that the service may still send
    std::int64_t endpoints_fitting = -1; ///< that another attempt might have gone to
    std::int64_t endpoints_limited = -1; ///< that would fit, had they not named a limit or asked for rest
    std::int64_t place_ms = -1;          ///< until one of these may be sent to
    std::int64_t endpoints_resting = -1; ///< of these, at their own request
    std::int64_t rest_ms = -1;           ///< that an endpoint asked for
    std::int64_t statement_age_ms = -1;  ///< since the endpoint said so
    std::optional<bool> is_sender;       ///< whether this instance sends to that cold endpoint
};

/// What the forwarder tells the edge. For each request: one `forward_answer`, or `forward_head`, any
/// `forward_bytes` and then `forward_end` or `break_off`, or one `refuse`.
struct forwarder_hooks
{
    std::function<void(const attempt_order&)> start;
    std::function<void(attempt_id)> cancel;
    /// Asks an endpoint whether it lives, by a connection; `on_asked` is called with what became of it.
    std::function<void(const endpoint_entry&)> ask;
    /// Another life has the address: connections that are kept lead to the earlier one.
    std::function<void(const endpoint_entry&)> endpoint_restarted = [](const endpoint_entry&) {};
    std::function<void(flow_id, attempt_id)> forward_answer;
    std::function<void(flow_id, attempt_id)> forward_head;
    std::function<void(flow_id, std::string_view)> forward_bytes;
    std::function<void(flow_id)> forward_end;
    std::function<void(flow_id)> break_off;
    std::function<void(flow_id, const refusal&)> refuse;
    /// A session of the first part of a roll-out ran: other instances are to know.
    std::function<void(const session_run&)> session_ran;
    /// A prompt was sent to an endpoint: other instances are to know.
    std::function<void(const prompt_sent&)> prompt_went;
    /// An endpoint began the answer to a prompt: other instances are to know.
    std::function<void(const prompt_answered&)> prompt_came;
    /// What other instances are to know of endpoints that ended.
    std::function<void(const crashes::crash_news&)> crash_seen = [](const auto&) {};
    /// What other instances are to know of limits that endpoints name; `to` empty: all instances.
    std::function<void(const std::vector<core::instance_id>& to, const std::vector<places::limit_report>&)>
        tell_limits = [](const auto&, const auto&) {};
    /// Endpoints said that they leave: all other instances are to know.
    std::function<void(const leaving_notices&)> tell_leaving = [](const auto&) {};
    /// This instance has found out that endpoints end under a request; the finding is to outlast it.
    std::function<void(crashes::request_fingerprint)> found_harmful = [](auto) {};
    std::function<void(const decision&)> log;
    /// A request has ended: its account, route and time, for the metrics.
    std::function<void(const decision&, core::duration)> ended;
};

/// Counters by what happened.
struct forwarder_counters
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0; ///< ended without an answer though it may have run
    std::uint64_t broken = 0; ///< streams that were cut
    std::uint64_t callers_left = 0;
    std::uint64_t attempts = 0;
    std::uint64_t repeats = 0;
    std::uint64_t hedges = 0;
    std::uint64_t resumed = 0;
    std::uint64_t escalated = 0;
    std::uint64_t endpoint_refusals = 0;
    std::uint64_t attempts_lost = 0;
    std::uint64_t prompts_told = 0;    ///< to other instances
    std::uint64_t prompts_heard = 0;   ///< of other instances
    std::uint64_t cold_sends = 0;      ///< to endpoints that were cold
    std::uint64_t without_place = 0;   ///< refused since no endpoint may be used now
    std::uint64_t endpoints_ended = 0; ///< seen by broken connections of this instance
    std::uint64_t suspected = 0;       ///< requests
    std::uint64_t trials = 0;          ///< of suspected requests
    std::uint64_t found_harmful = 0;   ///< requests
    std::uint64_t harmful_refused = 0;
    std::uint64_t limited_sends = 0;     ///< to endpoints that named a limit
    std::uint64_t withheld = 0;          ///< sends that lost their place while they connected
    std::uint64_t waited = 0;            ///< requests that waited for a place
    std::uint64_t successors_denied = 0; ///< attempts that were waited for since no other might go
};

} // namespace runlink::routing
