#include <catch2/catch.hpp>

#include "runlink/load/plain_load.hpp"

using namespace runlink::load;

namespace
{

const endpoint_hash one{1};
const endpoint_hash two{2};
const runlink::core::service_id app{"app"};
const time_point start{runlink::core::seconds{1000}};
constexpr milliseconds work{30};
constexpr milliseconds target{150};

runlink::core::instance_id peer(int n)
{
    return runlink::core::instance_id{"i" + std::to_string(n)};
}

/// Two endpoints of 6 slots that answer in 30 ms, shared by 10 instances.
plain_load usual()
{
    plain_load out;
    out.set_instances(10);
    for (const auto id : {one, two})
    {
        out.put(id, app, 6);
        out.answered(start, id, work);
    }
    return out;
}

request_counts counts(endpoint_hash at, std::uint32_t in_flight, std::uint32_t arrivals_per_s, bool full)
{
    return {at, in_flight, full, arrivals_per_s * 1000, 0};
}

bool never_waits(const runlink::core::service_id&)
{
    return false;
}

} // namespace

TEST_CASE("a calm instance announces nothing and has room")
{
    auto load = usual();
    load.arrived(start, one);
    load.sent(start, one);
    CHECK_FALSE(load.is_pressed(start, app));
    CHECK_FALSE(load.next_due(start, never_waits));
    CHECK(load.take_due(start, never_waits).empty());
    CHECK(load.has_room(start, one, target));
    CHECK(load.interval(start, one) == duration{});
}

TEST_CASE("counts of another instance replace its earlier ones and expire")
{
    // Guards against counts that add up, or stay after their instance was killed.
    auto load = usual();
    load.on_counts(start, peer(1), {counts(one, 4, 0, false)});
    load.on_counts(start, peer(1), {counts(one, 2, 0, false)});
    load.on_counts(start, peer(2), {counts(one, 1, 0, false)});
    load.sent(start, one);
    CHECK(load.running(start, one) == 4);
    load.on_counts(start + milliseconds{200}, peer(2), {});
    CHECK(load.running(start, one) == 3);
    load.expire(start + milliseconds{300});
    CHECK(load.running(start, one) == 1);
    load.ended(one);
    CHECK(load.running(start, one) == 0);
}

TEST_CASE("a refusal closes the endpoint for the time of an answer and is announced once")
{
    // Guards against sends to an endpoint that has just refused, and against a refusal that lasts.
    auto load = usual();
    load.sent(start, one);
    load.ended(one);
    load.refused(start, one);
    CHECK_FALSE(load.has_room(start, one, target));
    CHECK(load.next_room(start, one) >= start + work);
    CHECK(load.has_room(start, two, target));
    const auto first = load.take_due(start, never_waits);
    REQUIRE(first.size() == 1);
    CHECK(first[0].is_full);
    CHECK(load.take_due(start + milliseconds{59}, never_waits).empty());
    load.sent(start, one);
    const auto second = load.take_due(start + milliseconds{120}, never_waits);
    REQUIRE(second.size() == 1);
    CHECK_FALSE(second[0].is_full);
    CHECK(load.is_pressed(start + milliseconds{1100}, app)); // no other instance says anything
    load.on_counts(start + milliseconds{1100}, peer(1), {});
    CHECK_FALSE(load.is_pressed(start + milliseconds{1100}, app));
}

TEST_CASE("scarce capacity is divided by demand")
{
    // Guards against instances that together send what each of them alone could.
    auto load = usual();
    for (int n = 0; n < 100; ++n)
        load.arrived(start, one);
    load.on_counts(start, peer(1), {counts(one, 0, 300, false), counts(two, 0, 400, false)});
    // 400 requests per second at both endpoints; an eighth of the demand, with an even part of a fifth.
    const double part = 0.8 * 100 / 800 + 0.2 / 10;
    const auto expected = 1e6 / (part * 400);
    CHECK(static_cast<double>(load.interval(start, one).count()) == Approx(expected).epsilon(0.01));
    load.on_counts(start, peer(1), {counts(one, 0, 100, false)});
    CHECK(load.interval(start, one) == duration{});
}

TEST_CASE("without announcements capacity is divided evenly after a refusal")
{
    auto load = usual();
    load.refused(start, one);
    const auto at_two = load.interval(start, two); // of 400 per second, a little less at the first
    CHECK(static_cast<double>(at_two.count()) == Approx(1e6 / 40).epsilon(0.05));
    CHECK(load.interval(start + milliseconds{2900}, two) > duration{});
    CHECK(load.interval(start + milliseconds{3000}, two) == duration{});
}

TEST_CASE("a slow period is learned and forgotten")
{
    // Guards against a mean that keeps sending to an endpoint whose work takes 2.5 times as long.
    auto load = usual();
    for (int n = 0; n < 300; ++n)
        load.answered(start, one, work);
    auto now = start + milliseconds{1000};
    for (int n = 0; n < 10; ++n)
        load.answered(now += milliseconds{20}, one, milliseconds{75});
    CHECK(load.expected_end(now, one) > milliseconds{65});
    CHECK(load.expected_end(now, two) == work);
    CHECK(load.expected_end(now + milliseconds{2000}, one) < milliseconds{35});
}

TEST_CASE("a fresh statement of an endpoint replaces the estimate")
{
    // Guards against the use of a statement that is older than the load that it describes.
    auto load = usual();
    load.on_statement(start, one, {5, 3, 8, 200});
    CHECK(load.running(start, one) == Approx(8));
    CHECK(load.expected_end(start, one).count() == Approx(67'500).epsilon(0.01)); // 60 ms, 9 in 8 slots
    CHECK(load.running(start + milliseconds{500}, one) < 0.3);
}

TEST_CASE("a digest holds the sum of the own failure domain only")
{
    // Guards against counts that circulate between relays.
    auto load = usual();
    load.sent(start, one);
    load.refused(start, one);
    load.on_counts(start, peer(1), {counts(one, 2, 5, false)});
    load.on_counts(start, {}, {counts(one, 9, 50, false)});
    const auto sums = load.local_counts(start);
    REQUIRE(sums.size() == 1);
    CHECK(sums[0].in_flight == 3);
    CHECK(sums[0].arrivals_per_1000_s == 5000);
    CHECK(sums[0].is_full);
}
