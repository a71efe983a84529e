// All instances together send an endpoint that announces a rate limit no more requests than it allows.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

namespace
{

const std::vector<std::string> none;

} // namespace

TEST_CASE("an endpoint that names a limit in its answers gets no more requests than it bears")
{
    for (const double limit : {0.0, 0.5, 2.2})
    {
        statement_case scenario;
        scenario.length = milliseconds{60'000};
        statement_fleet it{scenario};
        it.at(milliseconds{3000}, [&] { it.says(1).requests_per_s = limit; });
        const auto out = it.run();
        INFO("limit " << limit);
        CHECK(out.limits_broken == none);
        CHECK(out.limited > 0);
        CHECK(out.refused == 0);
    }
}

TEST_CASE("a limit holds in a large deployment, and for repeats, slow connections and lost datagrams")
{
    statement_case scenario;
    scenario.length = milliseconds{30'000};
    scenario.instances = 65;
    scenario.endpoints = 12;
    scenario.requests_per_s = 400;
    scenario.connect_time = milliseconds{250};
    scenario.datagrams_lost = 0.2;
    scenario.repeats_one_in = 6;
    statement_fleet it{scenario};
    it.at(milliseconds{2000},
          [&]
          {
              it.says(1).requests_per_s = 2.2;
              it.says(2).requests_per_s = 0.5;
              it.says(3).requests_per_s = 0;
          });
    const auto out = it.run();
    CHECK(out.limits_broken == none);
    CHECK(out.limited > 20);
}

TEST_CASE("a lower limit binds sends that are still connecting")
{
    statement_case scenario;
    scenario.endpoints = 3;
    scenario.connect_time = milliseconds{240};
    statement_fleet it{scenario};
    it.at(milliseconds{2000}, [&] { it.says(1).requests_per_s = 12; });
    it.at(milliseconds{8000}, [&] { it.says(1).requests_per_s = 1; });
    it.at(milliseconds{12000}, [&] { it.says(1).requests_per_s = 0.2; });
    CHECK(it.run().limits_broken == none);
}

TEST_CASE("an endpoint whose answers name no limit any more is used as before")
{
    statement_fleet it{{}};
    it.at(milliseconds{2000}, [&] { it.says(1).requests_per_s = 0.5; });
    it.at(milliseconds{6000}, [&] { it.says(1).requests_per_s.reset(); });
    const auto out = it.run();
    // The load is 60 requests per second over eight endpoints.
    CHECK(out.arrivals_after(1, milliseconds{15'000}) > 20);
}

TEST_CASE("where every endpoint names a limit the room is used, and what has no place is refused at once")
{
    statement_case scenario;
    scenario.endpoints = 4;
    statement_fleet it{scenario};
    it.at(milliseconds{2000},
          [&]
          {
              for (int e = 0; e < 4; ++e)
                  it.says(e).requests_per_s = 3;
          });
    const auto out = it.run();
    CHECK(out.limits_broken == none);
    const auto got = out.arrivals_after(0, milliseconds{4000}) + out.arrivals_after(1, milliseconds{4000}) +
                     out.arrivals_after(2, milliseconds{4000}) + out.arrivals_after(3, milliseconds{4000});
    CHECK(got > 16 * 4 * 3 * 6 / 10);
    // A request waits only as long as its answer can still arrive in time.
    const auto longest = *std::max_element(out.refused_after.begin(), out.refused_after.end());
    CHECK(longest <= milliseconds{320});
    // Retry delays are long enough that the retry is not refused again, and are spread over time.
    const auto [least, most] = std::minmax_element(out.put_off.begin(), out.put_off.end());
    CHECK(*least >= milliseconds{300});
    CHECK(*most - *least > milliseconds{1000});
}

TEST_CASE("urgent requests come first where endpoints name limits")
{
    statement_case scenario;
    scenario.endpoints = 2;
    statement_fleet it{scenario};
    it.at(milliseconds{1000},
          [&]
          {
              it.says(0).requests_per_s = 10;
              it.says(1).requests_per_s = 10;
          });
    const auto out = it.run();
    const auto part = [](std::uint64_t answered, std::uint64_t refused)
    { return static_cast<double>(answered) / static_cast<double>(answered + refused); };
    CHECK(part(out.urgent_answered, out.urgent_refused) >
          part(out.answered - out.urgent_answered, out.refused - out.urgent_refused));
}

TEST_CASE("limits hold beside restarts, pauses, lost datagrams and limits that change")
{
    const int seeds = number_from("RUNLINK_LIMIT_SEEDS", 20);
    const int first = number_from("RUNLINK_LIMIT_FIRST", 1);
    std::uint64_t limited = 0;
    for (int seed = first; seed < first + seeds; ++seed)
    {
        std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
        const auto pick = [&](int below)
        { return static_cast<int>(random() % static_cast<unsigned>(below)); };
        statement_case scenario;
        scenario.seed = random();
        scenario.instances = 2 + pick(20);
        scenario.endpoints = 2 + pick(8);
        scenario.requests_per_s = 20 + pick(200);
        scenario.uneven = pick(3) * 0.3;
        scenario.datagrams_lost = pick(3) * 0.1;
        scenario.datagram_delay = milliseconds{2 + pick(60)};
        scenario.connect_time = milliseconds{pick(240)};
        scenario.repeats_one_in = pick(2) * 8;
        statement_fleet it{scenario};
        for (int n = 0; n < 12; ++n)
        {
            const auto e = pick(scenario.endpoints);
            const std::optional<double> limit = pick(4) == 0 ? std::nullopt : std::optional{pick(60) / 10.0};
            it.at(milliseconds{500 + pick(18'000)}, [&it, e, limit] { it.says(e).requests_per_s = limit; });
        }
        for (int n = 0; n < 3; ++n)
        {
            const auto i = pick(scenario.instances);
            it.at(milliseconds{500 + pick(18'000)}, [&it, i] { it.restart(i); });
        }
        it.at(milliseconds{500 + pick(10'000)},
              [&it, i = pick(scenario.instances), time = milliseconds{200 + pick(4000)}]
              { it.pause(i, time); });
        const auto out = it.run();
        INFO("seed " << seed);
        CHECK(out.limits_broken == none);
        limited += out.limited;
    }
    CHECK(limited > 0);
}
