/// \file
/// Observes a forwarder as callers and endpoints see it, and checks invariants after each step.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::tests
{

constexpr std::uint64_t stream_length = 6; ///< in events

/// A request as its caller and the endpoints see it.
struct seen_request
{
    routing::route_kind kind = routing::route_kind::safe;
    bool is_idempotent = true;
    bool is_public = false; ///< accepted without an API key
    std::uint32_t max_attempts = 1;
    core::milliseconds max_duration{}; ///< upper bound on the time that an attempt may get
    core::time_point deadline{};
    std::string key;
    crashes::element_fingerprint content;
    int outcomes = 0; ///< final outcomes delivered to the caller; exactly 1 unless the caller left
    bool told_not_run = false;
    bool caller_left = false;
    std::uint64_t last_event = 0;
    std::uint32_t runs = 0; ///< attempts that were sent and not refused by the endpoint
    std::set<core::attempt_id> open;
    std::set<core::endpoint_id> tried; ///< endpoints tried with the current model
};

/// An attempt as its endpoint sees it.
struct seen_attempt
{
    routing::flow_id flow{};
    core::endpoint_id endpoint;
    core::version_id version;
    std::uint64_t next_event = 1;
    bool sent = false;
    core::time_point sent_at{};
    bool has_head = false;
    bool answered = false;
    bool is_unsealed = false; ///< the answer lacks the endpoint's digest
};

/// Records the hooks that a forwarder calls and checks them against its guarantees.
///
/// Each caller gets exactly one outcome. An attempt that could continue is cancelled only if, in the same
/// step, a replacement starts, another attempt delivers the answer, the caller leaves, or the deadline is
/// reached. Crash news about a request's content may also end the request or withdraw an attempt, but only
/// before the answer has begun. Nothing is sent for a removed API key after its grace period. A stream that
/// is cancelled after this period therefore has no replacement, and the check reports it.
class forwarding_witness
{
public:
    struct environment
    {
        /// The first event that an endpoint sends when a stream is resumed after the given event.
        std::function<std::uint64_t(std::uint64_t)> first_event_after;
        /// Whether an endpoint outside this set is available.
        std::function<bool(const std::set<core::endpoint_id>&)> has_untried;
        std::function<crashes::permission(crashes::element_fingerprint)> judge;
        /// The version that a roll-out withdrew, if any.
        std::function<std::optional<core::version_id>()> bad_version;
    };

    forwarding_witness(const routing::forwarder_options& options, environment callbacks);
    forwarding_witness(const forwarding_witness&) = delete;
    forwarding_witness& operator=(const forwarding_witness&) = delete;

    routing::forwarder_hooks hooks();
    std::map<routing::flow_id, seen_request>& requests() { return requests_; }
    std::map<core::attempt_id, seen_attempt>& attempts() { return attempts_; }
    const std::vector<core::endpoint_id>& pending_probes() const { return pending_probes_; }
    core::endpoint_id take_probe();

    /// Records the API keys of the routing table in force.
    void on_keys(const std::set<std::string>& keys);
    /// Records that the table was proven current at this time.
    void on_proof(core::time_point now);

    /// Records the request rate limit that an endpoint's answer declares; `nullopt` if it declares none.
    void on_limit(const core::endpoint_id& id, std::optional<double> requests_per_s);
    /// Records that an endpoint's answer announces its shutdown.
    void on_leaving(const core::endpoint_id& id) { leaving_.emplace(id, now_); }
    /// Records that an endpoint asks for no requests until the given time.
    void on_rest(const core::endpoint_id& id, core::time_point until);
    /// Checks rest, shutdown and rate limit when a request is written to the endpoint.
    void on_written(const core::endpoint_id& id);
    /// Begins a step, in which the forwarder handles one event.
    void begin_step(core::time_point now, std::string_view what);
    /// Checks the attempts that the forwarder cancelled in this step.
    void end_step();
    /// Checks at the end of a history that each request has one outcome and no open attempt.
    void check_over() const;

    void count(const std::string& what, std::uint64_t n = 1) { met_[what] += n; }
    /// Number of occurrences of each counted situation, by name.
    const std::map<std::string, std::uint64_t>& met() const { return met_; }

private:
    struct cancelled_run
    {
        core::attempt_id id{};
        seen_attempt was;
    };

    void on_start(const routing::attempt_order& it);
    void check_key(const seen_request& of) const;
    void on_cancel(core::attempt_id id);
    void on_log(const routing::decision& it);
    void check_cancelled(const cancelled_run& it);
    void check_withdrawn(const seen_request& of, const seen_attempt& was);
    /// Time since the key was last known to be valid, if the table in force no longer has it.
    std::optional<core::duration> time_since_key_valid(const std::string& key) const;

    core::milliseconds key_grace_;
    core::milliseconds max_key_age_;
    core::milliseconds max_denial_age_;
    core::milliseconds least_time_;
    environment environment_;
    std::map<routing::flow_id, seen_request> requests_;
    std::map<core::attempt_id, seen_attempt> attempts_;
    std::vector<core::endpoint_id> pending_probes_;
    std::set<std::string> keys_;
    std::map<std::string, core::time_point> key_valid_at_;
    std::optional<core::time_point> proven_at_;

    /// An endpoint's declared rate limit, and the times of requests written since it was declared.
    struct limited_endpoint
    {
        double requests_per_s = 0;
        core::time_point named_at{};
        std::vector<core::time_point> written;
    };
    std::map<core::endpoint_id, limited_endpoint> limited_;
    std::map<core::endpoint_id, core::time_point> resting_until_;
    std::map<core::endpoint_id, core::time_point> leaving_; ///< when the endpoint announced its shutdown

    // The current step
    core::time_point now_{};
    std::string step_;
    std::vector<cancelled_run> cancelled_;
    std::set<routing::flow_id> started_;
    std::set<routing::flow_id> answered_;
    /// Contents that crash news concerns: logged since the last tick, and in the tick interval before.
    struct content_news
    {
        std::set<std::string> fresh;
        std::set<std::string> pending;

        bool contains(const std::string& it) const { return fresh.contains(it) || pending.contains(it); }
        /// Ends the tick interval: drops the pending contents, and the fresh ones become pending.
        void end_interval();
    };
    content_news suspected_;
    content_news condemned_;

    std::map<std::string, std::uint64_t> met_;
};

} // namespace runlink::tests
