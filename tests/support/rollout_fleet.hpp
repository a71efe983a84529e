/// \file
/// Simulates, on a virtual clock, several instances that roll out a version: forwarders, endpoints of two
/// versions, the roll-out record in the store, and datagrams between the instances.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::test
{

using core::milliseconds;
using core::time_point;

/// Faults injected into the answers of one version.
struct version_trouble
{
    double failing = 0;  ///< share of answers that report an endpoint failure
    double lost = 0;     ///< share whose connection breaks before the answer
    double hanging = 0;  ///< share that never arrive
    double slow = 0;     ///< share that take `times` times as long
    double times = 1;    ///< slowdown factor of the `slow` share
    double all_slow = 1; ///< slowdown factor of every answer
    milliseconds from{}; ///< since the roll-out order
    std::string route;   ///< the only affected route; empty: all routes
};

/// A roll-out, the size of the fleet, its load and the injected faults.
struct rollout_case
{
    std::uint64_t seed = 1;
    int instances = 30;
    int endpoints = 40; ///< of each version
    double requests_per_s = 200;
    milliseconds allowed{24000}; ///< duration of the roll-out
    milliseconds length{32000};  ///< since the roll-out order
    milliseconds session_ttl{5000};
    double exposure_share = 0.15;
    double exposure_slack = 30;
    std::uint32_t first_share_percent = 8;
    bool is_plain = false; ///< the service runs no models; its requests have no prompts
    version_trouble fresh;
    version_trouble old;       ///< faults of the old version, at the same time
    double datagrams_lost = 0; ///< share
    /// Delays after the first order at which the same order is written again.
    std::vector<milliseconds> written_again;
};

/// Counts of what the endpoints observed, and the result of the roll-out.
struct rollout_outcome
{
    std::uint64_t requests = 0; ///< requests sent to endpoints between the roll-out order and its deadline
    std::uint64_t exposed = 0;  ///< of these, requests sent to the new version
    std::uint64_t bad = 0;      ///< bad answers of the new version
    std::uint64_t late = 0;     ///< requests sent to it more than 5 s after its 50th bad answer
    std::uint64_t unserved = 0; ///< requests without an answer
    /// Requests sent to the new version in the first half of the roll-out although the previous request of
    /// their session ran on the old version and ended less than the session TTL earlier.
    std::uint64_t moved = 0;
    routing::rollout_state state = routing::rollout_state::running; ///< final state of the record
    std::set<std::string> why; ///< reasons of the verdicts against the version
};

class rollout_fleet
{
public:
    explicit rollout_fleet(const rollout_case& of);
    rollout_fleet(const rollout_fleet&) = delete;
    rollout_fleet& operator=(const rollout_fleet&) = delete;

    rollout_outcome run();

private:
    struct send
    {
        routing::attempt_order order;
        time_point at{};
        std::string route;
        bool is_cancelled = false;
    };
    /// The last request of a session.
    struct session_request
    {
        routing::flow_id flow{};
        core::version_id version; ///< version of its last send
        std::optional<time_point> ended;
    };
    struct instance
    {
        std::unique_ptr<routing::request_forwarder> forwarder;
        std::map<core::attempt_id, std::shared_ptr<send>> sends;
        bool is_announcement_scheduled = false;
        std::vector<routing::session_run> runs;
    };

    routing::forwarder_options options() const;
    routing::forwarder_hooks hooks(int n);
    void put_endpoints(const std::string& version);
    void later(milliseconds after, std::function<void()> what);
    void arrive();
    void on_start(int n, const routing::attempt_order& order);
    void note_sent(const routing::attempt_order& order);
    void note_ended(routing::flow_id flow);
    void answer(int n, const std::shared_ptr<send>& it);
    void answer_plain(int n, const std::shared_ptr<send>& it, milliseconds time, bool is_bad);
    void stream(int n, const std::shared_ptr<send>& it, milliseconds pace, std::uint64_t event, bool is_bad);
    milliseconds prefill_time(const send& of);
    const version_trouble* fault_of(const send& of) const;
    void note_bad(const send& of);
    void announce_runs(int n);
    void tell_evidence(int n);
    /// Sends one datagram to every other instance; drops the share `datagrams_lost`.
    void send_datagram(int from, const std::function<void(routing::request_forwarder&)>& to);
    void tick_instance(int n);
    void write(const routing::rollout_record& it, int by);
    void order();
    bool happens(double share) { return std::uniform_real_distribution<>{0, 1}(random_) < share; }

    rollout_case case_;
    std::mt19937_64 random_;
    time_point now_{core::seconds{1000}};
    time_point ordered_at_{};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<instance> instances_;
    std::map<std::string, std::set<std::string>> cached_prompts_; ///< shared prompt parts by endpoint
    std::map<routing::flow_id, core::session_id> session_of_;
    std::map<core::session_id, session_request> sessions_; ///< sessions with at least one send
    routing::rollout_order order_;
    routing::rollout_record record_;
    std::uint64_t revision_ = 10;
    std::uint64_t next_flow_ = 1;
    std::optional<time_point> fiftieth_bad_;
    rollout_outcome outcome_;
};

} // namespace runlink::test
