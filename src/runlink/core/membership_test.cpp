#include <catch2/catch.hpp>

#include "runlink/core/membership.hpp"

using namespace runlink::core;

namespace
{

constexpr time_point start{seconds{100}};

member_info member(const std::string& name, const std::string& domain, int start_number = 1)
{
    return {instance_id{name}, incarnation_id{name + std::to_string(start_number)}, failure_domain_id{domain},
            "10.0.0.1:" + name};
}

heartbeat ready()
{
    heartbeat it;
    it.ready = true;
    return it;
}

} // namespace

TEST_CASE(
    "a silent member is removed, a restarted one is replaced at once, and late heartbeats do not restore it")
{
    membership it{member("a", "d1"), {}};
    it.on_heartbeat(start, member("b", "d2"), ready());
    CHECK(it.is_alive(incarnation_id{"b1"}));
    it.on_heartbeat(start, member("b", "d2", 2), ready());
    CHECK_FALSE(it.is_alive(incarnation_id{"b1"}));
    it.on_heartbeat(start, member("b", "d2", 1), ready());
    CHECK_FALSE(it.is_alive(incarnation_id{"b1"}));
    CHECK(it.live_count() == 2);
    for (int ms = 0; ms <= 2500; ms += 500)
        CHECK(it.tick(start + milliseconds{ms}).empty());
    CHECK(it.tick(start + milliseconds{2600}).size() == 1);
}

TEST_CASE("a process that was paused does not consider its peers dead")
{
    membership it{member("a", "d1"), {}};
    it.on_heartbeat(start, member("b", "d2"), ready());
    it.tick(start);
    CHECK(it.tick(start + seconds{60}).empty());
    CHECK(it.is_alive(incarnation_id{"b1"}));
}

TEST_CASE("partition owners are ready and not stopping, the same on all instances, and evenly distributed")
{
    membership a{member("a", "d1"), {}};
    membership b{member("b", "d2"), {}};
    a.set_self_state(true, false);
    b.set_self_state(true, false);
    a.on_heartbeat(start, member("b", "d2"), ready());
    b.on_heartbeat(start, member("a", "d1"), ready());
    int at_a = 0;
    for (std::uint64_t n = 0; n < 64; ++n)
    {
        CHECK(a.owner_of(partition_id{n}) == b.owner_of(partition_id{n}));
        at_a += a.owner_of(partition_id{n})->id == instance_id{"a"} ? 1 : 0;
    }
    CHECK(at_a > 16);
    CHECK(at_a < 48);
    a.set_self_state(true, true);
    CHECK(a.owner_of(partition_id{0})->id == instance_id{"b"});
}

TEST_CASE("copies go to other failure domains first")
{
    membership it{member("a", "d1"), {}};
    it.on_heartbeat(start, member("b", "d1"), ready());
    it.on_heartbeat(start, member("c", "d1"), ready());
    it.on_heartbeat(start, member("d", "d2"), ready());
    it.on_heartbeat(start, member("e", "d2"), ready());
    it.on_heartbeat(start, member("f", "d3"), ready());
    const auto holders = it.copy_holders(2);
    REQUIRE(holders.size() == 2);
    CHECK(holders[0].failure_domain == failure_domain_id{"d2"});
    CHECK(holders[1].failure_domain == failure_domain_id{"d3"});
    CHECK(it.copy_holders(9).size() == 5);
}
