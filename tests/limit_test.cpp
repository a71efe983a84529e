// Endpoints that name a limit get no more than it allows from all instances together.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

TEST_CASE("an endpoint that names a limit in its answers gets no more requests than it bears")
{
    for (const double limit : {0.0, 0.5, 2.2})
    {
        statement_fleet it{{}};
        it.at(milliseconds{3000}, [&] { it.says(1).requests_per_s = limit; });
        const auto out = it.run();
        INFO("limit " << limit);
        CHECK(out.limits_broken == std::vector<std::string>{});
        CHECK(out.limited > 0);
    }
}
