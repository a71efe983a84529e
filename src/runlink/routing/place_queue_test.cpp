// Order of requests that wait for a send slot, and retry times of refused callers.

#include <catch2/catch.hpp>

#include "runlink/routing/place_queue.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr time_point start{core::seconds{1000}};
const service_id pool{"pool"};

time_point after(int ms)
{
    return start + milliseconds{ms};
}

} // namespace

TEST_CASE("send slots are counted over all endpoints, each at its own interval")
{
    const std::vector<slot_series> open{{after(100), milliseconds{1000}}, {after(300), milliseconds{200}}};
    CHECK(slot_behind(0, open) == after(100));
    CHECK(slot_behind(1, open) == after(300));
    CHECK(slot_behind(2, open) == after(500));
    CHECK(slot_behind(6, open) == after(1100));
    CHECK_FALSE(slot_behind(0, {}));
}

TEST_CASE("the most urgent request comes first, then the oldest")
{
    slot_queue it;
    const slot_queue::entry urgent{0, after(50), flow_id{3}};
    const slot_queue::entry old{1, after(0), flow_id{1}};
    const slot_queue::entry young{1, after(20), flow_id{2}};
    for (const auto& e : {young, old, urgent})
        it.add(pool, e);
    CHECK(it.before(pool, young) == std::vector<flow_id>{flow_id{3}, flow_id{1}});
    CHECK(it.count_before(pool, old) == 1);
    CHECK(it.count_before(pool, urgent) == 0);
    CHECK(it.count_before(service_id{"other"}, young) == 0);
    it.remove(pool, urgent);
    CHECK(it.count_before(pool, old) == 0);
    CHECK(it.size() == 2);
}

TEST_CASE("callers without a send slot get different retry times, within a maximum delay")
{
    slot_queue it;
    CHECK(it.assign_retry_time(start, pool, after(400), milliseconds{500}) == after(400));
    CHECK(it.assign_retry_time(start, pool, after(400), milliseconds{500}) == after(900));
    for (int n = 0; n < 20; ++n)
        CHECK(it.assign_retry_time(start, pool, after(400), milliseconds{500}) <= after(5000));
    CHECK(it.assign_retry_time(after(30000), pool, after(30100), milliseconds{500}) == after(30100));
}
