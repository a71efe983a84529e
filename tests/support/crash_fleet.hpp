/// \file
/// Simulates, on a virtual clock, several instances that route to endpoints whose processes end: because of
/// a harmful request, which ends every endpoint that runs it, or for causes unrelated to any request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::test
{

using core::milliseconds;
using core::time_point;

/// The size of the fleet, its load and the injected failures.
struct crash_case
{
    std::uint64_t seed = 1;
    int instances = 7;
    int endpoints = 18;
    double requests_per_s = 110;
    milliseconds length{25000};

    /// Callers that send harmful requests. Each one resends its request to a random instance.
    int harmful_callers = 5;
    int harmful_requests = 1; ///< number of distinct harmful requests
    milliseconds harmful_from{3000};
    milliseconds harmful_until{25000};
    bool harmful_is_repeatable = true; ///< false: each request may run only once
    /// Time from when an endpoint starts to run a harmful request until its process ends.
    milliseconds survives{115};

    /// Rate of requests with a part in their prompts that ends every endpoint that runs it. All of them
    /// differ, and their other parts are those of harmless requests.
    double harmful_parts_per_s = 0;
    int harmful_parts = 1;    ///< number of distinct harmful parts
    bool has_prompts = false; ///< harmless requests have prompts with shared parts
    /// Part of a prompt that all requests with a harmful part have, and harmless ones at this rate.
    double companion_per_s = 0;

    /// Answers have neither length nor chunks, and endpoints that crash close their connections.
    bool answers_end_with_connection = false;

    double popular_share = 0;   ///< share of the requests that have identical content and one client account
    double ends_per_s = 0;      ///< rate of endpoint crashes that no request causes
    milliseconds all_end_at{0}; ///< when half of the endpoints end at once; 0: never
    milliseconds power_loss_at{0};    ///< when one failure domain stops responding; 0: never
    double resets_per_s = 0;          ///< rate at which the connections of a running endpoint break
    double datagrams_lost = 0;        ///< share
    milliseconds restart_all_at{0};   ///< when all instances are killed and restarted; 0: never
    milliseconds store_away_until{0}; ///< the store accepts no writes before this time
};

/// Counts of what the endpoints and callers observed.
struct crash_outcome
{
    std::uint64_t ended = 0; ///< number of endpoint crashes caused by harmful requests
    std::uint64_t sends = 0; ///< harmful requests that reached endpoints
    std::uint64_t late = 0;  ///< of these, sent after every connected instance should know of the third end
    std::uint64_t asked = 0; ///< harmless requests
    std::uint64_t unserved = 0;          ///< of these, still unanswered after one retry
    std::uint64_t condemned = 0;         ///< harmless requests refused as harmful
    std::uint64_t popular_condemned = 0; ///< of these, requests of `popular_share`
    std::uint64_t part_late = 0; ///< sends of a harmful part later than the contact time after its fifth end
    /// Harmless requests before the first request with a harmful part, and later than twice the contact time
    /// after the fifth end, or the last one if there were fewer; of these, those that were served at the
    /// first attempt.
    std::uint64_t asked_before = 0;
    std::uint64_t served_before = 0;
    std::uint64_t asked_after = 0;
    std::uint64_t served_after = 0;
};

class crash_fleet
{
public:
    explicit crash_fleet(const crash_case& of);
    crash_fleet(const crash_fleet&) = delete;
    crash_fleet& operator=(const crash_fleet&) = delete;

    crash_outcome run();

private:
    struct caller_request
    {
        std::string content; ///< equal for identical requests
        int caller = -1;     ///< index of the sender of a harmful request; -1: harmless request
        int repeats = 0;
        bool is_popular = false;
        std::vector<routing::prompt_part> prompt;
        int harmful_part = -1; ///< index of the harmful part in its prompt; -1: none
        time_point sent_at{};
        bool is_harmful() const { return caller >= 0 || harmful_part >= 0; }
        /// Requests that end endpoints for the same reason have the same name.
        std::string cause() const
        {
            return harmful_part >= 0 ? "part" + std::to_string(harmful_part) : content;
        }
    };
    struct send
    {
        std::uint64_t number = 0;
        routing::attempt_order order;
        caller_request of;
        int instance = 0;
        int generation = 0;
        bool is_cancelled = false;
        bool has_head = false;
    };
    using send_ptr = std::shared_ptr<send>;
    /// Orders connections that break at the same time. Ordering by pointer would depend on earlier
    /// allocations in the process, so that runs with one seed would differ.
    struct in_order_of_sending
    {
        bool operator()(const send_ptr& a, const send_ptr& b) const { return a->number < b->number; }
    };
    using running_sends = std::set<send_ptr, in_order_of_sending>;
    struct endpoint
    {
        routing::endpoint_entry entry;
        bool is_up = true;
        bool is_silent = false;
        running_sends running;
    };
    struct instance
    {
        std::unique_ptr<routing::request_forwarder> forwarder;
        std::map<core::attempt_id, send_ptr> sends;
        std::map<routing::flow_id, caller_request> flows;
        int generation = 0;
    };

    routing::forwarder_hooks hooks(int n);
    void start(int n);
    void put_endpoint(const endpoint& it);
    void later(core::duration after, std::function<void()> what);
    double uniform() { return std::uniform_real_distribution<>{0, 1}(random_); }
    milliseconds between(int least, int most);
    /// Calls `what` repeatedly, as a Poisson process with this rate.
    void repeat(double per_s, const std::function<void()>& what);

    void arrive();
    void send_harmful(int caller);
    void send_harmful_part();
    void send_companion();
    std::vector<routing::prompt_part> random_prompt(const std::string& of,
                                                    const std::vector<std::string>& with);
    /// Counts the first attempt of a harmless request by the time at which it was sent.
    void count_first_attempt(const caller_request& it, bool is_served);
    /// The fifth end under each cause, or its last one if there were fewer; of all causes, the latest.
    std::optional<time_point> fifth_or_last_end() const;
    void request(const caller_request& from);
    void on_request_end(int n, routing::flow_id flow, bool is_served, const routing::refusal* why);
    void on_start(int n, const routing::attempt_order& order);
    void reach(const send_ptr& it);
    void begin(const send_ptr& it);
    void send_event(const send_ptr& it, std::uint64_t event, std::uint64_t events);
    void lose(const send_ptr& it, routing::attempt_loss how);
    /// The endpoint closed the connection without a reset.
    void close(const send_ptr& it);
    void remove_send(const send_ptr& it);
    void end_endpoint(endpoint& it);
    void restart_endpoint(endpoint& it);
    void lose_power();
    void answer_probe(int n, const routing::endpoint_entry& about);
    void tick_instance(int n);
    void broadcast(int from, const crashes::crash_message& it);
    void record(int from, crashes::element_fingerprint it);
    bool is_current(const send& it) const;
    endpoint& at(const routing::endpoint_entry& it);

    crash_case case_;
    std::mt19937_64 random_;
    time_point now_{core::seconds{1000}};
    time_point started_at_ = now_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<core::endpoint_name, endpoint> endpoints_;
    std::vector<instance> instances_;
    std::map<std::string, std::vector<time_point>> ends_; ///< times at which endpoints ended, by cause
    /// Harmful elements in the store, with their companions.
    std::map<crashes::element_fingerprint, std::vector<crashes::element_fingerprint>> recorded_;
    std::uint64_t next_id_ = 1;
    std::uint64_t sends_ = 0; ///< number of attempts sent so far
    crash_outcome outcome_;
};

} // namespace runlink::test
