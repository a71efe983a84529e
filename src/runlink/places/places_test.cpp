#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "runlink/places/evacuations.hpp"
#include "runlink/places/region_map.hpp"
#include "runlink/places/warm_up.hpp"

using namespace runlink;
using namespace runlink::places;

namespace
{

constexpr time_point start{core::seconds{1000}};
const service_id pool{"pool"};
constexpr cold_limit limit{13, milliseconds{3000}};

core::instance_id instance(int n)
{
    return core::instance_id{"i" + std::to_string(n)};
}

endpoint_id endpoint(int n)
{
    return endpoint_id{"e" + std::to_string(n)};
}

/// Instances that send to cold endpoints whenever they may, checked every millisecond.
class fleet
{
public:
    fleet(int size, warm_up_options options)
    {
        for (int n = 0; n < size; ++n)
        {
            all_.emplace_back(options, instance(n));
            all_.back().set_limit(pool, limit);
        }
    }

    warm_up& at(int n) { return all_.at(static_cast<std::size_t>(n)); }
    int size() const { return static_cast<int>(all_.size()); }

    /// Every instance `n` learns of all instances `other` except where `misses(n, other)` holds.
    template <class Misses>
    void settle(const Misses& misses)
    {
        for (int n = 0; n < size(); ++n)
        {
            for (int other = 0; other < size(); ++other)
                if (!misses(n, other))
                    at(n).instances().put(instance(other), {});
            at(n).settle();
        }
    }

    /// The most requests that any endpoint gets in a second when this many endpoints turn cold at once.
    std::size_t most_in_a_second(int endpoints, milliseconds news_spread)
    {
        std::mt19937 random{7};
        std::vector<time_point> told;
        std::uniform_int_distribution<std::int64_t> late{0, news_spread.count()};
        for (int n = 0; n < size(); ++n)
            told.push_back(start + milliseconds{late(random)});
        std::vector<std::deque<time_point>> seconds(static_cast<std::size_t>(endpoints));
        std::size_t most = 0;
        for (auto now = start + news_spread; now < start + limit.cold_time; now += milliseconds{1})
            for (int n = 0; n < size(); ++n)
                for (int e = 0; e < endpoints; ++e)
                    most = std::max(most, step(now, n, e, told, seconds[static_cast<std::size_t>(e)]));
        return most;
    }

private:
    std::size_t step(time_point now, int n, int e, const std::vector<time_point>& told,
                     std::deque<time_point>& second)
    {
        if (!at(n).is_cold(now, endpoint(e)))
            at(n).told(told[static_cast<std::size_t>(n)], endpoint(e), pool, limit.cold_time);
        if (!at(n).may_send(now, endpoint(e)))
            return 0;
        at(n).sent(now, endpoint(e));
        second.push_back(now);
        while (second.front() + core::seconds{1} < now)
            second.pop_front();
        return second.size();
    }

    std::deque<warm_up> all_;
};

/// Requests per second that a cold endpoint can handle: 1.5 times its limit and a few more.
constexpr std::size_t max_accepted = 24;

} // namespace

TEST_CASE("regions bind where there are any; a failure domain without a region is allowed to nobody bound")
{
    const core::region_id here{"here"};
    const region_map it{{{core::failure_domain_id{"n"}, here}}};
    CHECK(it.allows(core::failure_domain_id{"n"}, {}));
    CHECK(it.allows(core::failure_domain_id{"n"}, {core::region_id{"x"}, here}));
    CHECK_FALSE(it.allows(core::failure_domain_id{"n"}, {core::region_id{"x"}}));
    CHECK(it.allows(core::failure_domain_id{"unknown"}, {}));
    CHECK_FALSE(it.allows(core::failure_domain_id{"unknown"}, {here}));
}

TEST_CASE("a whole list of evacuations tells which have ended")
{
    evacuations it;
    CHECK(it.begin(core::failure_domain_id{"a"}));
    CHECK_FALSE(it.begin(core::failure_domain_id{"a"}));
    CHECK(it.begin(core::failure_domain_id{"b"}));
    const auto ended = it.replace({core::failure_domain_id{"b"}, core::failure_domain_id{"c"}});
    CHECK(ended == std::vector<core::failure_domain_id>{core::failure_domain_id{"a"}});
    CHECK(it.contains(core::failure_domain_id{"c"}));
    CHECK_FALSE(it.end(core::failure_domain_id{"a"}));
    CHECK(it.end(core::failure_domain_id{"b"}));
}

TEST_CASE("endpoints without a limit are never cold")
{
    warm_up it{{}, instance(0)};
    it.settle();
    CHECK_FALSE(it.told(start, endpoint(1), pool, milliseconds{3000}));
    CHECK_FALSE(it.suspect(start, endpoint(1), pool, cold_reason::readmitted));
    CHECK(it.may_send(start, endpoint(1)));
}

TEST_CASE("a failure domain that comes back cold gets its rate from all instances together, not each one's")
{
    for (const std::size_t senders : {std::size_t{4}, std::size_t{0}})
    {
        fleet it{65, {senders}};
        it.settle([](int, int) { return false; });
        const auto most = it.most_in_a_second(37, milliseconds{0});
        CHECK(most <= max_accepted);
        CHECK(most >= 10); // the capacity of the endpoints is used
    }
    // Without the bound, all 65 instances send at once.
    fleet unbounded{65, {}};
    for (int n = 0; n < unbounded.size(); ++n)
        unbounded.at(n).set_limit(pool, {1e6, limit.cold_time});
    unbounded.settle([](int, int) { return false; });
    CHECK(unbounded.most_in_a_second(1, milliseconds{0}) > max_accepted);
}

TEST_CASE("the bound holds where views of the instances differ, and news come at different times")
{
    fleet it{65, {}};
    it.settle([](int n, int other) { return n != other && (n * 31 + other * 17) % 29 == 0; });
    CHECK(it.most_in_a_second(37, milliseconds{800}) <= max_accepted);
}

TEST_CASE("the bound holds in small and in large fleets")
{
    for (const int size : {1, 3, 6, 130})
    {
        fleet it{size, {}};
        it.settle([](int, int) { return false; });
        CHECK(it.most_in_a_second(3, milliseconds{0}) <= max_accepted);
    }
}

TEST_CASE("an instance that does not know the others sends nothing to cold endpoints")
{
    warm_up it{{}, instance(0)};
    it.set_limit(pool, limit);
    it.told(start, endpoint(1), pool, milliseconds{3000});
    const auto later = start + milliseconds{1500};
    CHECK_FALSE(it.may_send(later, endpoint(1)));
    it.settle();
    CHECK(it.may_send(later, endpoint(1)));
}

TEST_CASE("the rate is shared among the instances that are known when it is sent, not when the endpoint "
          "turned cold")
{
    std::deque<warm_up> all;
    for (int n = 0; n < 65; ++n)
    {
        auto& it = all.emplace_back(warm_up_options{}, instance(n));
        it.set_limit(pool, limit);
        it.told(start, endpoint(1), pool, limit.cold_time); // while it knows no other instance
        for (int other = 0; other < 65; ++other)
            it.instances().put(instance(other), {});
        it.settle();
    }
    std::size_t sent = 0;
    for (auto now = start; now < start + core::seconds{1}; now += milliseconds{1})
        for (auto& it : all)
            if (it.may_send(now, endpoint(1)))
            {
                it.sent(now, endpoint(1));
                ++sent;
            }
    CHECK(sent <= max_accepted);
}

TEST_CASE("a suspicion outlasts entries that were written before it")
{
    warm_up it{{}, instance(0)};
    it.set_limit(pool, limit);
    it.settle();
    CHECK(it.suspect(start, endpoint(1), pool, cold_reason::readmitted));
    CHECK_FALSE(it.told(start, endpoint(1), pool, milliseconds{0}));
    CHECK(it.is_cold(start + milliseconds{2999}, endpoint(1)));
    CHECK_FALSE(it.is_cold(start + milliseconds{3000}, endpoint(1)));
    CHECK(it.told(start, endpoint(2), pool, milliseconds{3000}));
    it.told(start + milliseconds{10}, endpoint(2), pool, milliseconds{0});
    CHECK_FALSE(it.is_cold(start + milliseconds{10}, endpoint(2)));
}

TEST_CASE("one that could not be reached counts as cold until news of a start would have come")
{
    warm_up it{{}, instance(0)};
    it.set_limit(pool, limit);
    it.settle();
    it.suspect(start, endpoint(1), pool, cold_reason::unreachable);
    CHECK(it.is_cold(start + milliseconds{5400}, endpoint(1)));
    CHECK_FALSE(it.is_cold(start + milliseconds{5500}, endpoint(1)));
    it.expire(start + milliseconds{5500});
    CHECK(it.cold_count(start + milliseconds{5500}) == 0);
}
