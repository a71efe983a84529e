/// \file
/// Many instances before endpoints that end, on a paused clock: by a request that ends whichever endpoint
/// runs it, and by other causes that no request is to blame for.
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

/// A fleet, what is asked of it, and what befalls it.
struct crash_case
{
    std::uint64_t seed = 1;
    int instances = 7;
    int endpoints = 18;
    double requests_per_s = 110;
    milliseconds length{25000};

    /// Callers that send the harmful request, each again and again and at any instance.
    int harmful_callers = 5;
    int harmful_requests = 1; ///< different ones
    milliseconds harmful_from{3000};
    milliseconds harmful_until{25000};
    bool harmful_is_repeatable = true; ///< false: one run each
    /// The time that an endpoint lives after it began to run the harmful request.
    milliseconds survives{115};

    double popular_share = 0;      ///< of the requests: all alike, of one account
    double ends_per_s = 0;         ///< endpoints that end by themselves
    milliseconds all_end_at{0};    ///< half of the endpoints end at one moment; 0: never
    milliseconds power_loss_at{0}; ///< a failure domain falls silent; 0: never
    double resets_per_s = 0;       ///< connections that break while their endpoint lives
    double datagrams_lost = 0;
    milliseconds restart_all_at{0}; ///< every instance is killed; 0: never
    milliseconds store_away_until{0};
};

/// What endpoints and callers saw.
struct crash_outcome
{
    std::uint64_t ended = 0;    ///< endpoints that the harmful requests ended
    std::uint64_t sends = 0;    ///< harmful requests that reached endpoints
    std::uint64_t late = 0;     ///< of these: longer after the third end than an instance needs to hear of it
    std::uint64_t asked = 0;    ///< other requests
    std::uint64_t unserved = 0; ///< of these: without an answer, after one repeat
    std::uint64_t condemned = 0; ///< other requests that were refused as harmful
    std::uint64_t popular_condemned = 0;
};

class crash_fleet
{
public:
    explicit crash_fleet(const crash_case& of);
    crash_fleet(const crash_fleet&) = delete;
    crash_fleet& operator=(const crash_fleet&) = delete;

    crash_outcome run();

private:
    struct asked
    {
        std::string content; ///< equal for requests that are alike
        int caller = -1;     ///< of the harmful ones
        int repeats = 0;
        bool is_popular = false;
        bool is_harmful() const { return caller >= 0; }
    };
    struct send
    {
        std::uint64_t number = 0;
        routing::attempt_order order;
        asked of;
        int instance = 0;
        int generation = 0;
        bool is_cancelled = false;
    };
    using send_ptr = std::shared_ptr<send>;
    /// Connections that break at one moment are lost in this order. The order of addresses would depend on
    /// what ran before in the process.
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
        std::map<routing::flow_id, asked> flows;
        int generation = 0;
    };

    routing::forwarder_hooks hooks(int n);
    void start(int n);
    void put_endpoint(const endpoint& it);
    void later(core::duration after, std::function<void()> what);
    double uniform() { return std::uniform_real_distribution<>{0, 1}(random_); }
    milliseconds between(int least, int most);
    /// Calls again after times that average to this rate.
    void repeat(double per_s, const std::function<void()>& what);

    void arrive();
    void send_harmful(int caller);
    void request(const asked& it);
    void on_over(int n, routing::flow_id flow, bool is_served, const routing::refusal* why);
    void on_start(int n, const routing::attempt_order& order);
    void reach(const send_ptr& it);
    void begin(const send_ptr& it);
    void step(const send_ptr& it, std::uint64_t event, std::uint64_t events);
    void lose(const send_ptr& it, routing::attempt_loss how);
    void leave(const send_ptr& it);
    void end_endpoint(endpoint& it);
    void restart_endpoint(endpoint& it);
    void lose_power();
    void answer_question(int n, const routing::endpoint_entry& about);
    void look(int n);
    void tell(int from, const crashes::crash_message& it);
    void record(crashes::request_fingerprint it);
    bool is_current(const send& it) const;
    endpoint& at(const routing::endpoint_entry& it);

    crash_case case_;
    std::mt19937_64 random_;
    time_point now_{core::seconds{1000}};
    time_point began_ = now_;
    std::multimap<time_point, std::function<void()>> events_;
    std::map<core::endpoint_name, endpoint> endpoints_;
    std::vector<instance> instances_;
    std::map<std::string, std::vector<time_point>> ends_; ///< by harmful content
    std::set<crashes::request_fingerprint> recorded_;     ///< in the store
    std::uint64_t next_ = 1;
    std::uint64_t sends_ = 0; ///< so far
    crash_outcome outcome_;
};

} // namespace runlink::test
