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

TEST_CASE("an item that the copy lacks is kept until its writer had time to write it again")
{
    relayed_copy f;
    const auto copy = f.fleet.store.take_snapshot();
    f.fleet.store.put("evacuate/x", "");
    f.fleet.store.put("evacuate/y", "");
    f.fleet.advance(core::milliseconds{1000});
    f.fleet.store.restore(copy);
    f.fleet.advance(core::milliseconds{1500});
    f.fleet.store.put("evacuate/y", "");
    f.fleet.advance(core::milliseconds{300});
    for (const auto& [name, it] : f.fleet.all())
    {
        INFO(name);
        CHECK(it->value("evacuate/x"));
    }
    f.fleet.advance(apply_time);
    for (const auto& [name, it] : f.fleet.all())
    {
        INFO(name);
        CHECK_FALSE(it->value("evacuate/x"));
        CHECK(it->value("evacuate/y"));
    }
}

TEST_CASE("a follower that had more changes than its relay before the return lists the store itself")
{
    relayed_copy f;
    const auto copy = f.fleet.store.take_snapshot();
    f.fleet.cut_off = {"n1"};
    f.fleet.at("n1").follower().apply(f.fleet.now(), {{{"servers/c", "ready", {core::store_era{1}, 50}}}},
                                      {core::store_era{1}, 50});
    f.fleet.store.restore(copy);
    f.fleet.advance(core::milliseconds{300});
    f.fleet.cut_off = {};
    CHECK(f.fleet.at("n1").value("servers/c"));
    f.fleet.advance(core::milliseconds{4000});
    CHECK_FALSE(f.fleet.at("n1").value("servers/c"));
    CHECK(f.fleet.at("n1").values() == f.fleet.at("n9").values());
}

TEST_CASE("two returns within a second, one of which lost nothing, leave all instances with the same view")
{
    relayed_copy f;
    f.return_from_copy();
    f.fleet.advance(core::milliseconds{300});
    f.fleet.store.restore(f.fleet.store.take_snapshot());
    f.fleet.advance(core::milliseconds{50});
    f.leave();
    f.fleet.advance(apply_time);
    f.check_all_know();
    for (const auto& [name, it] : f.fleet.all())
        CHECK(it->follower().era() == f.fleet.store.era());
}

TEST_CASE("in a large fleet only the relays list a store that has returned from a copy")
{
    const int instances_per_domain = GENERATE(50, 200);
    std::vector<std::string> names;
    constexpr int domains = 5;
    for (int n = 0; n < domains * instances_per_domain; ++n)
        names.push_back(std::string{"abcde"[n % domains]} + std::to_string(n / domains) +
                        (n < domains ? "9" : "0"));
    store_fleet fleet{names};
    fleet.store.put("conf", "1");
    for (int n = 0; n < 100; ++n)
        fleet.store.put("servers/" + std::to_string(n), "ready");
    fleet.advance(core::milliseconds{3000});
    const auto copy = fleet.store.take_snapshot();
    for (int n = 0; n < 10; ++n)
        fleet.store.put("servers/" + std::to_string(n), "ready again");
    fleet.advance(core::milliseconds{500});
    const auto before = fleet.store.lists();
    fleet.store.restore(copy);
    fleet.advance(core::milliseconds{500});
    fleet.store.put("servers/1", "draining");
    fleet.advance(apply_time);
    std::size_t told = 0;
    for (const auto& [name, it] : fleet.all())
        told += it->value("servers/1") == "draining" ? 1 : 0;
    CHECK(told == names.size());
    CHECK(fleet.store.lists() - before == domains);
}

TEST_CASE("an older state of a key in the copy takes effect only if the key is not written again")
{
    relayed_copy f;
    f.fleet.store.put("other", "1");
    f.fleet.store.put("last", "");
    f.fleet.advance(core::milliseconds{500});
    const auto copy = f.fleet.store.take_snapshot();
    f.fleet.store.put("servers/a", "draining");
    f.fleet.store.remove("servers/b");
    f.fleet.store.put("other", "2");
    f.fleet.advance(core::milliseconds{1000});
    f.fleet.store.restore(copy);
    const auto check_all = [&](const char* a, std::optional<std::string> b, const char* c)
    {
        for (const auto& [name, it] : f.fleet.all())
        {
            INFO(name);
            CHECK(it->value("servers/a") == a);
            CHECK(it->value("servers/b") == b);
            CHECK(it->value("other") == c);
        }
    };
    f.fleet.advance(core::milliseconds{700});
    check_all("draining", std::nullopt, "2");
    f.fleet.store.put("servers/a", "draining");
    f.fleet.advance(core::milliseconds{700});
    check_all("draining", std::nullopt, "2");
    f.fleet.advance(core::milliseconds{2000});
    check_all("draining", std::nullopt, "1"); // the store's state, but for what had ended
}
