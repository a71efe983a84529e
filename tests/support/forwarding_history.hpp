/// \file
/// Drives one forwarder with random callers, endpoints, declarations and other instances, on a manual clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "support/forwarding_witness.hpp"

namespace runlink::tests
{

/// A random sequence of events, determined by its seed.
class forwarding_history
{
public:
    explicit forwarding_history(std::uint64_t seed);

    void run();
    /// Number of occurrences of each counted situation, by name.
    const std::map<std::string, std::uint64_t>& met() const { return witness_.met(); }

private:
    std::uint64_t pick(std::uint64_t below) { return random_() % below; }
    core::milliseconds pick_time(std::uint64_t least_ms, std::uint64_t spread_ms);
    forwarding_witness::environment make_environment();
    bool has_untried(const std::set<core::endpoint_id>& tried) const;
    std::optional<core::version_id> bad_version();
    void random_event();

    /// Delivers one event to the forwarder as a step of the witness.
    template <class Call>
    void deliver(std::string_view what, const Call& call)
    {
        witness_.begin_step(now_, what);
        call();
        witness_.end_step();
    }

    // Time
    /// Advances the clock. Some advances exceed several target gaps of a stream, and some suspend the
    /// process.
    void advance_time();
    /// Simulates a suspended process that handles late requests when it wakes.
    void suspend_process();
    void tick();
    void prove();

    // Declarations
    void apply_table();
    void change_keys();
    void order_rollouts();
    void write_rollouts();
    void change_evacuations();

    // Endpoints
    void put_endpoint(int n);
    void change_endpoints();
    /// Delivers the store's endpoint list without leaving endpoints, sometimes with an unreadable entry.
    void list_endpoints();
    void begin_incarnation(routing::endpoint_entry& it);
    core::version_id pick_version();
    void answer_probe();
    /// An endpoint refuses connections, which proves that it has ended whatever its attempts report later.
    void end_endpoint();
    /// Adds or removes the rate limit that an endpoint declares.
    void change_limit();
    /// An endpoint that refuses a request sometimes asks for rest.
    void ask_for_rest(const seen_attempt& from);
    /// Delivers the endpoint's statement in an answer: its rate limit, and whether it is leaving.
    void deliver_statement(const seen_attempt& from);

    // Other instances
    /// Delivers crash news about the content of a request with an open attempt, if there is one.
    void deliver_crash_news();

    // Callers
    void request(core::time_point arrived);
    void caller_leaves();

    // Attempts
    /// Advances a random open attempt by one event.
    void advance_attempt();
    void answer(core::attempt_id id, const routing::attempt_head& head);
    void stream(core::attempt_id id, seen_attempt& it, bool is_sealed);
    /// Ends an attempt at its endpoint. The witness keeps the attempt until the forwarder has handled its
    /// end.
    template <class Call>
    void end(core::attempt_id id, std::string_view what, const Call& call)
    {
        witness_.requests().at(witness_.attempts().at(id).flow).open.erase(id);
        deliver(what, call);
        witness_.attempts().erase(id);
    }

    std::mt19937_64 random_;
    routing::forwarder_options options_;
    core::time_point now_{core::seconds{1000}};
    core::time_point no_proof_until_{};
    std::set<std::string> keys_;
    std::uint64_t table_version_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t next_ended_endpoint_ = 1; ///< hash for the next endpoint reported as ended
    std::uint64_t next_flow_ = 1;
    std::map<int, routing::endpoint_entry> entries_;
    std::map<core::endpoint_id, double> limits_;
    forwarding_witness witness_;
    routing::request_forwarder forwarder_;
};

} // namespace runlink::tests
