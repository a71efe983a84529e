#include <catch2/catch.hpp>

#include "runlink/load/endpoint_backlog.hpp"

using namespace runlink::load;

namespace
{

const endpoint_hash endpoint{7};
const time_point start{};

} // namespace

// Guards against a first token that waits behind a long prompt without a forecast: an urgent prompt that was
// sent later is answered first, and must not remove the long one.
TEST_CASE("an answer to an urgent prompt leaves the long prompt that was sent before it")
{
    endpoint_backlog it;
    it.sent(start, endpoint, milliseconds{3000}, false, stream_hash{1});
    it.sent(start + milliseconds{10}, endpoint, milliseconds{20}, false, stream_hash{2});
    it.read(start + milliseconds{50}, endpoint, stream_hash{2});
    CHECK(it.time_left(start + milliseconds{50}, endpoint) >= milliseconds{2900});
    it.read(start + milliseconds{3000}, endpoint, stream_hash{1});
    CHECK(it.time_left(start + milliseconds{3000}, endpoint) == duration{});
}

// Guards against an endpoint that reads more slowly than expected and counts as idle.
TEST_CASE("prompts of peers count until they are known to have been read")
{
    endpoint_backlog it;
    it.sent(start, endpoint, milliseconds{400}, false, stream_hash{1});
    it.sent(start, endpoint, milliseconds{400}, false, stream_hash{2});
    const auto late = start + milliseconds{1500};
    CHECK(it.time_left(late, endpoint) == milliseconds{500}); // a quarter of the first, and the second
    it.read(late, endpoint, stream_hash{1});
    CHECK(it.time_left(late, endpoint) == milliseconds{100});
}

// Guards against a lost announcement or a killed instance that keeps an endpoint from being used.
TEST_CASE("a prompt that is never announced as read counts for a limited time")
{
    endpoint_backlog it;
    it.sent(start, endpoint, milliseconds{400}, false, stream_hash{1});
    CHECK(it.time_left(start + backlog_options{}.max_unread_time, endpoint) <= duration{});
}
