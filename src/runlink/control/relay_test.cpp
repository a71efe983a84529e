// Relays: which instances follow the store, which relays followers ask, and the age of proofs.

#include <catch2/catch.hpp>

#include "relayed_fixture.hpp"

using namespace runlink;
using namespace runlink::control;

TEST_CASE("one instance of each failure domain follows the store, the others ask it")
{
    relayed f{{"n1", "n2", "n3", "n4", "n5"}};
    CHECK(f.direct().empty());
    f.advance(2100);
    CHECK(f.direct().size() == 1);
    // The age reported by the relay counts from the time of the request.
    CHECK(f.follower().proven <= f.now - core::milliseconds{100});
}

TEST_CASE("a relay sends each change to its followers at once, and only once")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    f.change("servers/x", 11);
    CHECK(f.follower().told == std::vector<std::string>{"servers/x"});
    f.advance(2000);
    CHECK(f.follower().told.size() == 1);
    CHECK(f.follower().view.store_revision == 11);
}

TEST_CASE("a large value is asked of the relay, and there is no proof before it arrives")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
        f.members.at(name).view.configuration_version = 11;
    f.change("conf", 11, std::string(relay_options{}.history.max_value_bytes + 1, 'x'));
    CHECK(follower.told == std::vector<std::string>{"fetch conf from " + f.direct().at(0)});
    follower.proven.reset();
    f.advance(400);
    CHECK_FALSE(follower.proven);
}

TEST_CASE("if the relay is gone, its stand-by follows the store and answers the followers")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    const auto relay = f.direct().at(0);
    f.members.at(relay).silent = true;
    f.advance(4000);
    CHECK(f.direct().size() == 2); // the silent relay still follows the store
    CHECK(f.follower().proven >= f.now - core::milliseconds{1000});
}

TEST_CASE("if no relay answers, the store itself is asked until a relay answers again")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    for (auto& [name, it] : f.members)
        it.silent = true;
    f.advance(1500);
    CHECK(f.direct().size() == 4);
    for (auto& [name, it] : f.members)
        it.silent = false;
    f.advance(6000);
    CHECK(f.direct().size() == 1);
}

TEST_CASE("followers use proofs of another failure domain if their own relays have lost the store")
{
    relayed f{{"n1", "n2", "n3", "s1", "s2", "s3"}};
    f.advance(3000);
    REQUIRE(f.direct().size() == 2);
    f.lose_store({"n1", "n2"});
    f.members.at("n3").proven.reset();
    f.advance(2000);
    CHECK(f.members.at("n3").proven);
    CHECK(f.members.at("n3").probes == 0);
}

TEST_CASE("during an outage the store is probed with backoff, and used again when it is back")
{
    relayed f{{"n1", "n2", "n3", "n4", "s1", "s2"}};
    f.advance(3000);
    f.lose_store({"n1", "n2", "n3", "n4", "s1", "s2"});
    f.advance(9000);
    int probes = 0;
    for (const auto& [name, it] : f.members)
        probes += it.probes;
    CHECK(probes >= 4);
    CHECK(probes <= 4 * 4);
    CHECK(f.direct().size() == 2);
    for (auto& [name, it] : f.members)
    {
        it.has_store = true;
        it.view.proof_age = core::milliseconds{100};
        it.proven.reset();
    }
    f.advance(5000);
    for (const auto& [name, it] : f.members)
        CHECK((it.direct || it.proven));
}

TEST_CASE("an instance that reaches the store while no relay does follows it directly")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    f.lose_store({"n1", "n2", "n3"});
    f.advance(1500);
    CHECK(f.members.at("n4").direct);
}

TEST_CASE("the instance with the fastest link is the relay of its failure domain")
{
    relayed f{{"n1", "n2", "n9", "s1", "s2", "s9"}};
    f.advance(3000);
    CHECK(f.direct() == std::vector<std::string>{"n9", "s9"});
}

TEST_CASE("a configuration that a relay proves but doesn't send is read from the store")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    for (const auto& name : f.direct())
        f.members.at(name).view.configuration_version = 12;
    auto& follower = f.follower();
    follower.proven.reset();
    f.advance(2000);
    CHECK_FALSE(follower.proven);
    CHECK(follower.told.at(0) == "fetch ");
}

TEST_CASE("a follower lists the store again if the relay's history doesn't cover its revision")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
    {
        f.members.at(name).view.store_revision = 50;
        f.members.at(name).logic->remember_all(f.now, {}, 50);
    }
    f.advance(1000);
    REQUIRE_FALSE(follower.told.empty());
    CHECK(follower.told.front() == "list");
    CHECK_FALSE(follower.direct); // after the list it asks the relay again
}

TEST_CASE("changes too large for one datagram arrive in several, in order and without gaps")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
    {
        auto& it = f.members.at(name);
        for (std::uint64_t n = 11; n <= 70; ++n)
            it.logic->remember({{"servers/" + std::to_string(n), std::string(1000, 'v'), n}, false});
        it.view.store_revision = 70;
        it.logic->publish(f.now, 70);
    }
    f.advance(20);
    REQUIRE(follower.told.size() == 60);
    CHECK(follower.told.front() == "servers/11");
    CHECK(follower.told.back() == "servers/70");
    CHECK(follower.view.store_revision == 70);
}

TEST_CASE("with few instances, all of them follow the store")
{
    relayed f{{"n1", "n2"}};
    f.advance(3000);
    CHECK(f.direct().size() == 2);
}

TEST_CASE("a follower notices a lost relay within 85 % of the time limit for changes")
{
    for (const auto apply : {core::milliseconds{2000}, core::milliseconds{3000}})
    {
        const auto it = relay_options::within(apply);
        CHECK(it.max_proof_age + it.ask_interval + 2 * it.answer_timeout <= apply * 85 / 100);
        CHECK(it.proof_interval() < it.max_proof_age);
        // Changes may be collected twice, at the relay and on the way; the delay remains a small part of the
        // limit.
        CHECK(it.gather_delay * 4 <= apply);
        CHECK(it.gather_delay >= core::milliseconds{200});
    }
}

TEST_CASE("only the latest change of a key is kept for followers")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
    {
        auto& it = f.members.at(name);
        for (std::uint64_t n = 11; n <= 13; ++n)
            it.logic->remember({{"conf", std::to_string(n), n}, false});
        it.view.store_revision = 13;
    }
    f.advance(1000);
    CHECK(follower.told == std::vector<std::string>{"conf"});
    CHECK(follower.view.store_revision == 13);
}
