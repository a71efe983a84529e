// How relays and followers treat instances that start, are suspended, or are gone.

#include <catch2/catch.hpp>

#include "relayed_fixture.hpp"

using namespace runlink;
using namespace runlink::control;

TEST_CASE("a relay reports an instance that has stopped asking, but not after a short pause")
{
    relayed f{{"n1", "n2", "n3", "n9"}};
    f.advance(3000);
    REQUIRE(f.direct() == std::vector<std::string>{"n9"});
    auto& relay = f.members.at("n9");
    f.pause("n1");
    f.advance(10000);
    CHECK(relay.forgotten.empty());
    f.advance(13000);
    REQUIRE_FALSE(relay.forgotten.empty());
    for (const auto& it : relay.forgotten)
        CHECK(it == "n1");
}

TEST_CASE("followers report a relay that is gone, at different times")
{
    relayed f{{"n1", "n2", "n3", "n9"}};
    f.advance(3000);
    f.pause("n9");
    f.members.at("n9").silent = true;
    f.advance(18000);
    for (const auto& [name, it] : f.members)
        CHECK(it.forgotten.empty());
    f.advance(30000);
    std::size_t told = 0;
    for (const auto& [name, it] : f.members)
        for (const auto& id : it.forgotten)
        {
            CHECK(id == "n9");
            ++told;
        }
    CHECK(told > 0);
}

TEST_CASE("instances that follow the store themselves report to the first relay of their failure domain")
{
    relayed f{{"n1", "n9"}};
    f.advance(30000);
    CHECK(f.direct().size() == 2);
    CHECK(f.members.at("n9").forgotten.empty());
}

TEST_CASE("joining instances get the whole view in a common reply")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    const auto seed = f.direct().at(0);
    auto& logic = *f.members.at(seed).logic;
    logic.remember_all(f.now, {{"conf", "c", 3}, {"servers/a", "a", 9}}, 9);
    logic.remember({{"servers/b", "b", 10}, false});
    sync_request joining;
    joining.is_joining = true;
    joining.number = 1;
    f.answers.clear();
    for (const auto* name : {"n2", "n3"})
    {
        joining.sender.id = instance_id{name};
        logic.on_request(f.now, joining);
    }
    CHECK(f.answers.empty());
    f.advance(40);
    REQUIRE(f.answers.size() == 1); // one view for both
    CHECK(f.answers[0].since == 0);
    CHECK(f.answers[0].store_revision == 10);
    CHECK_FALSE(f.answers[0].history_gone);
    REQUIRE(f.answers[0].events.size() == 3);
    CHECK(f.answers[0].events[0].item.key == "conf");
}

TEST_CASE(
    "an instance without a view answers joining instances once it has one, and other requests not at all")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    auto& seed = f.members.at("n1");
    seed.view.store_revision = 0;
    f.answers.clear();
    sync_request question;
    question.sender.id = instance_id{"n2"};
    seed.logic->on_request(f.now, question);
    question.is_joining = true;
    question.number = 1;
    seed.logic->on_request(f.now, question);
    f.advance(100);
    CHECK(f.answers.empty());
    seed.view.store_revision = 9;
    seed.logic->remember_all(f.now, {{"conf", "c", 3}}, 9);
    f.advance(1);
    REQUIRE(f.answers.size() == 1);
    CHECK(f.answers[0].events.size() == 1);
}

TEST_CASE("until relays are chosen, all instances ask the initial source, which alone follows the store")
{
    relayed f{{"n1", "n2", "n3", "n9"}};
    for (auto& it : f.all)
        it->set_initial_source(f.now, instance_id{"n1"});
    f.advance(3000);
    CHECK(f.direct() == std::vector<std::string>{"n1"});
    CHECK(f.members.at("n3").proven);
    for (auto& it : f.all)
        it->start(f.now);
    f.advance(3000);
    CHECK(f.direct() == std::vector<std::string>{"n9"});
}

TEST_CASE("a relay that was suspended does not report the other instances as gone")
{
    relayed f{{"n1", "n2", "n3", "n9"}};
    f.advance(3000);
    f.now += core::milliseconds{60000};
    auto& relay = f.members.at("n9");
    relay.logic->on_wake(f.now);
    f.advance(5000);
    CHECK(relay.forgotten.empty());
    for (auto& [name, it] : f.members)
        it.proven.reset();
    f.now += core::milliseconds{60000};
    auto& follower = f.follower();
    follower.logic->on_wake(f.now);
    f.advance(1);
    CHECK(follower.proven); // it sends a request at once
}

TEST_CASE("followers of a relay that has just started get earlier deletions without listing the store")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
    {
        auto& it = f.members.at(name);
        it.view.store_revision = 50;
        it.logic->remember_view({{{"servers/b", "", 40}, true}, {{"servers/c", "v", 50}, false}}, 5);
    }
    f.advance(1000);
    CHECK(follower.told == std::vector<std::string>{"servers/b", "servers/c"});
}
