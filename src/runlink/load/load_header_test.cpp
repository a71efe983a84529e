#include <catch2/catch.hpp>

#include "runlink/load/load_header.hpp"

using namespace runlink::load;

TEST_CASE("the load that an endpoint states is parsed")
{
    CHECK(parse_stated_load("6,2,6,250") == stated_load{6, 2, 6, 2.5});
    CHECK(parse_stated_load(" 0, 0,\t1 ,100 ") == stated_load{0, 0, 1, 1.0});
    CHECK(parse_stated_load("4294967295,0,6,1") == stated_load{4294967295U, 0, 6, 0.01});
}

TEST_CASE("a malformed load header is ignored as a whole")
{
    // Guards against a load of 0, which attracts all requests, from a header that was cut or changed by an
    // intermediary.
    for (const auto* text : {"", ",,,", "6", "6,2,6", "6,2,6,", "6,2,6,250,1", "6,,6,250", "6,2,6,250,",
                             "a,2,6,250", "6,2,6,2.5", "-1,2,6,250", "+1,2,6,250", "6,2,6,250x",
                             "6 1,2,6,250", "0x6,2,6,250", "4294967296,2,6,250", "6;2;6;250"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_stated_load(text));
    }
}

TEST_CASE("a load header without slots or pace is ignored")
{
    // Guards against divisions by zero in the expected end of a request.
    CHECK_FALSE(parse_stated_load("6,2,0,250"));
    CHECK_FALSE(parse_stated_load("6,2,6,0"));
}
