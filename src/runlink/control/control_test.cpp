#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>

#include "runlink/control/presence.hpp"
#include "runlink/control/relay.hpp"
#include "runlink/control/store_follower.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

/// Keeps the calls that wait for an answer.
struct fake_kv
{
    std::deque<std::function<void(kv_result<kv_page>)>> lists;
    std::deque<std::function<void(kv_result<kv_changes>)>> watches;
    std::deque<std::function<void(kv_commit_result)>> commits;
    std::deque<std::function<void(kv_result<kv_lease>)>> leases;
    std::vector<kv_transaction> written;
    std::vector<std::uint64_t> watched_after;
    int cancelled = 0;

    kv_store port()
    {
        kv_store out;
        out.list = [this](const std::string&, auto to) { lists.push_back(to); };
        out.watch = [this](std::uint64_t after, core::milliseconds, auto to)
        {
            watched_after.push_back(after);
            watches.push_back(to);
        };
        out.commit = [this](const kv_transaction& it, auto to)
        {
            written.push_back(it);
            commits.push_back(to);
        };
        out.grant = [this](core::milliseconds, auto to) { leases.push_back(to); };
        out.renew = [this](std::uint64_t, auto to) { leases.push_back(to); };
        out.cancel_watch = [this] { ++cancelled; };
        return out;
    }

    template <class Handler, class Answer>
    static void answer(std::deque<Handler>& from, Answer it)
    {
        REQUIRE_FALSE(from.empty());
        const auto to = from.front();
        from.pop_front();
        to(std::move(it));
    }
};

struct followed
{
    fake_kv store;
    core::time_point now{core::seconds{100}};
    std::vector<std::string> told;
    std::optional<core::time_point> proven;
    store_follower it{{"conf"}, store.port(), hooks()};

    followed()
    {
        it.clock = [this] { return now; };
        it.start();
    }

    follower_hooks hooks()
    {
        follower_hooks out;
        out.listed = [this](auto, const std::vector<kv_item>& all)
        { told.push_back("listed " + std::to_string(all.size())); };
        out.changed = [this](auto, const kv_event& e)
        { told.push_back((e.is_deleted ? "gone " : "changed ") + e.item.key); };
        out.caught_up = [](auto, auto) {};
        out.proven = [this](core::time_point at) { proven = at; };
        out.lost = [this](auto, kv_error why) { told.push_back("lost " + std::string{to_string(why)}); };
        out.regained = [this](auto, auto) { told.push_back("regained"); };
        return out;
    }

    void advance(core::milliseconds by)
    {
        now += by;
        it.tick(now);
    }

    void list() { fake_kv::answer(store.lists, kv_result<kv_page>{kv_page{{{"conf", "c", 3}}, false, 5}}); }
};

} // namespace

TEST_CASE("a list, then a watch from its revision, and a proof under the configuration's revision")
{
    followed f;
    f.list();
    CHECK(f.told == std::vector<std::string>{"listed 1"});
    CHECK(f.store.watched_after == std::vector<std::uint64_t>{5});
    REQUIRE(f.store.written.size() == 1);
    CHECK(f.store.written[0].conditions[0].revision == 3);
    CHECK(f.store.written[0].writes.empty());
}

TEST_CASE("pages are watched from the first one's revision on")
{
    followed f;
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{{"a", "", 2}}, true, 5}});
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{{"b", "", 6}}, false, 8}});
    CHECK(f.told == std::vector<std::string>{"listed 2"});
    CHECK(f.store.watched_after == std::vector<std::uint64_t>{5});
}

TEST_CASE("a proof counts from when it was sent, not from when it was answered")
{
    followed f;
    f.list();
    const auto sent = f.now;
    f.advance(core::milliseconds{700});
    fake_kv::answer(f.store.commits, kv_commit_result{kv_committed{9}});
    CHECK(f.proven == sent);
}

TEST_CASE("a watch that says nothing proves nothing")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{1000});
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_changes{{}, 7}});
    CHECK_FALSE(f.proven);
    f.advance(core::milliseconds{1});
    CHECK(f.store.watched_after.back() == 7);
}

TEST_CASE("a proof that fails its condition brings the newest configuration and then proves it")
{
    followed f;
    f.list();
    fake_kv::answer(f.store.commits, kv_commit_result{kv_conflict{{{"conf", "d", 8}}}});
    CHECK(f.told.back() == "changed conf");
    CHECK(f.proven);
    f.advance(core::milliseconds{1500});
    CHECK(f.store.written.back().conditions[0].revision == 8);
}

TEST_CASE("history that is gone is made up by a new list")
{
    followed f;
    f.list();
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_error::history_gone});
    CHECK(f.store.lists.size() == 1);
    f.list();
    CHECK(f.told == std::vector<std::string>{"listed 1", "listed 1"});
    CHECK(f.it.is_connected());
}

TEST_CASE("an outage is told once, calls are tried again, and the return is told")
{
    followed f;
    f.list();
    fake_kv::answer(f.store.commits, kv_commit_result{kv_error::unavailable});
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_error::unavailable});
    CHECK(f.told == std::vector<std::string>{"listed 1", "lost unavailable"});
    CHECK_FALSE(f.it.is_connected());
    f.advance(core::milliseconds{700});
    REQUIRE(f.store.commits.size() == 1);
    REQUIRE(f.store.watches.size() == 1);
    fake_kv::answer(f.store.commits, kv_commit_result{kv_committed{9}});
    CHECK(f.told.back() == "regained");
}

TEST_CASE("changes are gathered before the next watch, and what a cancelled watch says is dropped")
{
    followed f;
    f.list();
    fake_kv::answer(f.store.watches,
                    kv_result<kv_changes>{kv_changes{{{{"x", "", 6}, false}, {{"y", "", 7}, true}}, 7}});
    CHECK(f.told == std::vector<std::string>{"listed 1", "changed x", "gone y"});
    CHECK(f.store.watches.empty());
    f.advance(core::milliseconds{150});
    CHECK(f.store.watched_after.back() == 7);
}

TEST_CASE("an instance's entry is written under a lease and written again when the lease is gone")
{
    fake_kv store;
    core::time_point now{core::seconds{100}};
    presence it{{}, store.port(), {"me", "here"}};
    it.clock = [&] { return now; };
    it.start(now);
    it.tick(now);
    fake_kv::answer(store.leases, kv_result<kv_lease>{kv_lease{7, core::milliseconds{20000}}});
    REQUIRE(store.written.size() == 1);
    CHECK(store.written[0].writes[0].lease == 7);
    fake_kv::answer(store.commits, kv_commit_result{kv_committed{2}});
    now += core::milliseconds{7000};
    it.tick(now);
    fake_kv::answer(store.leases, kv_result<kv_lease>{kv_error::lease_gone});
    it.tick(now);
    fake_kv::answer(store.leases, kv_result<kv_lease>{kv_lease{8, core::milliseconds{20000}}});
    REQUIRE(store.written.size() == 2);
    CHECK(store.written[1].writes[0].lease == 8);
}

namespace
{

relay_options small_options()
{
    relay_options out;
    out.least_members = 3;
    return out;
}

/// Instances of one failure domain with links that can be cut.
struct relayed
{
    struct member
    {
        relay* logic = nullptr;
        store_view view{10, 3, core::milliseconds{100}};
        bool direct = false;
        bool silent = false;
        std::vector<std::string> told;
        std::optional<core::time_point> proven;
    };

    core::time_point now{core::seconds{100}};
    std::map<std::string, member> members;
    std::vector<std::unique_ptr<relay>> all;

    explicit relayed(const std::vector<std::string>& names)
    {
        for (const auto& it : names)
            members[it];
        for (const auto& it : names)
        {
            all.push_back(std::make_unique<relay>(small_options(), instance_id{it},
                                                  core::failure_domain_id{"n"}, hooks(it)));
            members[it].logic = all.back().get();
        }
        for (const auto& it : names)
        {
            for (const auto& other : names)
                members[it].logic->put_peer(instance_id{other}, core::failure_domain_id{"n"});
            members[it].logic->start(now);
        }
    }

    relay_hooks hooks(const std::string& name)
    {
        auto& self = members.at(name);
        relay_hooks out;
        out.ask = [this](const instance_id& to, const sync_request& it)
        {
            if (!members.at(to.str()).silent)
                members.at(to.str()).logic->on_request(now, it);
        };
        out.reply = [this](const instance_id& to, const sync_reply& it)
        { members.at(to.str()).logic->on_reply(now, it); };
        out.view = [&self](core::time_point) { return self.view; };
        out.set_direct = [&self](core::time_point, bool direct) { self.direct = direct; };
        out.apply = [&self](core::time_point, const std::vector<kv_event>& events, std::uint64_t revision)
        {
            self.view.store_revision = revision;
            for (const auto& e : events)
                self.told.push_back(e.item.key);
        };
        out.fetch = [&self](core::time_point, const std::vector<std::string>& keys)
        { self.told.push_back("fetch " + keys.at(0)); };
        out.list_again = [&self] { self.told.push_back("list"); };
        out.proven = [&self](core::time_point at) { self.proven = at; };
        return out;
    }

    void advance(int ms)
    {
        for (int n = 0; n < ms; ++n)
        {
            now += core::milliseconds{1};
            for (auto& it : all)
                it->tick(now);
        }
    }

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

TEST_CASE("two instances of a failure domain follow the store, the others ask them")
{
    relayed f{{"a", "b", "c", "d", "e"}};
    CHECK(f.direct().empty());
    f.advance(2100);
    CHECK(f.direct().size() == 2);
    // The proof is as old as the relay said, counted from the question.
    CHECK(f.follower().proven <= f.now - core::milliseconds{100});
}

TEST_CASE("changes reach followers when the relays have them, once")
{
    relayed f{{"a", "b", "c", "d"}};
    f.advance(3000);
    f.change("servers/x", 11);
    CHECK(f.follower().told == std::vector<std::string>{"servers/x"});
    f.advance(2000);
    CHECK(f.follower().told.size() == 1);
    CHECK(f.follower().view.store_revision == 11);
}

TEST_CASE("a large value is fetched, and nothing is proven until it is there")
{
    relayed f{{"a", "b", "c", "d"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
        f.members.at(name).view.configuration_revision = 11;
    f.change("conf", 11, std::string(5000, 'x'));
    CHECK(follower.told == std::vector<std::string>{"fetch conf"});
    follower.proven.reset();
    f.advance(400);
    CHECK_FALSE(follower.proven);
}

TEST_CASE("a follower goes to the stand-by, and to the store where no relay answers")
{
    relayed f{{"a", "b", "c", "d"}};
    f.advance(3000);
    auto& follower = f.follower();
    const auto relays = f.direct();
    f.members.at(relays[0]).silent = true;
    f.advance(2000);
    CHECK_FALSE(follower.direct);
    f.members.at(relays[1]).silent = true;
    f.advance(1500);
    CHECK(follower.direct);
    f.members.at(relays[1]).silent = false;
    f.advance(2500);
    CHECK_FALSE(follower.direct);
}

TEST_CASE("a relay whose own proof is old does not count")
{
    relayed f{{"a", "b", "c", "d"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
        f.members.at(name).view.proof_age = core::milliseconds{1400};
    f.advance(1500);
    CHECK(follower.direct);
}

TEST_CASE("a follower that missed more than a relay remembers reads everything anew")
{
    relayed f{{"a", "b", "c", "d"}};
    f.advance(3000);
    auto& follower = f.follower();
    for (const auto& name : f.direct())
    {
        f.members.at(name).view.store_revision = 50;
        f.members.at(name).logic->forget_before(50);
    }
    f.advance(1000);
    REQUIRE_FALSE(follower.told.empty());
    CHECK(follower.told.front() == "list");
}

TEST_CASE("more changes than fit into one datagram come in several, in order and without a gap")
{
    relayed f{{"a", "b", "c", "d"}};
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
    relayed f{{"a", "b"}};
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
