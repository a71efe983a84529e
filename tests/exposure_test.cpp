// Checks that a roll-out takes out a bad version early and completes with a good one. The failure to guard
// against: a version passes because its observation time is over, although no instance has judged its
// answers. In a deployment of 91 instances, 15,010 requests went to a version more than 5 s after its 50th
// bad answer, which is all traffic of the service for half a minute. The endpoints of the previous version
// were already stopped, so no rollback was possible. In simulations with 12 % of the answers eight times
// slower, and with 15 % failures that begin 9 s after the order, all 91 instances wrote
//     "event":"rollout_record","reason":"... running 8 %"   then 100 %, then "... succeeded 100 %"
// and no "version_found_bad". The cases cover each kind of bad version that users report, and the conditions
// under which a version must not be taken out.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <sstream>

#include "support/rollout_fleet.hpp"

using namespace runlink;
using namespace runlink::test;

namespace
{

constexpr int default_seeds = 2;

int seed_count()
{
    const char* text = std::getenv("RUNLINK_EXPOSURE_SEEDS");
    return text == nullptr ? default_seeds : std::atoi(text);
}

std::string summary(const rollout_outcome& it)
{
    std::ostringstream out;
    out << to_string(it.state) << ", " << it.exposed << " of " << it.requests << " exposed, " << it.bad
        << " bad answers, " << it.late << " sends too late, " << it.unserved << " unserved, " << it.moved
        << " sessions moved in the first half";
    for (const auto& e : it.why)
        out << "\n  " << e;
    return out.str();
}

/// Simulates a roll-out of a bad version with each seed and checks that it is rolled back.
void check_taken_out(rollout_case scenario)
{
    for (int n = 1; n <= seed_count(); ++n)
    {
        scenario.seed = static_cast<std::uint64_t>(n);
        const auto seen = rollout_fleet{scenario}.run();
        INFO("seed " << n << ": " << summary(seen));
        CHECK(seen.late == 0);
        CHECK(static_cast<double>(seen.exposed) <=
              scenario.exposure_share * static_cast<double>(seen.requests) + scenario.exposure_slack);
        CHECK(seen.state == routing::rollout_state::rolled_back);
    }
}

/// Simulates a roll-out of a good version with each seed and checks that it succeeds.
void check_brought_in(rollout_case scenario)
{
    for (int n = 1; n <= seed_count(); ++n)
    {
        scenario.seed = static_cast<std::uint64_t>(n);
        const auto seen = rollout_fleet{scenario}.run();
        INFO("seed " << n << ": " << summary(seen));
        CHECK(seen.state == routing::rollout_state::succeeded);
        CHECK(seen.why.empty());
    }
}

rollout_case with(const version_trouble& fresh)
{
    rollout_case out;
    out.fresh = fresh;
    return out;
}

} // namespace

TEST_CASE("a version is taken out of which half of the answers fail")
{
    version_trouble it;
    it.failing = 0.5;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out of which every eighth answer fails")
{
    version_trouble it;
    it.failing = 0.12;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out that turns bad after a good time")
{
    auto it = with({});
    it.fresh.failing = 0.15;
    it.fresh.from = milliseconds{14000};
    check_taken_out(it);
}

TEST_CASE("a version is taken out of which every eighth answer is eight times slower")
{
    version_trouble it;
    it.slow = 0.12;
    it.times = 8;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out of which four in ten answers are four times slower")
{
    version_trouble it;
    it.slow = 0.4;
    it.times = 4;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out that is twice as slow in all it does")
{
    version_trouble it;
    it.all_slow = 2;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out of which a part of the answers breaks off")
{
    version_trouble it;
    it.lost = 0.3;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out of which a part of the answers never comes")
{
    version_trouble it;
    it.hanging = 0.3;
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out that fails on one route only")
{
    version_trouble it;
    it.failing = 0.25;
    it.route = "short";
    check_taken_out(with(it));
}

TEST_CASE("a version is taken out though a third of the old one's answers fail as well")
{
    auto it = with({});
    it.fresh.failing = 0.6;
    it.old.failing = 0.33;
    check_taken_out(it);
}

TEST_CASE("a version is taken out though half of the datagrams are lost")
{
    auto it = with({});
    it.fresh.failing = 0.2;
    it.datagrams_lost = 0.5;
    check_taken_out(it);
}

TEST_CASE("a version is taken out though its order is written again, unchanged")
{
    auto it = with({});
    it.fresh.failing = 0.2;
    it.written_again = {milliseconds{7000}, milliseconds{9000}, milliseconds{11000}};
    check_taken_out(it);
}

TEST_CASE("a version is taken out by many instances of which each sees little of it")
{
    auto it = with({});
    it.instances = 91;
    it.endpoints = 100;
    it.requests_per_s = 300;
    it.fresh.slow = 0.12;
    it.fresh.times = 8;
    check_taken_out(it);
}

namespace
{

/// A plain service with little traffic, and a short roll-out.
rollout_case quiet_plain_service()
{
    rollout_case out;
    out.is_plain = true;
    out.instances = 7;
    out.endpoints = 4;
    out.requests_per_s = 10;
    out.allowed = milliseconds{14100};
    return out;
}

} // namespace

TEST_CASE("a version of a plain service with few requests is taken out of which half is four times slower")
{
    auto it = quiet_plain_service();
    it.fresh.slow = 0.5;
    it.fresh.times = 4;
    check_taken_out(it);
}

TEST_CASE("a good version of a plain service with few requests is brought in")
{
    check_brought_in(quiet_plain_service());
    auto it = quiet_plain_service();
    it.fresh.slow = it.old.slow = 0.05;
    it.fresh.times = it.old.times = 4;
    check_brought_in(it);
}

TEST_CASE("a good version is brought in")
{
    check_brought_in({});
}

TEST_CASE("a good version is brought in while a part of both versions' answers fail")
{
    auto it = with({});
    it.fresh.failing = it.old.failing = 0.2;
    check_brought_in(it);
}

TEST_CASE("a good version is brought in while both versions are slow at times")
{
    auto it = with({});
    it.fresh.slow = it.old.slow = 0.1;
    it.fresh.times = it.old.times = 5;
    check_brought_in(it);
}

// The last run of the session before the order was at another instance, which announced it to no other.
TEST_CASE("a good version gets no session in the first half that just ran on the old one")
{
    rollout_case it;
    it.requests_per_s = 600;
    for (const auto ttl : {milliseconds{5000}, milliseconds{8500}})
    {
        it.session_ttl = ttl;
        for (int n = 1; n <= seed_count(); ++n)
        {
            it.seed = static_cast<std::uint64_t>(n);
            const auto seen = rollout_fleet{it}.run();
            INFO("sessions rest for " << ttl.count() << " ms at most, seed " << n << ": " << summary(seen));
            CHECK(seen.moved == 0);
            CHECK(seen.state == routing::rollout_state::succeeded);
        }
    }
}
