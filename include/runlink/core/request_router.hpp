/// \file
/// Request lifecycle, from arrival to the complete answer or the refusal.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/core/account_limits.hpp"
#include "runlink/core/endpoint_selector.hpp"
#include "runlink/core/fair_queue.hpp"
#include "runlink/core/ledger_client.hpp"
#include "runlink/core/request.hpp"
#include "runlink/core/retry_budget.hpp"
#include "runlink/core/session_token.hpp"
#include "runlink/core/version_choice.hpp"
#include "runlink/core/version_guard.hpp"

namespace runlink::core
{

/// Limits and defaults of the router.
struct router_options
{
    std::uint32_t max_attempts = 3; ///< attempts per repeatable request, except those that did not run
    std::uint32_t max_refusals = 8; ///< attempts per request that endpoints refuse
    std::size_t max_queued = 1000;  ///< waiting requests per model or service
    /// Largest answer that is stored for a repeated request with the same idempotency key.
    std::size_t max_kept_answer_bytes = 16 * 1024;
    milliseconds default_retry_after{1000}; ///< hint to the caller where no estimate exists
};

/// Instruction to send a request to an endpoint.
struct attempt_start
{
    attempt_id attempt{};
    request_id request;
    endpoint_settings endpoint;
    version_ref version;      ///< empty for a plain service
    milliseconds time_left{}; ///< until the request's deadline
};

/// Callbacks of the router. For each request: `begin`, any number of `forward` calls and `end`; or one
/// `refuse` at any point.
struct router_hooks
{
    std::function<void(const attempt_start&)> dispatch;
    std::function<void(attempt_id)> cancel;
    std::function<void(const request_id&, const answer_head&)> begin;
    std::function<void(const request_id&, std::string)> forward;
    std::function<void(const request_id&, std::string tail)> end;
    std::function<void(const request_id&, const refusal&)> refuse;
    /// Reports a successful answer of a model version, which may be rated.
    std::function<void(const request_id&, const version_ref&, const std::string& answer)> answered;
    std::function<wall_time()> wall_clock;
};

/// Components that the router uses but does not own.
struct router_parts
{
    ledger_client& ledger;
    endpoint_selector& selector;
    account_limits& limits;
    version_guard& guard;
    const session_tokens& sessions;
};

/// Event counters of the router.
struct router_counters
{
    std::uint64_t admitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t ended_unknown = 0;
    std::uint64_t callers_left = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t endpoint_refusals = 0;
    std::uint64_t late_events = 0; ///< events of attempts that have already ended
    std::uint64_t bills_copied = 0;
    std::uint64_t bills_at_risk = 0;
};

/// Admits, queues, dispatches and retries requests, and records their outcomes in the ledger.
///
/// An attempt is dispatched and then answered, refused (the endpoint reports that it did not start) or lost.
/// The outcome `not_run` is reported only if no attempt may have run. A request that is not repeatable has at
/// most one attempt that may have run. Only the attempt that began the answer may continue it; data from
/// other attempts is dropped. The last bytes of an answer are held back until its bill is safe.
class request_router
{
public:
    request_router(router_options options, incarnation_id self, router_hooks hooks, router_parts parts);
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    void apply(configuration_ptr configuration);
    /// Rejects new requests from now on; admitted requests continue.
    void stop_admission() { stopping_ = true; }

    void on_request(time_point now, const caller_request& request);
    void on_caller_left(time_point now, const request_id& id);
    void on_head(time_point now, attempt_id attempt, int status, const std::string& content_type);
    void on_bytes(time_point now, attempt_id attempt, std::string bytes);
    void on_answered(time_point now, attempt_id attempt, endpoint_answer answer);
    void on_refused(time_point now, attempt_id attempt);
    void on_lost(time_point now, attempt_id attempt, const attempt_loss& loss);
    void tick(time_point now);

    std::size_t active_count() const { return requests_.size(); }
    /// Requests whose caller is still waiting.
    std::size_t waiting_callers() const;
    std::size_t queued_count() const;
    const router_counters& counters() const { return counters_; }

private:
    enum class phase
    {
        claiming,
        queued,
        running,
        settling,
    };
    struct active_request
    {
        caller_request request;
        time_point arrived{};
        phase current_phase = phase::claiming;
        bool key_claimed = false;
        bool caller_gone = false;
        bool answer_begun = false;
        bool may_have_run = false;
        std::optional<version_ref> pinned_version;
        session_id session;
        version_ref version;
        endpoint_id endpoint;
        std::set<attempt_id> attempts;
        std::set<endpoint_id> failed_endpoints;
        std::uint32_t attempt_count = 0; ///< except attempts that are known not to have run
        std::uint32_t refusals = 0;
        token_usage usage;
        micro_cost cost{};
        std::string kept_answer; ///< the forwarded bytes, while they are within the size limit
        bool can_keep_answer = true;
        int status = 0;
        std::string content_type;
    };
    struct attempt
    {
        request_id request;
        endpoint_id endpoint;
        version_ref version;
        time_point started{};
        bool first_byte = false;
    };

    result<active_request> admit_request(time_point now, const caller_request& request) const;
    result<void> check_target(const account_settings& account, active_request& it) const;
    result<void> check_session(const account_settings& account, active_request& it) const;
    result<void> check_capacity(time_point now, const active_request& it) const;
    void claim(time_point now, const request_id& id);
    void on_claimed(const request_id& id, const result<ledger_reply>& reply);
    void replay(active_request& it, const ledger_entry& record);

    std::string queue_name(const active_request& it) const;
    void enqueue(const request_id& id, bool front);
    void dispatch_queued(time_point now);
    bool try_start(time_point now, const request_id& id);
    /// Resolves the target again while the request waits. Fails if the current configuration lacks it.
    result<void> refresh_target(time_point now, active_request& it) const;
    result<version_ref> select_version(time_point now, const active_request& it) const;
    endpoint_demand demand_of(const active_request& it) const;
    void dispatch(time_point now, active_request& it, const endpoint_settings& endpoint);

    std::optional<attempt> end_attempt(time_point now, attempt_id id, attempt_result result);
    void retry_or_end(time_point now, active_request& it, const attempt_loss& loss);
    bool may_retry(time_point now, const active_request& it);
    void begin(active_request& it, int status, const std::string& content_type);
    void settle(time_point now, active_request& it, run_outcome outcome, std::string tail,
                std::optional<refusal> why);
    ledger_entry ledger_entry_of(const active_request& it) const;
    void finish(const request_id& id, bill_safety safety, std::string tail,
                const std::optional<refusal>& why);
    void refuse_not_run(time_point now, active_request& it, failure why);
    void end_unknown(time_point now, active_request& it, failure why);
    void expire(time_point now, active_request& it);
    /// Ends a request whose caller has left, unless the caller can ask for the answer again.
    void abandon(time_point now, active_request& it);
    /// Reports the refusal to the caller if it is still connected.
    void report_refusal(active_request& it, const refusal& why);
    void remove_request(const request_id& id);
    void remove_from_queue(const active_request& it);
    void charge(active_request& it, const attempt& from, const token_usage& usage) const;
    void count_refusal(const refusal& it);

    router_options options_;
    incarnation_id self_;
    router_hooks hooks_;
    router_parts parts_;
    configuration_ptr configuration_;
    bool stopping_ = false;
    bool dispatching_queued_ = false;
    std::uint64_t next_attempt_ = 1;
    std::map<request_id, active_request> requests_;
    std::map<attempt_id, attempt> attempts_;
    std::map<std::string, fair_queue> queues_;
    retry_budget retry_budget_;
    router_counters counters_;
    time_point now_{};
    double mean_service_ms_ = 0; ///< moving average of the time that an answered attempt takes
};

} // namespace runlink::core
