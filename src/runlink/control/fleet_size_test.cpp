// Units that keep state on all instances and endpoints, at the size of a large deployment.

#include <catch2/catch.hpp>

#include <set>

#include "relayed_fixture.hpp"
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
