/// \file
/// What callers and endpoints see of a forwarder, and what must hold of it after each step.
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

constexpr std::uint64_t stream_length = 6; ///< events

/// A request as its caller and the endpoints see it.
struct seen_request
{
    routing::route_kind kind = routing::route_kind::safe;
    bool is_idempotent = true;
    bool is_public = false; ///< needs no key
    std::uint32_t max_attempts = 1;
    core::milliseconds longest{}; ///< that it may be held
    core::time_point deadline{};
    std::string key;
    crashes::request_fingerprint content;
    int finals = 0;
    bool told_not_run = false;
    bool caller_left = false;
    std::uint64_t last_event = 0;
    std::uint32_t runs = 0; ///< attempts whose bytes left and that were not refused
    std::set<core::attempt_id> open;
    std::set<core::endpoint_id> tried; ///< by the model that it asks for now
};

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
    bool is_unsealed = false; ///< its answer lacks the endpoint's digest
};

/// Follows what a forwarder orders.
///
/// Beside what one caller sees it checks that no run that could go on is cancelled, unless in the same step a
/// successor starts, another attempt gives the answer, the caller leaves, or the deadline is reached. News of
/// a content may end or withdraw what has not begun its answer. Nothing is sent for a removed key after its
/// grace, so that a stream at such a key that is cut has no successor, and shows.
class forwarding_witness
{
public:
    struct surroundings
    {
        /// The first event of a stream that was asked for behind this one.
        std::function<std::uint64_t(std::uint64_t)> first_event_after;
        /// Whether a request that tried these endpoints may find another one.
        std::function<bool(const std::set<core::endpoint_id>&)> has_untried;
        std::function<crashes::permission(crashes::request_fingerprint)> judge;
        /// The version that a roll-out took out.
        std::function<std::optional<core::version_id>()> bad_version;
    };

    forwarding_witness(const routing::forwarder_options& options, surroundings around);
    forwarding_witness(const forwarding_witness&) = delete;
    forwarding_witness& operator=(const forwarding_witness&) = delete;

    routing::forwarder_hooks hooks();
    std::map<routing::flow_id, seen_request>& requests() { return requests_; }
    std::map<core::attempt_id, seen_attempt>& attempts() { return attempts_; }
    const std::vector<core::endpoint_id>& asked() const { return asked_; }
    core::endpoint_id take_asked();

    /// The table in force has these keys.
    void on_keys(const std::set<std::string>& keys);
    void on_proof(core::time_point now);

    /// An answer of the endpoint names this limit, or none.
    void on_limit(const core::endpoint_id& id, std::optional<double> requests_per_s);
    /// An answer of the endpoint says that it leaves.
    void on_leaving(const core::endpoint_id& id) { leaving_.emplace(id, now_); }
    /// The endpoint asks for rest.
    void on_rest(const core::endpoint_id& id, core::time_point until);
    /// Bytes of a request reach the endpoint.
    void on_written(const core::endpoint_id& id);
    /// One event is told to the forwarder.
    void begin_step(core::time_point now, std::string_view what);
    /// What it did with the event is known.
    void end_step();
    /// Nothing is under way any more.
    void check_over() const;

    void count(const std::string& what, std::uint64_t n = 1) { met_[what] += n; }
    /// How often something was met, by its name.
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
    /// Since the key was last known to hold, if the table in force has it no more.
    std::optional<core::duration> key_gone_for(const std::string& key) const;

    core::milliseconds key_grace_;
    core::milliseconds max_key_age_;
    core::milliseconds max_denial_age_;
    core::milliseconds least_time_;
    surroundings around_;
    std::map<routing::flow_id, seen_request> requests_;
    std::map<core::attempt_id, seen_attempt> attempts_;
    std::vector<core::endpoint_id> asked_;
    std::set<std::string> keys_;
    std::map<std::string, core::time_point> key_held_at_;
    std::optional<core::time_point> proven_at_;

    /// What endpoints named, and what they have got since they first did.
    struct limited_endpoint
    {
        double requests_per_s = 0;
        core::time_point named_at{};
        std::vector<core::time_point> written;
    };
    std::map<core::endpoint_id, limited_endpoint> limited_;
    std::map<core::endpoint_id, core::time_point> resting_until_;
    std::map<core::endpoint_id, core::time_point> leaving_; ///< by their own word

    // The step under way
    core::time_point now_{};
    std::string step_;
    std::vector<cancelled_run> cancelled_;
    std::set<routing::flow_id> started_;
    std::set<routing::flow_id> answered_;
    /// Contents with news of them that were logged in this step, and before it.
    struct content_news
    {
        std::set<std::string> fresh;
        std::set<std::string> pending;

        bool contains(const std::string& it) const { return fresh.contains(it) || pending.contains(it); }
        /// The forwarder has acted on what is pending.
        void pass();
    };
    content_news suspected_;
    content_news condemned_;

    std::map<std::string, std::uint64_t> met_;
};

} // namespace runlink::tests
