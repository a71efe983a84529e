#include <catch2/catch.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include "runlink/duties/scale_orders.hpp"

using namespace runlink;
using namespace runlink::duties;

namespace
{

const core::service_id pool{"pool"};
const failure_domain_id north{"north"};
const failure_domain_id south{"south"};

scaling_limits limits_with_preemptible()
{
    scaling_limits out;
    out.min_per_domain = 1;
    out.max_per_domain = 46;
    out.startup = milliseconds{4000};
    out.preemptible_price = 0.15;
    return out;
}

/// A platform that carries out orders at once; its endpoints are ready after the start time.
struct orders_under_test
{
    core::manual_clock clock;
    scale_options options;
    bool holds = true;
    bool platform_answers = true;
    bool has_preemptible = true;
    service_state service;
    std::map<failure_domain_id, std::uint32_t> regular{{north, 20}, {south, 20}};
    std::map<failure_domain_id, std::uint32_t> preemptible;
    /// Time of the end of the start, and the number then, by failure domain and kind.
    std::map<std::pair<failure_domain_id, bool>, std::pair<time_point, std::uint32_t>> starting;
    std::vector<scale_call> calls;
    std::uint32_t least_ready = 40;
    std::uint64_t revision = 1;
    order_record stored;
    scale_orders it{options,
                    {[this](time_point) { return holds; }, [this] { return services(); },
                     [this](const order_record& e, const std::function<void(write_result)>& done)
                     {
                         stored = e;
                         done({write_result::outcome::committed, ++revision});
                     },
                     [this](const scale_call& e, const std::function<void(scale_result)>& done)
                     {
                         calls.push_back(e);
                         done(carry_out(e));
                     },
                     clock.source()}};

    orders_under_test()
    {
        service.limits = limits_with_preemptible();
        service.slots = 10;
        service.warm_up = milliseconds{3000};
        it.on_listed();
    }

    scale_result carry_out(const scale_call& e)
    {
        if (!platform_answers)
            return {call_outcome::unanswered};
        if (e.is_preemptible && !has_preemptible)
            return {call_outcome::fenced, true};
        auto& serving = (e.is_preemptible ? preemptible : regular)[e.subject.domain];
        if (e.desired > serving)
            starting.try_emplace({e.subject.domain, e.is_preemptible}, clock.now() + service.limits.startup,
                                 e.desired);
        else
            serving = e.desired;
        return {call_outcome::accepted};
    }

    /// Endpoints that were ordered serve once they have started.
    void finish_starts()
    {
        for (auto it = starting.begin(); it != starting.end();)
            if (clock.now() < it->second.first)
                ++it;
            else
            {
                auto& serving = (it->first.second ? preemptible : regular)[it->first.first];
                serving = std::max(serving, it->second.second);
                it = starting.erase(it);
            }
    }

    std::map<core::service_id, service_state> services()
    {
        auto out = service;
        std::uint32_t all = 0;
        for (const auto& domain : {north, south})
        {
            out.ready[domain] = regular[domain] + preemptible[domain];
            all += out.ready[domain];
        }
        least_ready = std::min(least_ready, all);
        return {{pool, out}};
    }

    void advance(milliseconds by)
    {
        for (milliseconds n{0}; n < by; n += milliseconds{250})
        {
            clock.advance(milliseconds{250});
            finish_starts();
            it.tick(clock.now());
        }
    }
    std::uint32_t count(const std::map<failure_domain_id, std::uint32_t>& of) const
    {
        std::uint32_t out = 0;
        for (const auto& [domain, n] : of)
            out += n;
        return out;
    }
};

} // namespace

TEST_CASE("regular endpoints are exchanged for preemptible ones without a loss of capacity")
{
    orders_under_test by;
    by.it.on_acquired(by.clock.now());
    by.advance(milliseconds{30'000});
    CHECK(by.count(by.regular) == 2);
    CHECK(by.count(by.preemptible) == 38);
    CHECK(by.least_ready >= 40);
}

TEST_CASE("no endpoints are taken away during a roll-out or an evacuation")
{
    orders_under_test by;
    by.service.keeps_capacity = true;
    by.service.running = 1;
    by.advance(milliseconds{40'000});
    CHECK(by.count(by.regular) == 40);
}

TEST_CASE("endpoints are added at once when the load needs them, and taken away slowly when it falls")
{
    orders_under_test by;
    by.service.limits.preemptible_price.reset();
    by.service.running = 240; // needs 60 endpoints of 10 slots at two fifths
    by.advance(milliseconds{15'000});
    CHECK(by.count(by.regular) == 60);
    by.service.running = 80;
    by.advance(milliseconds{11'000});
    CHECK(by.count(by.regular) == 60); // the peak is remembered
    by.advance(milliseconds{15'000});
    CHECK(by.count(by.regular) < 60);
    CHECK(by.count(by.regular) > 20);
    by.advance(milliseconds{120'000});
    CHECK(by.count(by.regular) <= 26);
    CHECK(by.count(by.regular) >= 20);
}

TEST_CASE("limits per failure domain hold while kinds are exchanged")
{
    orders_under_test by;
    by.service.limits.max_per_domain = 24;
    for (int n = 0; n < 240; ++n)
    {
        by.advance(milliseconds{250});
        for (const auto& domain : {north, south})
            CHECK(by.regular[domain] + by.preemptible[domain] <= 24);
    }
}

TEST_CASE(
    "when preemptible endpoints are reclaimed and denied, regular ones replace them if the load needs them")
{
    orders_under_test by;
    by.service.running = 160;
    by.advance(milliseconds{30'000});
    REQUIRE(by.count(by.preemptible) == 38);
    by.preemptible[north] = 0;
    by.has_preemptible = false;
    by.advance(milliseconds{20'000});
    CHECK(by.regular[north] == 20);
    by.has_preemptible = true;
    by.advance(milliseconds{60'000});
    CHECK(by.regular[north] == 1);
    CHECK(by.preemptible[north] == 19);
}

TEST_CASE("an order without an answer is repeated, and once more after it may have been carried out late")
{
    orders_under_test by;
    by.platform_answers = false;
    by.advance(milliseconds{6000});
    REQUIRE_FALSE(by.calls.empty());
    const auto first = by.calls.front();
    by.platform_answers = true;
    by.advance(milliseconds{6000});
    CHECK(by.preemptible[first.subject.domain] == first.desired);
    by.preemptible[first.subject.domain] = 3; // an earlier order was carried out late
    by.advance(by.options.late_call_time + by.service.limits.startup);
    CHECK(by.preemptible[first.subject.domain] == first.desired);
}

TEST_CASE("a new holder goes on from the stored orders")
{
    orders_under_test by;
    by.regular = {{north, 1}, {south, 1}};
    by.preemptible = {{north, 19}, {south, 19}};
    by.it.on_record({{{{pool, north}, {20, 1, 19}}, {{pool, south}, {20, 1, 19}}}, 5});
    by.it.on_acquired(by.clock.now());
    by.advance(milliseconds{20'000});
    CHECK(by.count(by.regular) == 2);
    CHECK(by.count(by.preemptible) == 38);
}

TEST_CASE("without the lease nothing is ordered")
{
    orders_under_test by;
    by.holds = false;
    by.advance(milliseconds{20'000});
    CHECK(by.calls.empty());
}

TEST_CASE("endpoints that appear one after the other at the start are all kept")
{
    orders_under_test by;
    by.service.running = 0; // traffic has not begun
    const auto all = by.regular;
    by.regular = {{north, 2}, {south, 1}};
    by.least_ready = 0;
    by.advance(milliseconds{1500});
    by.regular = all;
    by.advance(milliseconds{1500});
    CHECK(by.calls.empty());
    by.advance(milliseconds{28'000});
    CHECK(by.count(by.regular) == 2);
    CHECK(by.count(by.preemptible) == 38);
}

TEST_CASE("endpoints that a roll-out leaves are taken away after it, once the ordered ones serve again")
{
    orders_under_test by;
    constexpr std::uint32_t load = 100;
    constexpr std::uint32_t needed = 25; // of 10 slots at two fifths
    const std::map<failure_domain_id, std::uint32_t> all{{north, 22}, {south, 22}};
    by.regular = all;
    by.advance(milliseconds{30'000});
    REQUIRE(by.count(by.regular) == 4);
    by.service.keeps_capacity = true;
    by.regular = all; // started by the roll-out
    by.service.running = load;
    by.advance(milliseconds{20'000});
    CHECK(by.regular == all);
    by.service.keeps_capacity = false;
    by.preemptible.clear(); // the old version ends with the roll-out
    by.least_ready = 44;
    by.advance(milliseconds{6000});
    CHECK(by.least_ready >= 44); // though the load needs fewer, and one regular endpoint in twenty of them
    by.advance(milliseconds{14'000});
    CHECK(by.count(by.regular) <= 4);
    CHECK(by.count(by.regular) + by.count(by.preemptible) >= needed);
}
