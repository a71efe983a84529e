// Start of a fleet: which instances read the store, and how many calls write their entries.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "runlink/control/change_history.hpp"
#include "runlink/control/fleet_join.hpp"
#include "runlink/control/member_registry.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

/// An instance "me" that joins, with a log of the actions that it triggers.
struct joining
{
    core::time_point now{core::seconds{100}};
    std::vector<std::string> told;
    std::vector<std::pair<std::string, sync_request>> asked;
    std::vector<kv_event> view;
    fleet_join it;

    explicit joining(const std::vector<std::string>& seeds) : it{{}, instance_id{"me"}, ids(seeds), hooks()}
    {
        it.start(now);
    }

    static std::vector<instance_id> ids(const std::vector<std::string>& from)
    {
        return {from.begin(), from.end()};
    }

    join_hooks hooks()
    {
        join_hooks out;
        out.ask = [this](const instance_id& to, const sync_request& e) { asked.emplace_back(to.str(), e); };
        out.list = [this] { told.push_back("list"); };
        out.take_view = [this](auto, const joined_view& e)
        {
            view = e.events;
            told.push_back("view " + std::to_string(e.revision.number));
        };
        out.set_initial_source = [this](auto, const instance_id& by) { told.push_back("by " + by.str()); };
        out.settle = [this](auto) { told.push_back("settled"); };
        return out;
    }

    void advance(int ms)
    {
        for (int n = 0; n < ms; ++n)
        {
            now += core::milliseconds{1};
            it.tick(now);
        }
    }

    sync_reply part(std::uint64_t since, std::uint64_t revision, bool has_more)
    {
        sync_reply out;
        out.number = asked.back().second.number;
        out.since = since;
        out.store_revision = revision;
        out.has_more = has_more;
        out.sender = instance_id{asked.back().first};
        out.events.push_back({{"k" + std::to_string(revision), "v", revision}, false});
        return out;
    }
};

peer_entry entry(const std::string& id, std::uint16_t port = 7100)
{
    return {core::instance_id{id}, core::failure_domain_id{"n"}, "10.0.0.1", port, 10};
}

/// A member registry with a log of its store calls.
struct registering
{
    core::time_point now{core::seconds{100}};
    std::vector<registry_batch> written;
    std::vector<member_registry::done_handler> waiting;
    member_registry it{{},
                       [this](const registry_batch& e, member_registry::done_handler done)
                       {
                           written.push_back(e);
                           waiting.push_back(std::move(done));
                       }};

    void advance(core::milliseconds by)
    {
        now += by;
        it.tick(now);
    }
};

} // namespace

TEST_CASE("a lost part is requested again from the same seed, and the parts before it are kept")
{
    joining f{{"s1", "s2", "s3"}};
    f.it.on_reply(f.now, f.part(0, 5, true));
    const auto seed = f.asked.back().first;
    f.advance(130); // the answer is lost
    REQUIRE(f.asked.size() == 3);
    CHECK(f.asked[2].first == seed);
    CHECK(f.asked[2].second.store_revision == 5);
    f.it.on_reply(f.now, f.part(5, 9, false));
    CHECK(f.view.size() == 2);
}

TEST_CASE("the store is read only after a time without any part, not while a large view arrives")
{
    joining f{{"s1"}};
    std::uint64_t revision = 0;
    for (int n = 0; n < 10; ++n)
    {
        f.advance(400); // each part waits its turn at a busy seed
        f.it.on_reply(f.now, f.part(revision, revision + 5, true));
        revision += 5;
    }
    CHECK(f.told.empty());
    f.advance(1600); // the seed is gone
    CHECK(f.told.at(0) == "list");
}

TEST_CASE("an item that changes or goes while the view arrives is taken as the latest part has it")
{
    joining f{{"s1"}};
    auto first = f.part(0, 5, true);
    first.events = {{{"a", "old", 3}, false}, {{"b", "old", 4}, false}};
    f.it.on_reply(f.now, first);
    auto last = f.part(5, 9, false);
    last.events = {{{"a", "new", 8}, false}, {{"b", "", 9}, true}};
    f.it.on_reply(f.now, last);
    REQUIRE(f.view.size() == 2);
    CHECK(f.view[0].item.value == "new");
    CHECK(f.view[1].is_deleted);
}

TEST_CASE("an instance takes a seed's complete view, and settles after its own entry is listed")
{
    joining f{{"s1", "s2", "s3"}};
    REQUIRE(f.asked.size() == 1);
    CHECK(f.asked[0].second.is_joining);
    f.it.on_reply(f.now, f.part(0, 5, true));
    REQUIRE(f.asked.size() == 2);
    CHECK(f.asked[1].first == f.asked[0].first);
    CHECK(f.asked[1].second.store_revision == 5);
    f.it.on_reply(f.now, f.part(5, 9, false));
    CHECK(f.view.size() == 2);
    CHECK(f.told == std::vector<std::string>{"view 9", "by " + f.asked[0].first});
    f.advance(1000);
    CHECK_FALSE(f.it.is_settled());
    f.it.on_own_entry(f.now);
    f.advance(600);
    CHECK(f.told.back() == "settled");
    CHECK(f.asked.size() == 2);
}

TEST_CASE("a part is ignored if parts before it are missing, or if it is of another seed's view")
{
    joining f{{"s1", "s2"}};
    f.it.on_reply(f.now, f.part(5, 9, false));
    CHECK(f.told.empty());
    f.it.on_reply(f.now, f.part(0, 5, true));
    auto other = f.part(5, 9, false);
    other.sender = instance_id{"i2"};
    f.it.on_reply(f.now, other);
    CHECK(f.told.empty());
    f.it.on_reply(f.now, f.part(5, 9, false));
    CHECK(f.told.size() == 2);
}

TEST_CASE("a late complete view of another seed is taken, and drops the parts received before")
{
    joining f{{"s1", "s2"}};
    auto late = f.part(0, 9, false);
    late.sender = instance_id{"i1"};
    f.advance(120);
    f.it.on_reply(f.now, f.part(0, 5, true));
    f.it.on_reply(f.now, late);
    CHECK(f.view.size() == 1);
    CHECK(f.told == std::vector<std::string>{"view 9", "by i1"});
}

TEST_CASE("parts of the views of two seeds are not combined")
{
    joining f{{"s1", "s2"}};
    f.it.on_reply(f.now, f.part(0, 5, true));
    const auto first = f.asked.back().first;
    f.advance(120 + 240 + 480); // no answer to any of three requests for the next part
    CHECK(f.asked.back().first != first);
    CHECK(f.asked.back().second.store_revision == 0);
    f.it.on_reply(f.now, f.part(0, 7, false));
    CHECK(f.view.size() == 1);
}

TEST_CASE("an instance that a busy seed has queued waits there, and neither asks another seed nor the store")
{
    joining f{{"s1", "s2"}};
    const auto seed = f.asked.back().first;
    sync_reply queued;
    queued.sender = instance_id{"i1"};
    queued.is_queued = true;
    for (int n = 0; n < 5; ++n)
    {
        f.it.on_reply(f.now, queued);
        f.advance(800);
        CHECK(f.asked.back().first == seed);
    }
    CHECK(f.told.empty());
    f.advance(1500); // the seed is gone
    CHECK(f.told.at(0) == "list");
}

TEST_CASE("the store is read once if no seed answers")
{
    joining f{{"s1", "s2"}};
    f.advance(1400);
    CHECK(f.told.empty());
    f.advance(2000);
    CHECK(f.told == std::vector<std::string>{"list", "by me"});
    f.it.on_listed(f.now);
    f.it.on_own_entry(f.now);
    f.advance(600);
    CHECK(f.told.back() == "settled");
}

TEST_CASE("an instance without seeds reads the store at once")
{
    joining f{{}};
    CHECK(f.told == std::vector<std::string>{"list", "by me"});
}

TEST_CASE("an instance announces its entry itself if no other instance has written it")
{
    joining f{{"s1"}};
    f.it.on_reply(f.now, f.part(0, 5, false));
    f.advance(2000);
    CHECK_FALSE(f.it.must_announce_itself(f.now));
    f.advance(1000);
    CHECK(f.it.must_announce_itself(f.now));
    f.advance(600);
    CHECK(f.it.is_settled());
}

TEST_CASE("entries announced together are written with one call per 32")
{
    registering f;
    for (int n = 0; n < 100; ++n)
    {
        f.it.announce(f.now, entry("i" + std::to_string(n)));
        f.advance(core::milliseconds{2});
    }
    f.advance(core::milliseconds{300});
    CHECK(f.written.size() == 4);
    for (const auto& it : f.written)
        CHECK(it.put.size() <= 32);
}

TEST_CASE("an entry in the store is written again only if the address has changed")
{
    registering f;
    f.it.listed(entry("a"));
    f.it.announce(f.now, entry("a"));
    f.advance(core::milliseconds{1000});
    CHECK(f.written.empty());
    f.it.announce(f.now, entry("a", 7200));
    f.advance(core::milliseconds{1000});
    REQUIRE(f.written.size() == 1);
    CHECK(f.written[0].put.at(0).port == 7200);
}

TEST_CASE("a failed call is retried, a successful one is not")
{
    registering f;
    f.it.announce(f.now, entry("a"));
    f.advance(core::milliseconds{300});
    REQUIRE(f.waiting.size() == 1);
    f.waiting[0](registry_outcome::failed);
    f.advance(core::milliseconds{999});
    CHECK(f.written.size() == 1);
    f.advance(core::milliseconds{1});
    REQUIRE(f.written.size() == 2);
    f.waiting[1](registry_outcome::done);
    f.it.announce(f.now, entry("a"));
    f.advance(core::milliseconds{5000});
    CHECK(f.written.size() == 2);
}

TEST_CASE("the entry of an instance that is gone is removed, and written again after a new announcement")
{
    registering f;
    f.it.listed(entry("a"));
    f.it.withdraw(f.now, core::instance_id{"a"});
    f.advance(core::milliseconds{300});
    REQUIRE(f.written.size() == 1);
    CHECK(f.written[0].removed == std::vector<core::instance_id>{core::instance_id{"a"}});
    f.waiting[0](registry_outcome::done);
    f.it.announce(f.now, entry("a"));
    f.advance(core::milliseconds{300});
    CHECK(f.written.size() == 2);
}

TEST_CASE("the oldest deletions are forgotten, and earlier revisions are reported as not covered")
{
    history_options options;
    options.min_deletions = 2;
    change_history it{options};
    it.reset({{"a", "", 1}, {"b", "", 2}, {"c", "", 3}, {"d", "", 4}}, 4);
    CHECK_FALSE(it.covers(3));
    std::uint64_t revision = 4;
    for (const auto* key : {"a", "b", "c"})
        it.remember({{key, "", ++revision}, true});
    CHECK_FALSE(it.covers(4));
    CHECK(it.covers(5));
    const auto all = it.changes_after(0);
    CHECK(all.events.size() == 3); // the item "d" and two deletions
}
