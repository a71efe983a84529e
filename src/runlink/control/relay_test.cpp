// Who follows the store, who asks whom, and how old a proof may be.

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "runlink/control/relay.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

relay_options small_options()
{
    relay_options out;
    out.least_members = 3;
    return out;
}

/// Instances with links and ways to the store that can be cut. A name's first letter is its failure domain.
struct relayed
{
    struct member
    {
        relay* logic = nullptr;
        store_view view{10, 3, core::milliseconds{100}};
        bool direct = false;
        bool silent = false; ///< hears nothing
        bool paused = false; ///< does nothing
        bool has_store = true;
        int probes = 0;
        std::vector<std::string> told;
        std::vector<std::string> forgotten;
        std::optional<core::time_point> proven;
    };

    core::time_point now{core::seconds{100}};
    std::map<std::string, member> members;
    std::vector<std::unique_ptr<relay>> all;
    std::vector<sync_reply> answers;

    explicit relayed(const std::vector<std::string>& names)
    {
        for (const auto& it : names)
            members[it];
        for (const auto& it : names)
        {
            all.push_back(std::make_unique<relay>(small_options(), instance_id{it}, domain_of(it),
                                                  link_of(it), hooks(it)));
            members[it].logic = all.back().get();
        }
        for (const auto& it : names)
        {
            for (const auto& other : names)
                members[it].logic->put_peer(instance_id{other}, domain_of(other), link_of(other));
            members[it].logic->start(now);
        }
    }

    static core::failure_domain_id domain_of(const std::string& name)
    {
        return core::failure_domain_id{name.substr(0, 1)};
    }

    /// Those whose name ends in 9 have a fast link.
    static std::uint32_t link_of(const std::string& name) { return name.back() == '9' ? 1000 : 10; }

    relay_hooks hooks(const std::string& name)
    {
        auto& self = members.at(name);
        relay_hooks out;
        out.ask = [this](const instance_id& to, const sync_request& it)
        {
            if (!members.at(to.str()).silent)
                members.at(to.str()).logic->on_request(now, it);
        };
        out.reply = [this](const std::vector<instance_id>& to, const sync_reply& it)
        {
            answers.push_back(it);
            for (const auto& id : to)
                members.at(id.str()).logic->on_reply(now, it);
        };
        out.probe = [this, &self](core::time_point)
        {
            ++self.probes;
            if (self.has_store)
                self.logic->on_own_proof(now);
        };
        out.view = [&self](core::time_point) { return self.view; };
        out.set_direct = [&self](core::time_point, bool direct) { self.direct = direct; };
        out.apply = [&self](core::time_point, const std::vector<kv_event>& events, std::uint64_t revision)
        {
            self.view.store_revision = revision;
            for (const auto& e : events)
                self.told.push_back(e.item.key);
        };
        out.fetch = [&self](core::time_point, const std::vector<std::string>& keys)
        { self.told.push_back("fetch " + (keys.empty() ? std::string{} : keys.front())); };
        out.list_again = [&self] { self.told.push_back("list"); };
        out.proven = [&self](core::time_point at) { self.proven = at; };
        out.forget = [&self](core::time_point, const instance_id& id) { self.forgotten.push_back(id.str()); };
        return out;
    }

    /// The store cannot be reached from these instances any more.
    void lose_store(const std::vector<std::string>& from)
    {
        for (const auto& it : from)
        {
            members.at(it).has_store = false;
            members.at(it).view.proof_age = core::milliseconds{5000};
        }
    }

    void advance(int ms)
    {
        for (int n = 0; n < ms; ++n)
        {
            now += core::milliseconds{1};
            for (auto& [name, it] : members)
                if (!it.paused)
                    it.logic->tick(now);
        }
    }

    void pause(const std::string& name) { members.at(name).paused = true; }

    std::vector<std::string> direct() const
    {
        std::vector<std::string> out;
        for (const auto& [name, it] : members)
            if (it.direct)
                out.push_back(name);
        return out;
    }
    member& follower()
    {
        for (auto& [name, it] : members)
            if (!it.direct)
                return it;
        throw std::logic_error{"no follower"};
    }
    void change(const std::string& key, std::uint64_t revision, const std::string& value = "v")
    {
        for (const auto& name : direct())
        {
            auto& it = members.at(name);
            it.view.store_revision = revision;
            it.logic->remember({{key, value, revision}, false});
            it.logic->publish(now, revision);
        }
    }
};

} // namespace

TEST_CASE("one instance of a failure domain follows the store, the others ask it")
{
    relayed f{{"n1", "n2", "n3", "n4", "n5"}};
    CHECK(f.direct().empty());
    f.advance(2100);
    CHECK(f.direct().size() == 1);
    // The proof is as old as the relay said, counted from the question.
    CHECK(f.follower().proven <= f.now - core::milliseconds{100});
}

TEST_CASE("changes reach followers when the relays have them, once")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    f.change("servers/x", 11);
    CHECK(f.follower().told == std::vector<std::string>{"servers/x"});
    f.advance(2000);
    CHECK(f.follower().told.size() == 1);
    CHECK(f.follower().view.store_revision == 11);
}

TEST_CASE("a large value is fetched, and nothing is proven until it is there")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
        f.members.at(name).view.configuration_revision = 11;
    f.change("conf", 11, std::string(relay_options{}.history.largest_value + 1, 'x'));
    CHECK(follower.told == std::vector<std::string>{"fetch conf"});
    follower.proven.reset();
    f.advance(400);
    CHECK_FALSE(follower.proven);
}

TEST_CASE("where the relay is gone its stand-by follows the store, and a follower asks that one")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    const auto relay = f.direct().at(0);
    f.members.at(relay).silent = true;
    f.advance(4000);
    CHECK(f.direct().size() == 2); // the silent one does not know that nobody hears it
    CHECK(f.follower().proven >= f.now - core::milliseconds{1000});
}

TEST_CASE("where no relay answers the store itself is asked, until one answers again")
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

TEST_CASE("a failure domain whose relays have lost the store takes proofs from another one")
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

TEST_CASE("in an outage of the store it is asked ever more seldom, and used at once when it is back")
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

TEST_CASE("one that finds the store where no relay has it follows it by itself")
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

TEST_CASE("a relay that proves a configuration which nobody sends has the store asked for it")
{
    relayed f{{"n1", "n2", "n3", "n4"}};
    f.advance(3000);
    for (const auto& name : f.direct())
        f.members.at(name).view.configuration_revision = 12;
    auto& follower = f.follower();
    follower.proven.reset();
    f.advance(2000);
    CHECK_FALSE(follower.proven);
    CHECK(follower.told.at(0) == "fetch ");
}

TEST_CASE("a follower that missed more than a relay remembers reads everything anew")
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
    CHECK_FALSE(follower.direct); // it has only to read, and then asks the relay again
}

TEST_CASE("more changes than fit into one datagram come in several, in order and without a gap")
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

TEST_CASE("a few instances follow the store all by themselves")
{
    relayed f{{"n1", "n2"}};
    f.advance(3000);
    CHECK(f.direct().size() == 2);
}

TEST_CASE("a follower learns of a lost relay well within the time in which changes must be in force")
{
    for (const auto apply : {core::milliseconds{2000}, core::milliseconds{3000}})
    {
        const auto it = relay_options::within(apply);
        CHECK(it.oldest_proof + it.ask_interval + 2 * it.answer_timeout <= apply * 85 / 100);
        CHECK(it.proof_interval() < it.oldest_proof);
    }
}

TEST_CASE("of changes of one key only the newest is kept for those who ask")
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

TEST_CASE("a relay finds out that an instance asks no more, and a short pause is not the end of one")
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

TEST_CASE("a relay that is gone is found out by those that ask it, at different times")
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

TEST_CASE("instances that follow the store themselves are heard by the first of their failure domain")
{
    relayed f{{"n1", "n9"}};
    f.advance(30000);
    CHECK(f.direct().size() == 2);
    CHECK(f.members.at("n9").forgotten.empty());
}

TEST_CASE("an instance that starts is answered with all that the store holds, together with others")
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
    CHECK(f.answers[0].number == 1);
    CHECK(f.answers[0].store_revision == 10);
    CHECK_FALSE(f.answers[0].history_gone);
    REQUIRE(f.answers[0].events.size() == 3);
    CHECK(f.answers[0].events[0].item.key == "conf");
}

TEST_CASE("an instance without a view answers those that start when it has one, and others not at all")
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

TEST_CASE("until relays are chosen an instance asks the one that introduced it and nobody follows the store")
{
    relayed f{{"n1", "n2", "n3", "n9"}};
    for (auto& it : f.all)
        it->introduce(f.now, instance_id{"n1"});
    f.advance(3000);
    CHECK(f.direct() == std::vector<std::string>{"n1"});
    CHECK(f.members.at("n3").proven);
    for (auto& it : f.all)
        it->start(f.now);
    f.advance(3000);
    CHECK(f.direct() == std::vector<std::string>{"n9"});
}

TEST_CASE("a relay that stood still does not take the others' silence for their end")
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
    CHECK(follower.proven); // it asks at once
}

TEST_CASE(
    "those that ask a relay which has just started learn what was deleted before, and read nothing anew")
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
