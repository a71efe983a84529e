// A part of a prompt that ends every endpoint that begins to answer a request with it is found by all
// instances together, while harmless requests with the same other parts go on.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <sstream>

#include "support/crash_fleet.hpp"

using namespace runlink;
using namespace runlink::test;

namespace
{

constexpr int default_seeds = 4;

int number_from(const char* variable, int otherwise)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::atoi(text);
}

/// Maximum sends of requests with a harmful part later than the contact time after its fifth end.
constexpr std::uint64_t max_late_sends = 3;
/// Minimum share of harmless requests that are served at the first attempt later than twice the contact time
/// after the fifth end, compared with the share before.
constexpr double min_share_of_before = 0.5;

std::string summary(const crash_outcome& it)
{
    std::ostringstream out;
    out << it.ended << " endpoints ended, " << it.sends << " harmful sends, " << it.part_late << " late; "
        << it.asked << " others, " << it.unserved << " unserved, " << it.condemned
        << " taken for harmful; at the first attempt " << it.served_before << " of " << it.asked_before
        << " before, " << it.served_after << " of " << it.asked_after << " after";
    return out.str();
}

double share_of(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
}

crash_case part_case()
{
    crash_case out;
    out.harmful_callers = 0;
    out.has_prompts = true;
    out.harmful_parts_per_s = 8;
    return out;
}

void check_bounded(crash_case scenario)
{
    const auto first = number_from("RUNLINK_PART_FIRST", 1);
    const auto n = number_from("RUNLINK_PART_SEEDS", default_seeds);
    for (int seed = first; seed < first + n; ++seed)
    {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const auto seen = crash_fleet{scenario}.run();
        INFO("seed " << seed << ": " << summary(seen));
        if (std::getenv("RUNLINK_CRASH_TELL") != nullptr)
            WARN(summary(seen));
        CHECK(seen.part_late <= max_late_sends * static_cast<std::uint64_t>(scenario.harmful_parts));
        CHECK(seen.condemned == 0);
        CHECK(share_of(seen.served_after, seen.asked_after) >=
              min_share_of_before * share_of(seen.served_before, seen.asked_before));
    }
}

} // namespace

TEST_CASE("requests with a part that ends its endpoints are stopped, though no two are alike")
{
    check_bounded(part_case());
}

TEST_CASE("requests with a harmful part are stopped where they are rare")
{
    auto scenario = part_case();
    scenario.harmful_parts_per_s = 1;
    check_bounded(scenario);
}

TEST_CASE("requests with a harmful part are stopped though datagrams are lost")
{
    auto scenario = part_case();
    scenario.datagrams_lost = 0.2;
    check_bounded(scenario);
}

TEST_CASE("an answer that ended with its crashed endpoint's connection clears no harmful part")
{
    auto scenario = part_case();
    scenario.answers_end_with_connection = true;
    SECTION("8 a second") {}
    SECTION("3 a second")
    {
        scenario.harmful_parts_per_s = 3;
    }
    check_bounded(scenario);
}

TEST_CASE("two harmful parts at the same time are both stopped")
{
    auto scenario = part_case();
    scenario.harmful_parts = 2;
    check_bounded(scenario);
}

TEST_CASE("a harmful part and a harmful request at the same time are both stopped")
{
    auto scenario = part_case();
    scenario.harmful_callers = 3;
    check_bounded(scenario);
}

TEST_CASE("a harmful part is stopped where endpoints also end by themselves")
{
    auto scenario = part_case();
    scenario.ends_per_s = 0.5;
    check_bounded(scenario);
}

TEST_CASE("a harmful part stays stopped when every instance is killed")
{
    auto scenario = part_case();
    scenario.restart_all_at = milliseconds{10000};
    check_bounded(scenario);
}

TEST_CASE("many instances stop a harmful part")
{
    auto scenario = part_case();
    scenario.instances = 60;
    scenario.endpoints = 120;
    scenario.requests_per_s = 500;
    scenario.harmful_parts_per_s = 20;
    scenario.length = milliseconds{16000};
    check_bounded(scenario);
}

TEST_CASE("a part that an account always names beside its harmful one is not refused to others")
{
    auto scenario = part_case();
    SECTION("often used")
    {
        scenario.companion_per_s = 5;
    }
    SECTION("rarely used")
    {
        scenario.companion_per_s = 0.2;
    }
    check_bounded(scenario);
}
