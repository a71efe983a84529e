// Instances that follow the store by a relay, when the store returns from an older copy.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "support/store_fleet.hpp"

using namespace runlink;
using namespace runlink::tests;

namespace
{

constexpr core::milliseconds apply_time{2000};

/// A fleet with one relay, which has settled.
struct relayed_copy
{
    store_fleet fleet{{"n1", "n2", "n3", "n9"}};

    relayed_copy()
    {
        fleet.store.put("conf", "1");
        fleet.store.put("servers/a", "ready");
        fleet.store.put("servers/b", "ready");
        fleet.advance(core::milliseconds{4000});
    }

    /// Writes a few changes, and replaces the store's contents by those before these changes.
    void return_from_copy()
    {
        const auto copy = fleet.store.take_snapshot();
        for (int n = 0; n < 5; ++n)
            fleet.store.put("servers/b", "ready " + std::to_string(n));
        fleet.advance(core::milliseconds{1000});
        fleet.store.restore(copy);
        fleet.advance(core::milliseconds{100});
    }

    /// An endpoint leaves, and further changes pass the revision that the store had before.
    void leave()
    {
        fleet.store.put("servers/a", "draining");
        for (int n = 0; n < 8; ++n)
            fleet.store.put("servers/b", "again " + std::to_string(n));
    }

    void check_all_know()
    {
        for (const auto& [name, it] : fleet.all())
        {
            INFO(name);
            CHECK(it->value("servers/a") == "draining");
        }
    }
};

} // namespace

TEST_CASE("followers hear that an endpoint leaves by a change whose revision is below their own")
{
    relayed_copy f;
    f.return_from_copy();
    f.fleet.store.turned_away = {"n1", "n2", "n3"}; // they have the relay only
    f.leave();
    f.fleet.advance(apply_time);
    f.check_all_know();
}

TEST_CASE("after a return from a copy the relay lists the store, its followers don't")
{
    relayed_copy f;
    const auto before = f.fleet.store.lists();
    f.return_from_copy();
    f.leave();
    f.fleet.advance(apply_time);
    f.check_all_know();
    CHECK(f.fleet.store.lists() - before == 1);
}
