// An endpoint that refuses a request and asks for a rest period gets no requests until the period ends.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

namespace
{

const std::vector<std::string> none;

} // namespace

TEST_CASE("an endpoint that asks an instance for rest gets nothing from it in that time")
{
    statement_fleet it{{}};
    it.at(milliseconds{3000},
          [&]
          {
              it.says(1).refused = 1;
              it.says(1).rest = milliseconds{3000};
          });
    const auto out = it.run();
    CHECK(out.rests_broken.size() == 0);
    CHECK(out.rests > 0);
}

TEST_CASE("a request that finds every endpoint at rest does not go through them")
{
    statement_case scenario;
    scenario.endpoints = 3;
    statement_fleet it{scenario};
    it.at(milliseconds{3000},
          [&]
          {
              for (int e = 0; e < scenario.endpoints; ++e)
              {
                  it.says(e).refused = 0.9;
                  it.says(e).rest = milliseconds{2000};
              }
          });
    const auto out = it.run();
    CHECK(out.rests_broken.size() == 0);
    CHECK(out.rests > 0);
}

TEST_CASE("callers whose requests fit at resting endpoints only come back when a rest is over, not at the "
          "same time")
{
    statement_case scenario;
    scenario.endpoints = 2;
    scenario.length = milliseconds{4900};
    statement_fleet it{scenario};
    it.at(milliseconds{2000},
          [&]
          {
              for (int e = 0; e < scenario.endpoints; ++e)
              {
                  it.says(e).refused = 1;
                  it.says(e).rest = milliseconds{3000};
              }
          });
    const auto out = it.run();
    // All requests are refused from shortly after 2 s on; few of them before both rest periods are known.
    REQUIRE(out.refused > 100);
    const auto early = std::count_if(out.back_at.begin(), out.back_at.end(),
                                     [](milliseconds at) { return at < milliseconds{5000}; });
    CHECK(static_cast<std::uint64_t>(early) < out.refused / 10);
    const auto [least, most] = std::minmax_element(out.back_at.begin(), out.back_at.end());
    CHECK(*most - *least > milliseconds{1500});
    const auto longest = *std::max_element(out.refused_after.begin(), out.refused_after.end());
    CHECK(longest <= milliseconds{320});
}

TEST_CASE("what endpoints say holds beside restarts, pauses, lost datagrams and each other")
{
    const int seeds = number_from("RUNLINK_STATEMENT_SEEDS", 20);
    const int first = number_from("RUNLINK_STATEMENT_FIRST", 1);
    std::uint64_t rests = 0;
    std::uint64_t leaving = 0;
    std::uint64_t limited = 0;
    for (int seed = first; seed < first + seeds; ++seed)
    {
        std::mt19937_64 random{static_cast<std::uint64_t>(seed)};
        const auto pick = [&](int below)
        { return static_cast<int>(random() % static_cast<unsigned>(below)); };
        const auto pick_time = [&](int least, int spread) { return milliseconds{least + pick(spread)}; };
        statement_case scenario;
        scenario.seed = random();
        scenario.instances = 2 + pick(12);
        scenario.endpoints = 3 + pick(8);
        scenario.requests_per_s = 20 + pick(200);
        scenario.datagrams_lost = pick(3) * 0.1;
        scenario.datagram_delay = pick_time(2, 60);
        scenario.connect_time = milliseconds{pick(240)};
        scenario.repeats_one_in = pick(2) * 8;
        statement_fleet it{scenario};
        for (int n = 0; n < 14; ++n)
        {
            const auto e = pick(scenario.endpoints);
            endpoint_words words;
            if (pick(2) == 0)
                words.requests_per_s = pick(60) / 10.0;
            if (pick(2) == 0)
                words.refused = pick(10) / 10.0;
            if (pick(2) == 0)
                words.rest = pick_time(100, 4000);
            words.is_leaving = pick(4) == 0;
            it.at(pick_time(500, 18'000), [&it, e, words] { it.says(e) = words; });
        }
        it.at(pick_time(500, 18'000), [&it, i = pick(scenario.instances)] { it.restart(i); });
        it.at(pick_time(500, 10'000),
              [&it, i = pick(scenario.instances), time = pick_time(200, 4000)] { it.pause(i, time); });
        const auto out = it.run();
        INFO("seed " << seed);
        CHECK(out.limits_broken == none);
        CHECK(out.leaving_broken == none);
        CHECK(out.rests_broken == none);
        rests += out.rests;
        leaving += out.leaving_told;
        limited += out.limited;
    }
    CHECK(rests > 0);
    CHECK(leaving > 0);
    CHECK(limited > 0);
}
