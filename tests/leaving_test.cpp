// Endpoints that say in their answers that they leave get nothing that comes later.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

namespace
{

const std::vector<std::string> none;

} // namespace

TEST_CASE("an endpoint that says in an answer that it leaves gets nothing more, whatever its entry says")
{
    statement_fleet it{{}};
    it.at(milliseconds{3000}, [&] { it.says(1).is_leaving = true; });
    const auto out = it.run();
    CHECK(out.leaving_broken.size() == 0);
    CHECK(out.leaving_told > 0);
    CHECK(out.refused == 0);
}
