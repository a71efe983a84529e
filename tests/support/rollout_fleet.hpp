/// \file
/// Many instances that roll a version out, on a paused clock: forwarders, endpoints of two versions, the
/// record in a store, and datagrams between the instances.
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

/// What is wrong with the answers of a version.
struct version_trouble
{
    double failing = 0;  ///< share that are failures of the endpoint
    double lost = 0;     ///< share that break off without an answer
    double hanging = 0;  ///< share that never come
    double slow = 0;     ///< share that take `times` as long
    double times = 1;    ///< see `slow`
    double all_slow = 1; ///< how many times as long each one takes
    milliseconds from{}; ///< since the order
    std::string route;   ///< on this one only; empty: on all
};

/// A roll-out, and what surrounds it.
struct rollout_case
{
    std::uint64_t seed = 1;
    int instances = 30;
    int endpoints = 40; ///< of each version
    double requests_per_s = 200;
    milliseconds allowed{24000};
    milliseconds length{32000}; ///< since the order
    milliseconds session_ttl{5000};
    double exposure_share = 0.15;
    std::uint32_t first_share_percent = 8;
    version_trouble fresh;
    version_trouble old; ///< of the old version, at the same time
    double datagrams_lost = 0;
    /// Orders are written again, unchanged, so long after the first.
    std::vector<milliseconds> written_again;
};

/// What endpoints saw.
struct rollout_outcome
{
    std::uint64_t requests = 0; ///< sends between the order and its deadline
    std::uint64_t exposed = 0;  ///< of these, to the new version
    std::uint64_t bad = 0;      ///< bad answers of the new version
    std::uint64_t late = 0;     ///< sends to it more than 5 s after its 50th bad answer
    std::uint64_t unserved = 0; ///< requests without an answer
    /// Requests on the new version in the first half, though their session's one before ran on the old one
    /// and ended less than its time to live ago.
    std::uint64_t moved = 0;
    routing::rollout_state state = routing::rollout_state::running; ///< of the record in the end
    std::set<std::string> why;                                      ///< verdicts
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
        core::version_id version; ///< of its last send
        std::optional<time_point> ended;
    };
    struct instance
    {
        std::unique_ptr<routing::request_forwarder> forwarder;
        std::map<core::attempt_id, std::shared_ptr<send>> sends;
        bool is_telling = false;
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
    void stream(int n, const std::shared_ptr<send>& it, milliseconds pace, std::uint64_t event, bool is_bad);
    milliseconds reading_time(const send& of);
    const version_trouble* fault_of(const send& of) const;
    void note_bad(const send& of);
    void tell(int n);
    void tell_evidence(int n);
    /// One datagram to each other instance, as far as it arrives.
    void send_datagram(int from, const std::function<void(routing::request_forwarder&)>& to);
    void look_at_records(int n);
    void write(const routing::rollout_record& it, int by);
    void order();
    bool happens(double share) { return std::uniform_real_distribution<>{0, 1}(random_) < share; }

    rollout_case case_;
    std::mt19937_64 random_;
    time_point now_{core::seconds{1000}};
    time_point ordered_at_{};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<instance> instances_;
    std::map<std::string, std::set<std::string>> kept_; ///< prompt parts by endpoint
    std::map<routing::flow_id, core::session_id> session_of_;
    std::map<core::session_id, session_request> sessions_; ///< that have run
    routing::rollout_order order_;
    routing::rollout_record record_;
    std::uint64_t revision_ = 10;
    std::uint64_t next_flow_ = 1;
    std::optional<time_point> fiftieth_bad_;
    rollout_outcome outcome_;
};

} // namespace runlink::test
