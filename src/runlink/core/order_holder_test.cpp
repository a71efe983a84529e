#include <catch2/catch.hpp>

#include "runlink/core/clock.hpp"
#include "runlink/core/order_holder.hpp"
#include "support/fake_store.hpp"

using namespace runlink::core;
using runlink::tests::fake_store;

namespace
{

const version_ref r1{model_id{"m"}, version_id{"r1"}};
const version_ref r2{model_id{"m"}, version_id{"r2"}};
const endpoint_id e1{"e1"};
const endpoint_id e2{"e2"};

/// Holders on one store and one clock, and endpoints that may check fencing numbers.
struct fixture
{
    manual_clock clock;
    fake_store store;
    std::multimap<time_point, std::pair<int, std::function<void()>>> events;
    std::vector<std::unique_ptr<order_holder>> holders;
    std::set<int> frozen;
    observed_versions loaded{{e1, {r1}}, {e2, {r1}}};
    std::vector<std::pair<time_point, endpoint_order>> taken;
    std::vector<endpoint_order> refused;
    fencing_number newest{};
    bool checks = true;
    duration order_delay = milliseconds{100};

    void add()
    {
        const int n = static_cast<int>(holders.size());
        order_hooks hooks;
        const auto schedule = [this, n](duration after, std::function<void()> action) {
            events.emplace(clock.now() + after, std::pair{n, std::move(action)});
        };
        hooks.store = store.port(schedule);
        hooks.observe = [this, schedule](const std::function<void(const observed_versions&)>& handler)
        { schedule(milliseconds{1}, [handler, it = loaded] { handler(it); }); };
        hooks.send = [this, schedule](const endpoint_order& it, const std::function<void(bool)>& handler)
        {
            // An order that is under way arrives, whatever becomes of its sender.
            events.emplace(clock.now() + order_delay, std::pair{-1, [this, it] { arrive(it); }});
            schedule(order_delay + milliseconds{1}, [handler] { handler(true); });
        };
        holders.push_back(std::make_unique<order_holder>(pool_id{"p"}, instance_id{"i" + std::to_string(n)},
                                                         order_options{}, hooks));
        holders.back()->desire({{e1, {r2}}, {e2, {r2}}});
    }

    void arrive(const endpoint_order& it)
    {
        if (checks && it.fencing < newest)
            return refused.push_back(it);
        newest = std::max(newest, it.fencing);
        taken.emplace_back(clock.now(), it);
        if (it.load)
            loaded[it.endpoint].insert(it.version);
        else
            loaded[it.endpoint].erase(it.version);
        REQUIRE((loaded[e1].contains(r1) || loaded[e2].contains(r1) || loaded[e1].contains(r2) ||
                 loaded[e2].contains(r2)));
    }

    void advance(duration it)
    {
        for (const auto end = clock.now() + it; clock.now() < end; clock.advance(milliseconds{10}))
        {
            while (!events.empty() && events.begin()->first <= clock.now())
            {
                auto [owner, action] = std::move(events.begin()->second);
                events.erase(events.begin());
                if (frozen.contains(owner))
                    events.emplace(clock.now() + seconds{1}, std::pair{owner, std::move(action)});
                else
                    action();
            }
            for (std::size_t n = 0; n < holders.size(); ++n)
                if (!frozen.contains(static_cast<int>(n)))
                    holders[n]->tick(clock.now());
        }
    }

    int ordering() const
    {
        return static_cast<int>(std::count_if(holders.begin(), holders.end(),
                                              [&](const auto& it) { return it->may_order(clock.now()); }));
    }
};

} // namespace

TEST_CASE_METHOD(fixture, "orders load first, within the weight store's rate, then unload what is not wanted")
{
    add();
    advance(seconds{20});
    CHECK(loaded == observed_versions{{e1, {r2}}, {e2, {r2}}});
    REQUIRE(taken.size() == 4);
    CHECK(taken[0].second.load);
    CHECK(taken[1].second.load);
    CHECK(taken[1].first - taken[0].first >= milliseconds{1900});
    advance(seconds{20});
    CHECK(taken.size() == 4); // what is as it should be gets no more orders
}

TEST_CASE_METHOD(fixture, "the last copy of a version that is wanted is never unloaded")
{
    loaded = {{e1, {r2}}, {e2, {}}};
    add();
    holders[0]->desire({{e1, {}}, {e2, {r2}}});
    advance(seconds{20});
    CHECK(loaded == observed_versions{{e1, {}}, {e2, {r2}}});
    REQUIRE(taken.size() == 2);
    CHECK(taken[0].second == endpoint_order{e2, r2, true, fencing_number{1}});
}

TEST_CASE_METHOD(fixture,
                 "one of several holders orders; another goes on with a half-done roll-out when it dies")
{
    for (int n = 0; n < 3; ++n)
        add();
    advance(seconds{1});
    CHECK(ordering() == 1);
    frozen.insert(0);
    frozen.insert(1);
    frozen.insert(2);
    const auto half = taken.size();
    CHECK(half < 4);
    const int first = holders[0]->fencing().value() > 0 ? 0 : holders[1]->fencing().value() > 0 ? 1 : 2;
    for (int n = 0; n < 3; ++n)
        if (n != first)
            frozen.erase(n);
    advance(seconds{60});
    CHECK(loaded == observed_versions{{e1, {r2}}, {e2, {r2}}});
    CHECK(taken.back().second.fencing == fencing_number{2});
}

TEST_CASE_METHOD(
    fixture, "a holder that was paused past its lease sends nothing, also to endpoints that check nothing")
{
    for (const bool with_check : {true, false})
    {
        checks = with_check;
        holders.clear();
        events.clear();
        frozen.clear();
        taken.clear();
        store = fake_store{};
        loaded = {{e1, {r1}}, {e2, {r1}}};
        newest = fencing_number{};
        add();
        add();
        advance(milliseconds{500});
        const int old = holders[0]->fencing().value() > 0 ? 0 : 1;
        REQUIRE(holders[static_cast<std::size_t>(old)]->fencing() == fencing_number{1});
        frozen.insert(old);
        advance(seconds{30});
        const auto before = taken.size();
        frozen.erase(old);
        advance(seconds{30});
        for (std::size_t n = before; n < taken.size(); ++n)
            CHECK(taken[n].second.fencing == fencing_number{2});
        CHECK(ordering() == 1);
        CHECK(refused.empty());
    }
}

TEST_CASE_METHOD(fixture, "never do two holders order at once, whatever the store does")
{
    checks = false;
    for (int n = 0; n < 3; ++n)
        add();
    std::mt19937_64 random{5};
    for (int n = 0; n < 2000; ++n)
    {
        const auto what = random() % 20;
        if (what == 0)
            store.down = !store.down;
        if (what == 1)
            store.lose_write_replies = 1;
        if (what == 2)
            frozen.insert(static_cast<int>(random() % 3));
        if (what == 3)
            frozen.clear();
        advance(milliseconds{10 * (random() % 100)});
        int active = 0;
        for (int k = 0; k < 3; ++k)
            active +=
                !frozen.contains(k) && holders[static_cast<std::size_t>(k)]->may_order(clock.now()) ? 1 : 0;
        REQUIRE(active <= 1);
    }
    store.down = false;
    frozen.clear();
    advance(seconds{60});
    CHECK(loaded == observed_versions{{e1, {r2}}, {e2, {r2}}});
}
