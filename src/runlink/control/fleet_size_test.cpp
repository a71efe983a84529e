// Units that keep state on all instances and endpoints, at the size of a large deployment.

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include "relayed_fixture.hpp"
#include "runlink/control/fleet_join.hpp"
#include "runlink/routing/endpoint_directory.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

constexpr int endpoint_count = 10'000;

/// Names of instances in five failure domains; one in a hundred has a fast link.
std::vector<std::string> instance_names(int n)
{
    std::vector<std::string> out;
    for (int i = 0; i < n; ++i)
        out.push_back(std::string{"abcde"[i % 5]} + std::to_string(i / 5) + (i / 5 % 100 == 9 ? "9" : "0"));
    return out;
}

std::vector<kv_item> endpoint_items()
{
    std::vector<kv_item> out;
    for (int n = 0; n < endpoint_count; ++n)
        out.push_back({"servers/e" + std::to_string(n), "{}", static_cast<std::uint64_t>(n + 1)});
    return out;
}

} // namespace

TEST_CASE("one instance of each failure domain follows the store, and a change reaches all others at once")
{
    for (const int n : {250, 1000})
    {
        INFO(n << " instances");
        relayed f{instance_names(n)};
        f.advance(2000);
        constexpr std::size_t domains = 5;
        CHECK(f.direct().size() == domains);
        f.answers.clear();
        f.change("servers/e1", 11);
        // One message, encoded once, for all followers of a relay.
        CHECK(f.answers.size() == domains);
        for (const auto& [name, it] : f.members)
            CHECK(it.view.store_revision == 11);
        // No follower is left without a recent proof.
        f.advance(1000);
        for (const auto& [name, it] : f.members)
            if (!it.direct)
                CHECK(f.now - *it.proven < relay_options{}.max_proof_age + core::milliseconds{1000});
    }
}

TEST_CASE("when a relay of a large failure domain is gone, one other instance takes its place")
{
    relayed f{instance_names(1000)};
    f.advance(2000);
    const auto before = f.direct();
    const auto lost = before.front();
    f.pause(lost);
    f.members.at(lost).silent = true;
    for (auto& it : f.all)
        it->remove_peer(instance_id{lost});
    f.advance(2000);
    CHECK(f.direct().size() == before.size() + 1); // the one that is gone no longer reports a change
    std::size_t probes = 0;
    for (const auto& [name, it] : f.members)
        probes += static_cast<std::size_t>(it.probes);
    CHECK(probes == 0); // no follower turns to the store
}

TEST_CASE("changes stay known when a share of all endpoints is removed within seconds")
{
    change_history it;
    it.reset(endpoint_items(), endpoint_count);
    auto revision = std::uint64_t{endpoint_count};
    constexpr int removed = endpoint_count * 45 / 100;
    for (int n = 0; n < removed; ++n)
        it.remember({{"servers/e" + std::to_string(n), {}, ++revision}, true});
    CHECK(it.covers(endpoint_count));
    // Twice as many as are left: the oldest are forgotten.
    for (int n = removed; n < endpoint_count * 9 / 10; ++n)
        it.remember({{"servers/e" + std::to_string(n), {}, ++revision}, true});
    CHECK_FALSE(it.covers(endpoint_count));
    CHECK(it.covers(revision));
}

TEST_CASE("late updates of earlier incarnations are ignored after a share of all endpoints was replaced")
{
    routing::endpoint_directory it;
    const auto entry = [](int n, std::uint64_t incarnation)
    {
        routing::endpoint_entry out;
        out.name = core::endpoint_name{"e" + std::to_string(n)};
        out.incarnation = core::endpoint_incarnation{incarnation};
        out.id = routing::endpoint_id_of(out.name, out.incarnation);
        out.service = core::service_id{"pool"};
        return out;
    };
    for (int n = 0; n < endpoint_count; ++n)
        it.put(entry(n, 2));
    constexpr int removed = endpoint_count * 45 / 100;
    const core::time_point now{core::seconds{100}};
    for (int n = 0; n < removed; ++n)
        it.remove(now, entry(n, 2).name);
    it.forget_vanished(now);
    CHECK(it.put(entry(1, 1)) == routing::endpoint_directory::change::outdated);
    CHECK(it.size() == endpoint_count - removed);
}

TEST_CASE("a seed serves the view of a large fleet to many joining instances within its link")
{
    constexpr std::uint32_t seed_mbps = 200;
    constexpr int joiners = 330; // a third of the instances, as there are three seeds
    core::time_point now{core::seconds{100}};
    const instance_id seed_id{"seed"};
    std::map<instance_id, fleet_join*> by_id;
    std::uint64_t bytes = 0;
    std::uint64_t most_bytes_in_a_second = 0;
    std::uint64_t bytes_of_second = 0;
    relay_options options;
    relay_hooks hooks;
    hooks.ask = [](const auto&, const auto&) {};
    hooks.view = [](core::time_point) { return store_view{endpoint_count, 1, core::milliseconds{1}}; };
    hooks.reply = [&](const std::vector<instance_id>& to, const sync_reply& it)
    {
        std::uint64_t size = 0;
        for (const auto& e : it.events)
            size += e.item.key.size() + e.item.value.size();
        const auto sent = size / options.compression_ratio * to.size();
        bytes += sent;
        bytes_of_second += sent;
        for (const auto& id : to)
            by_id.at(id)->on_reply(now, it);
    };
    relay seed{options, seed_id, core::failure_domain_id{"a"}, seed_mbps, hooks};
    auto items = endpoint_items();
    for (auto& it : items)
        it.value = std::string(250, 'x');
    seed.remember_all(now, items, endpoint_count);
    std::size_t done = 0;
    std::size_t lists = 0;
    std::vector<std::unique_ptr<fleet_join>> all;
    for (int n = 0; n < joiners; ++n)
    {
        const instance_id id{"j" + std::to_string(n)};
        join_hooks join;
        join.ask = [&, id](const instance_id&, sync_request it)
        {
            it.sender.id = id;
            it.sender.failure_domain = core::failure_domain_id{"b"};
            seed.on_request(now, it);
        };
        join.list = [&] { ++lists; };
        join.take_view = [&](core::time_point, const joined_view& it)
        { done += it.events.size() == endpoint_count ? 1 : 0; };
        join.set_initial_source = [](auto, const auto&) {};
        join.settle = [](auto) {};
        all.push_back(std::make_unique<fleet_join>(join_options{}, id, std::vector{seed_id}, join));
        by_id[id] = all.back().get();
    }
    for (auto& it : all)
        it->start(now);
    int ms = 0;
    constexpr int max_ms = 18'000; // within which a fleet has to serve again after all were killed
    for (; ms < max_ms && done < joiners; ++ms)
    {
        now += core::milliseconds{1};
        seed.tick(now);
        for (auto& it : all)
            it->tick(now);
        if (ms % 1000 == 999)
            most_bytes_in_a_second = std::max(most_bytes_in_a_second, std::exchange(bytes_of_second, 0));
    }
    INFO(ms << " ms, " << bytes << " bytes");
    CHECK(done == joiners);
    CHECK(lists == 0); // no joining instance reads the store
    CHECK(most_bytes_in_a_second <= seed_mbps * 125'000);
    CHECK(ms < max_ms / 2);
}
