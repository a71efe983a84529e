// Sends to endpoints that asked for rest.

#include <catch2/catch.hpp>

#include "runlink/places/endpoint_rests.hpp"

using namespace runlink;
using namespace runlink::places;

namespace
{

constexpr time_point start{core::seconds{1000}};
const endpoint_id e1{"e1"};
const core::instance_id self{"i"};

time_point after(int ms)
{
    return start + milliseconds{ms};
}

} // namespace

TEST_CASE("an endpoint gets nothing until the longest rest that it asked for is over")
{
    endpoint_rests it{{}, self};
    CHECK(it.may_send(start, e1));
    CHECK(it.on_rest_requested(start, e1, milliseconds{3000}));
    CHECK_FALSE(it.on_rest_requested(after(500), e1, milliseconds{1000}));
    CHECK(it.is_resting(after(2999), e1));
    CHECK_FALSE(it.may_send(after(2999), e1));
    CHECK_FALSE(it.is_resting(after(3000), e1));
    CHECK(it.may_send(after(3100), e1));
    CHECK(it.count_resting(after(1000)) == 1);
    CHECK_FALSE(it.on_rest_requested(start, endpoint_id{"e2"}, duration{}));
    CHECK(it.may_send(start, endpoint_id{"e2"}));
}

TEST_CASE("after a rest requests go one after the other until the endpoint takes one")
{
    endpoint_rests it{{}, self};
    it.on_rest_requested(start, e1, milliseconds{1000});
    REQUIRE(it.may_send(after(1100), e1));
    it.sent(after(1100), e1);
    CHECK_FALSE(it.may_send(after(1199), e1));
    CHECK(it.may_send(after(1200), e1));
    it.on_accepted(e1, after(900)); // was sent before the rest was over
    CHECK(it.is_recovering(e1));
    it.on_accepted(e1, after(1100));
    CHECK(it.may_send(after(1101), e1));
    CHECK_FALSE(it.is_recovering(e1));
}

TEST_CASE("instances do not begin again at the same moment")
{
    const auto begins = [](const char* name)
    {
        endpoint_rests it{{}, core::instance_id{name}};
        it.on_rest_requested(start, e1, milliseconds{1000});
        return it.next_send(start, e1);
    };
    CHECK(begins("a") != begins("b"));
    CHECK(begins("a") <= after(1100));
}

TEST_CASE("an endpoint that nothing is sent to is forgotten a while after its rest")
{
    endpoint_rests it{{}, self};
    it.on_rest_requested(start, e1, milliseconds{1000});
    it.expire(after(5000));
    CHECK(it.is_recovering(e1));
    it.expire(after(6200));
    CHECK_FALSE(it.is_recovering(e1));
}
