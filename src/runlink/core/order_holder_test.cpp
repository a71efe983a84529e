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

/// Order holders that share a store and a manual clock, and endpoints that check fencing numbers if
/// `checks_fencing` is set.
struct fixture
{
    manual_clock clock;
    fake_store store;
    std::multimap<time_point, std::pair<int, std::function<void()>>> events;
    std::vector<std::unique_ptr<order_holder>> holders;
    std::set<int> paused;
    observed_versions loaded{{e1, {r1}}, {e2, {r1}}};
    std::vector<std::pair<time_point, endpoint_order>> accepted;
    std::vector<endpoint_order> refused;
    fencing_number newest_fencing{};
    bool checks_fencing = true;
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
            // An order in transit arrives even if its sender is paused meanwhile.
            events.emplace(clock.now() + order_delay, std::pair{-1, [this, it] { arrive(it); }});
            schedule(order_delay + milliseconds{1}, [handler] { handler(true); });
        };
        holders.push_back(std::make_unique<order_holder>(pool_id{"p"}, instance_id{"i" + std::to_string(n)},
                                                         order_options{}, hooks));
        holders.back()->set_desired({{e1, {r2}}, {e2, {r2}}});
    }

    void arrive(const endpoint_order& it)
    {
        if (checks_fencing && it.fencing < newest_fencing)
            return refused.push_back(it);
        newest_fencing = std::max(newest_fencing, it.fencing);
        accepted.emplace_back(clock.now(), it);
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
                if (paused.contains(owner))
                    events.emplace(clock.now() + seconds{1}, std::pair{owner, std::move(action)});
                else
                    action();
            }
            for (std::size_t n = 0; n < holders.size(); ++n)
                if (!paused.contains(static_cast<int>(n)))
                    holders[n]->tick(clock.now());
        }
    }

    int holders_that_may_order() const
    {
        return static_cast<int>(std::count_if(holders.begin(), holders.end(),
                                              [&](const auto& it) { return it->may_order(clock.now()); }));
    }
};

} // namespace

TEST_CASE_METHOD(fixture,
                 "versions are loaded first, at the weight store's rate, then unwanted ones are unloaded")
{
    add();
    advance(seconds{20});
    CHECK(loaded == observed_versions{{e1, {r2}}, {e2, {r2}}});
    REQUIRE(accepted.size() == 4);
    CHECK(accepted[0].second.load);
    CHECK(accepted[1].second.load);
    CHECK(accepted[1].first - accepted[0].first >= milliseconds{1900});
    advance(seconds{20});
    CHECK(accepted.size() == 4); // no orders once the desired state is reached
}

TEST_CASE_METHOD(fixture, "the last copy of a wanted version is never unloaded")
{
    loaded = {{e1, {r2}}, {e2, {}}};
    add();
    holders[0]->set_desired({{e1, {}}, {e2, {r2}}});
    advance(seconds{20});
    CHECK(loaded == observed_versions{{e1, {}}, {e2, {r2}}});
    REQUIRE(accepted.size() == 2);
    CHECK(accepted[0].second == endpoint_order{e2, r2, true, fencing_number{1}});
}

TEST_CASE_METHOD(fixture,
                 "one of several holders sends orders; if it dies, another continues the unfinished roll-out")
{
    for (int n = 0; n < 3; ++n)
        add();
    advance(seconds{1});
    CHECK(holders_that_may_order() == 1);
    paused.insert(0);
    paused.insert(1);
    paused.insert(2);
    const auto accepted_before = accepted.size();
    CHECK(accepted_before < 4);
    const int first = holders[0]->fencing().value() > 0 ? 0 : holders[1]->fencing().value() > 0 ? 1 : 2;
    for (int n = 0; n < 3; ++n)
        if (n != first)
            paused.erase(n);
    advance(seconds{60});
    CHECK(loaded == observed_versions{{e1, {r2}}, {e2, {r2}}});
    CHECK(accepted.back().second.fencing == fencing_number{2});
}

TEST_CASE_METHOD(fixture,
                 "a holder paused beyond its lease sends no order, even if endpoints don't check fencing")
{
    for (const bool with_check : {true, false})
    {
        checks_fencing = with_check;
        holders.clear();
        events.clear();
        paused.clear();
        accepted.clear();
        store = fake_store{};
        loaded = {{e1, {r1}}, {e2, {r1}}};
        newest_fencing = fencing_number{};
        add();
        add();
        advance(milliseconds{500});
        const int former = holders[0]->fencing().value() > 0 ? 0 : 1;
        REQUIRE(holders[static_cast<std::size_t>(former)]->fencing() == fencing_number{1});
        paused.insert(former);
        advance(seconds{30});
        const auto before = accepted.size();
        paused.erase(former);
        advance(seconds{30});
        for (std::size_t n = before; n < accepted.size(); ++n)
            CHECK(accepted[n].second.fencing == fencing_number{2});
        CHECK(holders_that_may_order() == 1);
        CHECK(refused.empty());
    }
}

TEST_CASE_METHOD(fixture, "no two holders may send orders at once, whatever faults the store has")
{
    checks_fencing = false;
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
            paused.insert(static_cast<int>(random() % 3));
        if (what == 3)
            paused.clear();
        advance(milliseconds{10 * (random() % 100)});
        int active = 0;
        for (int k = 0; k < 3; ++k)
            active +=
                !paused.contains(k) && holders[static_cast<std::size_t>(k)]->may_order(clock.now()) ? 1 : 0;
        REQUIRE(active <= 1);
    }
    store.down = false;
    paused.clear();
    advance(seconds{60});
    CHECK(loaded == observed_versions{{e1, {r2}}, {e2, {r2}}});
}
