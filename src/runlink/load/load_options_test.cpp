#include <catch2/catch.hpp>

#include "runlink/load/load_options.hpp"

using namespace runlink::load;

TEST_CASE("all parts of load tracking are off by default")
{
    CHECK(active_parts({}, {{64, 1, 1}}) == active_load{});
}

TEST_CASE("scarce parts are in force only while an engine has scarce memory")
{
    load_options options;
    options.engine_load = load_switch::scarce;
    options.plain_load = load_switch::on;
    options.scarce_tokens_per_slot = 6000;
    CHECK(active_parts(options, {{64, 367'000, 9}}) == active_load{true, false, true});
    CHECK(active_parts(options, {{64, 440'000, 9}}) == active_load{false, false, true});
    CHECK(active_parts(options, {{0, 0, 1}}) == active_load{false, false, true}); // an unknown capacity
}
