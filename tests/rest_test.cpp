// Endpoints that ask for rest, refusing a request, get nothing until it is over.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

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
    statement_case of;
    of.endpoints = 3;
    statement_fleet it{of};
    it.at(milliseconds{3000},
          [&]
          {
              for (int e = 0; e < of.endpoints; ++e)
              {
                  it.says(e).refused = 0.9;
                  it.says(e).rest = milliseconds{2000};
              }
          });
    const auto out = it.run();
    CHECK(out.rests_broken.size() == 0);
    CHECK(out.rests > 0);
}
