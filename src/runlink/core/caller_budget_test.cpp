#include <catch2/catch.hpp>

#include <random>
#include <set>

#include "runlink/core/caller_budget.hpp"

using namespace runlink::core;

namespace
{

constexpr std::size_t large = 4000;
constexpr std::size_t ordinary = 400;

caller_budget_limits small_limits()
{
    caller_budget_limits out;
    out.max_bytes = 20'000;
    out.max_connections = 40;
    out.max_ordinary_bytes = 500;
    out.connection_bytes = 10;
    out.stall_time = milliseconds{1000};
    return out;
}

/// A budget with a clock that tests advance.
struct budget_fixture
{
    caller_budget budget{small_limits()};
    time_point now{seconds{10}};

    /// A connection whose request needs so many bytes; false if there is no room for it.
    bool receive(std::uint64_t id, std::size_t bytes)
    {
        return budget.open(now, connection_id{id}).is_granted && begin(id, bytes).is_granted;
    }
    caller_budget::decision begin(std::uint64_t id, std::size_t bytes)
    {
        budget.enter(now, connection_id{id}, caller_phase::receiving);
        return budget.hold(now, connection_id{id}, bytes);
    }
    void complete(std::uint64_t id) { budget.enter(now, connection_id{id}, caller_phase::waiting); }
};

} // namespace

TEST_CASE("large requests leave a quarter of the bytes to ordinary ones")
{
    budget_fixture it;
    CHECK(it.receive(1, large));
    CHECK(it.receive(2, large));
    CHECK(it.receive(3, large));
    CHECK_FALSE(it.receive(4, large));
    for (std::uint64_t n = 5; n < 15; ++n)
        CHECK(it.receive(n, ordinary));
    CHECK(it.budget.totals().refused_requests == 1);
}

TEST_CASE("a request without progress gives way to a new one, and one that makes progress does not")
{
    budget_fixture it;
    for (std::uint64_t n = 1; n <= 3; ++n)
        REQUIRE(it.receive(n, large));
    it.now += milliseconds{1000};
    it.budget.progressed(it.now, connection_id{1});
    it.budget.progressed(it.now, connection_id{3});
    REQUIRE(it.budget.open(it.now, connection_id{4}).is_granted);
    const auto out = it.begin(4, large);
    CHECK(out.is_granted);
    CHECK(out.displaced == std::vector{connection_id{2}});
    REQUIRE(it.budget.open(it.now, connection_id{5}).is_granted);
    CHECK_FALSE(it.begin(5, large).is_granted);
}

TEST_CASE("a whole request that waits for its answer never gives way")
{
    budget_fixture it;
    for (std::uint64_t n = 1; n <= 3; ++n)
    {
        REQUIRE(it.receive(n, large));
        it.complete(n);
    }
    it.now += seconds{100};
    CHECK_FALSE(it.receive(4, large));
}

TEST_CASE("a request that grows displaces later ones, and an earlier one is not displaced")
{
    budget_fixture it;
    REQUIRE(it.receive(1, large));
    REQUIRE(it.receive(2, large));
    REQUIRE(it.receive(3, large));
    CHECK_FALSE(it.budget.hold(it.now, connection_id{3}, 2 * large).is_granted);
    const auto out = it.budget.hold(it.now, connection_id{1}, 2 * large);
    CHECK(out.is_granted);
    CHECK(out.displaced == std::vector{connection_id{3}});
}

TEST_CASE("of requests that grow side by side the oldest gets to its end")
{
    budget_fixture it;
    std::set<std::uint64_t> open;
    for (std::uint64_t n = 1; n <= 10; ++n)
    {
        REQUIRE(it.receive(n, 100));
        open.insert(n);
    }
    for (std::size_t bytes = 200; bytes <= 3 * large; bytes += 100)
        for (const auto n : std::set{open})
        {
            if (!open.contains(n))
                continue;
            const auto out = it.budget.hold(it.now, connection_id{n}, bytes);
            if (!out.is_granted)
            {
                it.budget.close(connection_id{n});
                open.erase(n);
            }
            for (const auto& e : out.displaced)
            {
                it.budget.close(e);
                open.erase(e.value());
            }
        }
    CHECK(open == std::set<std::uint64_t>{1});
}

TEST_CASE("an answer displaces requests that are being received, and is refused beside whole ones")
{
    budget_fixture it;
    REQUIRE(it.receive(1, large));
    it.complete(1);
    REQUIRE(it.receive(2, large));
    REQUIRE(it.receive(3, large));
    const auto out = it.budget.hold_answers(it.now, 2 * large, budget_share::large);
    CHECK(out.is_granted);
    CHECK(out.displaced == std::vector{connection_id{3}, connection_id{2}});
    CHECK_FALSE(it.budget.hold_answers(it.now, 3 * large, budget_share::large).is_granted);
    CHECK(it.budget.hold_answers(it.now, 2 * large + ordinary, budget_share::ordinary).is_granted);
}

TEST_CASE("a caller that does not read its answer gives way once it has stalled")
{
    budget_fixture it;
    for (std::uint64_t n = 1; n <= 3; ++n)
    {
        REQUIRE(it.receive(n, large));
        it.budget.enter(it.now, connection_id{n}, caller_phase::sending);
    }
    CHECK_FALSE(it.receive(4, large));
    it.now += seconds{1};
    CHECK(it.receive(5, large));
}

TEST_CASE("above the limit of connections idle ones give way, the longest idle first, then stalled ones")
{
    budget_fixture it;
    for (std::uint64_t n = 1; n <= 40; ++n)
    {
        it.now += milliseconds{1};
        REQUIRE(it.budget.open(it.now, connection_id{n}).is_granted);
    }
    it.budget.progressed(it.now, connection_id{1});
    CHECK(it.budget.open(it.now, connection_id{41}).displaced == std::vector{connection_id{2}});
    for (std::uint64_t n = 1; n <= 41; ++n)
        if (n != 2)
            (void)it.begin(n, 1);
    CHECK_FALSE(it.budget.open(it.now, connection_id{42}).is_granted);
    CHECK(it.budget.totals().refused_connections == 1);
    it.now += seconds{1};
    CHECK(it.budget.open(it.now, connection_id{43}).is_granted);
    CHECK(it.budget.connection_count() == 40);
}

TEST_CASE("a connection that was displaced for another one holds nothing")
{
    auto limits = small_limits();
    limits.max_connections = 1;
    budget_fixture it{caller_budget{limits}};
    REQUIRE(it.receive(1, ordinary));
    it.now += seconds{1};
    REQUIRE(it.budget.open(it.now, connection_id{2}).displaced == std::vector{connection_id{1}});
    it.budget.enter(it.now, connection_id{1}, caller_phase::refused);
    it.budget.hold_anyway(connection_id{1}, ordinary);
    CHECK(it.budget.hold(it.now, connection_id{1}, ordinary).is_granted);
    it.budget.close(connection_id{1});
    CHECK(it.budget.held_bytes() == limits.connection_bytes);
}

TEST_CASE("an ordinary request displaces idle connections that use up the bytes")
{
    auto limits = small_limits();
    limits.max_bytes = 400;
    budget_fixture it{caller_budget{limits}};
    for (std::uint64_t n = 1; n <= 40; ++n)
        REQUIRE(it.budget.open(it.now, connection_id{n}).is_granted);
    it.now += seconds{1};
    CHECK(it.begin(40, 100).displaced.size() == 10);
    CHECK(it.budget.held_bytes() <= limits.max_bytes);
}

TEST_CASE("the limits of a process leave memory and descriptors to the process itself")
{
    const auto out = caller_budget_limits::for_process(96'000'000, 256);
    CHECK(out.max_bytes <= 64'000'000);
    CHECK(out.max_bytes >= 40'000'000);
    CHECK(out.max_connections <= 192);
    CHECK(caller_budget_limits::for_process(0, 0).max_bytes == caller_budget_limits{}.max_bytes);
}

TEST_CASE(
    "under random callers the sum stays within its bound, and the requests that remain get to their end")
{
    for (unsigned seed = 1; seed <= 200; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937 random{seed};
        const auto draw = [&](std::size_t n) { return random() % n; };
        budget_fixture it;
        std::map<std::uint64_t, caller_phase> open;
        std::map<std::uint64_t, std::size_t> held;
        std::set<std::uint64_t> stalled;
        std::uint64_t next = 1;
        std::size_t completed = 0;
        std::size_t answers = 0;
        const auto end = [&](std::uint64_t id)
        {
            it.budget.close(connection_id{id});
            open.erase(id);
            held.erase(id);
        };
        const auto release = [&](const caller_budget::decision& why)
        {
            for (const auto& e : why.displaced)
            {
                REQUIRE(open.contains(e.value()));
                REQUIRE(open.at(e.value()) != caller_phase::waiting);
                end(e.value());
            }
        };
        for (int step = 0; step < 2000; ++step)
        {
            it.now += milliseconds{draw(60)};
            if (draw(2) == 0)
            {
                const auto id = next++;
                const auto out = it.budget.open(it.now, connection_id{id});
                release(out);
                if (out.is_granted)
                    open[id] = caller_phase::idle;
                if (draw(4) == 0)
                    stalled.insert(id);
            }
            if (open.empty())
                continue;
            const auto id = std::next(open.begin(), static_cast<std::ptrdiff_t>(draw(open.size())))->first;
            auto& phase = open.at(id);
            switch (phase)
            {
            case caller_phase::idle:
                phase = caller_phase::receiving;
                it.budget.enter(it.now, connection_id{id}, phase);
                [[fallthrough]];
            case caller_phase::receiving:
            {
                if (stalled.contains(id) && held[id] > 0)
                    break;
                it.budget.progressed(it.now, connection_id{id});
                const auto out = it.budget.hold(it.now, connection_id{id}, held[id] + draw(2 * large));
                release(out);
                if (!out.is_granted)
                    end(id);
                else if (const auto more = draw(3); more == 0)
                {
                    phase = caller_phase::waiting;
                    ++completed;
                    it.complete(id);
                }
                else
                    held[id] += draw(large) / 2;
                break;
            }
            case caller_phase::waiting:
                if (const auto out =
                        it.budget.hold_answers(it.now, answers = draw(large), budget_share::large);
                    true)
                    release(out);
                phase = caller_phase::sending;
                it.budget.enter(it.now, connection_id{id}, phase);
                break;
            default:
                if (!stalled.contains(id))
                    end(id);
            }
            REQUIRE(it.budget.held_bytes() <= small_limits().max_bytes);
            REQUIRE(it.budget.connection_count() <= small_limits().max_connections);
        }
        CHECK(completed > 100);
        CHECK(it.budget.hold_answers(it.now, 0, budget_share::ordinary).is_granted);
        while (!open.empty())
            end(open.begin()->first);
        CHECK(it.budget.held_bytes() == 0);
    }
}
