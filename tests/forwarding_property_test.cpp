// Runs random event sequences against the forwarder with a simulated clock. What callers and endpoints
// observe is checked after each step.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>

#include "support/forwarding_history.hpp"

using namespace runlink::tests;

namespace
{

constexpr int default_seeds = 200;

/// Situations that must occur in at least one history, so that no check passes only because its case never
/// occurs.
const char* const required_situations[] = {
    "denied: may_run_once",
    "denied: attempts_spent",
    "denied: last_attempt",
    "denied: time_spent",
    "denied: key_removed",
    "denied: proof_too_old",
    "denied: harmful",
    "denied: allowance_spent",
    "denied: suspected",
    "denied: no_endpoint",
    "not_moved",
    "not_replaced",
    "not_escalated",
    "not_withdrawn",
    "replaced: tick",
    "replaced: asked",
    "replaced: own end",
    "replaced: not sent",
    "replaced: endpoint",
    "replaced: head",
    "escalated",
    "withdrawn",
    "ended by a verdict",
    "another copy answered",
    "another copy of a stream goes on",
    "second copy sent",
    "stream resumed",
    "sent within the grace of a removed key",
    "stream ended whole after the grace of its key",
    "sent to a cold endpoint",
    "tried alone",
    "sent to an endpoint that names a limit",
    "withheld",
    "rest asked for",
    "sent to an endpoint that leaves",
    "waited for a place",
    "found harmful",
    "end of an endpoint seen",
    "roll-out: running",
    "roll-out: succeeded",
    "roll-out: rolled_back",
};

int number_from(const char* variable, int default_value)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? default_value : std::atoi(text);
}

} // namespace

TEST_CASE("every request gets one true final word, runs as often as it may, streams are whole and in order, "
          "and no run that could go on is given up for nothing")
{
    const int first = number_from("RUNLINK_PROPERTY_FIRST", 1);
    const int seeds = number_from("RUNLINK_PROPERTY_SEEDS", default_seeds);
    std::map<std::string, std::uint64_t> met;
    for (int seed = first; seed < first + seeds; ++seed)
    {
        INFO("seed " << seed);
        forwarding_history it{static_cast<std::uint64_t>(seed)};
        it.run();
        for (const auto& [what, n] : it.met())
            met[what] += n;
    }
    if (seeds < default_seeds)
        return; // too few seeds for every situation to occur
    for (const auto* it : required_situations)
    {
        INFO(it);
        REQUIRE(met[it] > 0);
    }
}
