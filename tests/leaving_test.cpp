// An endpoint that announces in an answer that it is leaving gets no later requests.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

namespace
{

const std::vector<std::string> none;

/// All endpoints announce that they are leaving; one replacement is added 1.2 s later.
statement_outcome replace_all(milliseconds last_resort_time)
{
    statement_case scenario;
    scenario.endpoints = 4;
    scenario.last_resort_time = last_resort_time;
    statement_fleet it{scenario};
    it.at(milliseconds{3000},
          [&it]
          {
              for (int e = 0; e < 4; ++e)
                  it.says(e).is_leaving = true;
          });
    it.at(milliseconds{4200}, [&it] { it.add_endpoint(); });
    return it.run();
}

} // namespace

TEST_CASE("an endpoint that says in an answer that it leaves gets nothing more, whatever its entry says")
{
    statement_case scenario;
    scenario.requests_per_s = 300;
    statement_fleet it{scenario};
    it.at(milliseconds{3000}, [&] { it.says(1).is_leaving = true; });
    const auto out = it.run();
    CHECK(out.leaving_broken == none);
    CHECK(out.leaving_told > 0);
    CHECK(out.refused == 0);
    // The other instances are notified as well.
    CHECK(out.arrivals_after(1, milliseconds{3300}) == 0);
}

TEST_CASE("a mark holds for sends that are connecting, and where datagrams are lost")
{
    statement_case scenario;
    scenario.requests_per_s = 300;
    scenario.connect_time = milliseconds{250};
    scenario.datagrams_lost = 0.3;
    scenario.repeats_one_in = 5;
    statement_fleet it{scenario};
    it.at(milliseconds{3000}, [&] { it.says(1).is_leaving = true; });
    it.at(milliseconds{5000}, [&] { it.says(2).is_leaving = true; });
    // Later answers of endpoint 1 no longer announce it.
    it.at(milliseconds{6500}, [&] { it.says(1).is_leaving = false; });
    const auto out = it.run();
    CHECK(out.leaving_broken == none);
    CHECK(out.arrivals_after(1, milliseconds{6000}) == 0);
    CHECK(out.arrivals_after(2, milliseconds{8000}) == 0);
}

TEST_CASE("endpoints that leave serve what fits nowhere else, until shortly before they may end")
{
    const auto out = replace_all(runlink::routing::directory_options{}.last_resort_time);
    CHECK(out.leaving_broken == none);
    for (int e = 0; e < 4; ++e)
        CHECK(out.arrivals_after(e, milliseconds{5000}) == 0);
    // Without last-resort use, all requests before the replacement starts are refused.
    const auto without = replace_all(milliseconds{0});
    CHECK(without.leaving_broken == none);
    CHECK(out.refused < without.refused / 4);
}

TEST_CASE("an instance that starts hears of endpoints that leave")
{
    statement_case scenario;
    scenario.instances = 3;
    scenario.endpoints = 3;
    scenario.requests_per_s = 300;
    statement_fleet it{scenario};
    it.at(milliseconds{3000}, [&] { it.says(1).is_leaving = true; });
    it.at(milliseconds{6000}, [&] { it.restart(0); });
    const auto out = it.run();
    CHECK(out.arrivals_after(1, milliseconds{2000}) > 0);
    CHECK(out.arrivals_after(1, milliseconds{5000}) == 0);
}
