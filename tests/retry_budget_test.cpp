// The retry budget of a service holds over all instances.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

#include "support/retry_fleet.hpp"

using namespace runlink::tests;

namespace
{

/// Returns the number of retries.
std::size_t check_bound(const retry_case& of, double min_retries_per_s)
{
    const auto record = retry_fleet{of}.run();
    INFO("seed " << of.seed << ", " << of.instances << " + " << of.joining << " instances, "
                 << of.requests_per_s << " requests per second, " << record.retries() << " retries");
    CHECK(record.worst_excess(of.bound) <= 0);
    const auto length = std::chrono::duration<double>(of.length - of.fail_from).count();
    CHECK(static_cast<double>(record.retries()) >= min_retries_per_s * length);
    return record.retries();
}

retry_case fleet_of(int instances, double requests_per_s, double slack)
{
    retry_case out;
    out.instances = instances;
    out.requests_per_s = requests_per_s;
    out.bound.slack = slack;
    return out;
}

int number_from(const char* variable, int fallback)
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoi(text);
}

/// A fleet of any size with kills, joins, suspensions and callers that move, drawn from the seed.
retry_case random_case(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const auto number = [&](int least, int most) {
        return std::uniform_int_distribution<int>{least, most}(random);
    };
    const auto time = [&](int least_ms, int most_ms)
    { return milliseconds{10 * number(least_ms / 10, most_ms / 10)}; };
    retry_case out;
    out.seed = seed;
    out.instances = number(1, 120);
    out.joining = number(0, 1) * number(0, 120);
    out.requests_per_s = out.instances * number(1, 50) / 10.0;
    out.bound.slack = out.instances * number(10, 80) / 10.0;
    out.join_at = time(0, 15'000);
    out.fail_from = time(0, 14'000);
    out.kill_share = number(1, 10) / 10.0;
    for (auto n = number(0, 8); n > 0; --n)
        out.kills.push_back(time(0, 25'000));
    if (number(0, 2) == 0)
        out.move_interval = time(500, 8'000);
    if (number(0, 2) == 0)
        out.suspend_interval = time(1'000, 5'000);
    // The others learn of an instance late, or not at all.
    out.news_delay = number(0, 3) == 0 ? seconds{60} : duration{time(0, 5'000)};
    if (number(0, 2) == 0)
    {
        out.cut_share = number(1, 10) / 10.0;
        out.cut_at = time(-60'000, 20'000);
        out.news_delay = time(0, 5'000); // before, the list of the store was read
    }
    return out;
}

} // namespace

TEST_CASE("a fleet of 295 instances with few requests each keeps the retry budget")
{
    check_bound(fleet_of(295, 80, 630), 40);
}

TEST_CASE("a fleet of 985 instances keeps the retry budget")
{
    check_bound(fleet_of(985, 600, 1040), 300);
}

TEST_CASE("instances that are killed again and again don't get a new retry budget with each start")
{
    auto of = fleet_of(91, 300, 300);
    of.kills = {seconds{3}, seconds{5}, seconds{7}, seconds{9}};
    check_bound(of, 150);
}

TEST_CASE("retries paid for by requests before a kill don't add to those of the new processes")
{
    auto of = fleet_of(91, 300, 222);
    of.fail_from = seconds{11};
    of.kills = {seconds{15}};
    check_bound(of, 150);
}

TEST_CASE("instances that join don't add to the retry budget")
{
    auto of = fleet_of(7, 26, 54);
    of.joining = 40;
    check_bound(of, 13);
}

TEST_CASE("instances that hear of no other don't each take the slack of all")
{
    auto of = fleet_of(91, 91, 222);
    of.cut_share = 1;
    of.cut_at = -seconds{60};
    check_bound(of, 1);
}

TEST_CASE("instances that join don't add to the retry budget while the others are cut off")
{
    auto of = fleet_of(7, 80, 200);
    of.joining = 40;
    of.join_at = milliseconds{500};
    of.cut_share = 1;
    of.cut_at = milliseconds{400};
    of.fail_from = seconds{40};
    of.length = seconds{60};
    check_bound(of, 13);
}

TEST_CASE("under random kills, joins, suspensions and moving callers, a fleet keeps the retry budget")
{
    const auto first = number_from("RUNLINK_RETRY_FIRST", 1);
    const auto seeds = number_from("RUNLINK_RETRY_SEEDS", 40);
    std::size_t retries = 0;
    for (int n = first; n < first + seeds; ++n)
        retries += check_bound(random_case(static_cast<std::uint64_t>(n)), 0);
    constexpr std::size_t min_retries = 100; // on average, so that the bound is of consequence
    CHECK(retries >= min_retries * static_cast<std::size_t>(seeds));
}
