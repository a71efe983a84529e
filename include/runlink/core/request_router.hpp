/// \file
/// The life of each request from its arrival to its final word.
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

/// Bounds of the router.
struct router_options
{
    std::uint32_t max_tries = 3;    ///< attempts that may have run, for a repeatable request
    std::uint32_t max_refusals = 8; ///< attempts that endpoints refused
    std::size_t max_queued = 1000;  ///< per model or service
    std::size_t kept_answer_bytes = 16 * 1024;
    milliseconds retry_after{1000}; ///< told where nothing better is known
};

/// Orders the edge to send a request to an endpoint.
struct attempt_start
{
    attempt_id attempt{};
    request_id request;
    endpoint_settings endpoint;
    version_ref version; ///< empty for a plain service
    milliseconds time_left{};
};

/// What the router tells the edge. For each request: `begin`, any `forward`, `end`; or one `refuse` at any
/// point.
struct router_hooks
{
    std::function<void(const attempt_start&)> dispatch;
    std::function<void(attempt_id)> cancel;
    std::function<void(const request_id&, const answer_head&)> begin;
    std::function<void(const request_id&, std::string)> forward;
    std::function<void(const request_id&, std::string tail)> end;
    std::function<void(const request_id&, const refusal&)> refuse;
    /// An answer that may be rated.
    std::function<void(const request_id&, const version_ref&, const std::string& answer)> answered;
    std::function<wall_time()> wall_clock;
};

/// Parts that the router uses and does not own.
struct router_parts
{
    ledger_client& ledger;
    endpoint_selector& selector;
    account_limits& limits;
    version_guard& guard;
    const session_tokens& sessions;
};

/// Counters of the router, by what happened.
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
    std::uint64_t late_events = 0; ///< of attempts that no longer count
    std::uint64_t bills_copied = 0;
    std::uint64_t bills_at_risk = 0;
};

/// Takes requests and what becomes of their attempts, and decides.
///
/// An attempt is dispatched, and then answered, refused (the endpoint says it did not start) or lost.
/// `not_run` is told only while no attempt may have run. A request that is not repeatable has one attempt
/// that may have run at most. Only the attempt that began the answer may go on with it; what others send is
/// dropped. The last bytes of an answer are released when its bill is safe.
class request_router
{
public:
    request_router(router_options options, incarnation_id self, router_hooks hooks, router_parts parts);
    request_router(const request_router&) = delete;
    request_router& operator=(const request_router&) = delete;

    void apply(configuration_ptr configuration);
    /// No new request is admitted; those under way go on.
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
    /// Requests whose caller still waits.
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
    struct active
    {
        caller_request request;
        time_point arrived{};
        phase at = phase::claiming;
        bool claimed = false;
        bool caller_gone = false;
        bool begun = false;
        bool may_have_run = false;
        std::optional<version_ref> pin;
        session_id session;
        version_ref version;
        endpoint_id endpoint;
        std::set<attempt_id> attempts;
        std::set<endpoint_id> tried;
        std::uint32_t tries = 0;
        std::uint32_t refusals = 0;
        token_usage usage;
        micro_cost cost{};
        std::string kept; ///< what was forwarded, while it is small enough to be kept
        bool keep = true;
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

    result<active> check(time_point now, const caller_request& request) const;
    result<void> check_target(const account_settings& account, active& it) const;
    result<void> check_session(const account_settings& account, active& it) const;
    result<void> check_room(time_point now, const active& it) const;
    void claim(time_point now, const request_id& id);
    void on_claimed(const request_id& id, const result<ledger_reply>& reply);
    void replay(active& it, const ledger_entry& record);

    std::string queue_name(const active& it) const;
    void enqueue(const request_id& id, bool front);
    void pump(time_point now);
    bool try_start(time_point now, const request_id& id);
    /// Fails where the configuration lacks by now what the request asks for.
    result<void> take_target(time_point now, active& it) const;
    result<version_ref> version_for(time_point now, const active& it) const;
    endpoint_demand demand_of(const active& it) const;
    void dispatch(time_point now, active& it, const endpoint_settings& endpoint);

    std::optional<attempt> take_attempt(time_point now, attempt_id id, attempt_result result);
    void retry_or_end(time_point now, active& it, const attempt_loss& loss);
    bool may_retry(time_point now, const active& it);
    void begin(active& it, int status, const std::string& content_type);
    void settle(time_point now, active& it, run_outcome outcome, std::string tail,
                std::optional<refusal> why);
    ledger_entry entry_of(const active& it) const;
    void finish(const request_id& id, bill_safety safety, std::string tail,
                const std::optional<refusal>& why);
    void refuse_not_run(time_point now, active& it, failure why);
    void end_unknown(time_point now, active& it, failure why);
    void expire(time_point now, active& it);
    /// Ends what nobody waits for, unless its answer may be asked for again.
    void give_up(time_point now, active& it);
    /// The final word to a caller that still listens.
    void tell(active& it, const refusal& why);
    void forget(const request_id& id);
    void leave_queue(const active& it);
    void charge(active& it, const attempt& from, const token_usage& usage) const;
    void count_refusal(const refusal& it);

    router_options options_;
    incarnation_id self_;
    router_hooks hooks_;
    router_parts parts_;
    configuration_ptr configuration_;
    bool stopping_ = false;
    bool pumping_ = false;
    std::uint64_t next_attempt_ = 1;
    std::map<request_id, active> requests_;
    std::map<attempt_id, attempt> attempts_;
    std::map<std::string, fair_queue> queues_;
    retry_budget retries_;
    router_counters counters_;
    time_point now_{};
    double mean_service_ms_ = 0;
};

} // namespace runlink::core
