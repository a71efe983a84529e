/// \file
/// Random callers, endpoints, declarations and other instances around one forwarder, on a paused clock.
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

/// One history. Whatever happens in it is drawn from its seed.
class forwarding_history
{
public:
    explicit forwarding_history(std::uint64_t seed);

    void run();
    /// How often something was met, by its name.
    const std::map<std::string, std::uint64_t>& met() const { return seen_.met(); }

private:
    std::uint64_t pick(std::uint64_t below) { return random_() % below; }
    core::milliseconds pick_time(std::uint64_t least_ms, std::uint64_t spread_ms);
    forwarding_witness::surroundings around();
    bool has_untried(const std::set<core::endpoint_id>& tried) const;
    std::optional<core::version_id> bad_version();
    void step();

    /// One event that the forwarder is told.
    template <class Call>
    void tell(std::string_view what, const Call& call)
    {
        seen_.begin_step(now_, what);
        call();
        seen_.end_step();
    }

    // Time
    /// Streams pause for as long as several gaps at times, and the process stands still.
    void pass();
    void pause();
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
    /// The store's list, without those that leave, and at times with one that cannot be read.
    void list_endpoints();
    void begin_life(routing::endpoint_entry& it);
    core::version_id pick_version();
    void answer_question();
    /// An endpoint refuses connections: it has ended, whatever its runs say later.
    void end_endpoint();
    /// An endpoint begins to name a limit, names another one, or none.
    void change_limit();
    /// It refuses a request, and wants rest at times.
    void ask_for_rest(const seen_attempt& from);
    /// What the endpoint says of itself in an answer.
    void state(const seen_attempt& from);

    // Other instances
    /// Tells of the content of a request that is under way, if there is one.
    void tell_news();

    // Callers
    void request(core::time_point arrived);
    void leave();

    // Attempts
    void attempt();
    void answer(core::attempt_id id, const routing::attempt_head& head);
    void stream(core::attempt_id id, seen_attempt& it, bool is_sealed);
    /// The attempt is over at its endpoint; what the forwarder makes of it comes before it is forgotten here.
    template <class Call>
    void end(core::attempt_id id, std::string_view what, const Call& call)
    {
        seen_.requests().at(seen_.attempts().at(id).flow).open.erase(id);
        tell(what, call);
        seen_.attempts().erase(id);
    }

    std::mt19937_64 random_;
    routing::forwarder_options options_;
    core::time_point now_{core::seconds{1000}};
    core::time_point proofs_away_until_{};
    std::set<std::string> keys_;
    std::uint64_t table_version_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t next_life_ = 1; ///< of endpoints that other instances saw end
    std::uint64_t next_flow_ = 1;
    std::map<int, routing::endpoint_entry> entries_;
    std::map<core::endpoint_id, double> limits_;
    forwarding_witness seen_;
    routing::request_forwarder forwarder_;
};

} // namespace runlink::tests
