#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "followed_fixture.hpp"

using namespace runlink;
using namespace runlink::control;

TEST_CASE("the follower lists, watches from the list's revision, and proves the configuration's revision")
{
    followed f;
    const auto sent = f.now;
    f.now += core::milliseconds{30};
    f.list();
    CHECK(f.told == std::vector<std::string>{"listed 1"});
    CHECK(f.store.watched_after == std::vector<std::uint64_t>{5});
    CHECK(f.proven == sent); // the list contains the configuration
    CHECK(f.store.written.empty());
    f.advance(core::milliseconds{1500});
    REQUIRE(f.store.written.size() == 1);
    CHECK(f.store.written[0].conditions[0].revision == 3);
    CHECK(f.store.written[0].writes.empty());
}

TEST_CASE("a list proves that there is no configuration yet")
{
    followed f;
    const auto sent = f.now;
    f.now += core::milliseconds{30};
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{}, false, 5}});
    CHECK(f.proven == sent);
}

TEST_CASE("a watch starts at the revision of the list's first page")
{
    followed f;
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{{"a", "", 2}}, true, 5}});
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{{"b", "", 6}}, false, 8}});
    CHECK(f.told == std::vector<std::string>{"listed 2"});
    CHECK(f.store.watched_after == std::vector<std::uint64_t>{5});
}

TEST_CASE("a page without a readable item is not asked for again at once")
{
    // Guards against an endless series of calls for the same page.
    followed f;
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{}, true, 5, 1}});
    CHECK(f.store.lists.empty());
    CHECK(f.told == std::vector<std::string>{"lost malformed"});
    f.advance(core::seconds{10});
    fake_kv::answer(f.store.lists, kv_result<kv_page>{kv_page{{{"a", "", 2}}, false, 5}});
    CHECK(f.told.back() == "listed 1");
}

TEST_CASE("a proof counts from when its call was sent, not from when it was answered")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{1500});
    const auto sent = f.now;
    f.advance(core::milliseconds{700});
    fake_kv::answer(f.store.commits, kv_commit_result{kv_committed{9}});
    CHECK(f.proven == sent);
}

TEST_CASE("a watch without changes is no proof")
{
    followed f;
    f.list();
    const auto listed = f.proven;
    f.advance(core::milliseconds{1000});
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_changes{{}, 7}});
    CHECK(f.proven == listed);
    f.advance(core::milliseconds{1});
    CHECK(f.store.watched_after.back() == 7);
}

TEST_CASE("a proof that fails its condition returns the newest configuration and proves it")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{1500});
    const auto sent = f.now;
    fake_kv::answer(f.store.commits, kv_commit_result{kv_conflict{{{"conf", "d", 8}}}});
    CHECK(f.told.back() == "changed conf");
    CHECK(f.proven == sent);
    f.advance(core::milliseconds{1500});
    CHECK(f.store.written.back().conditions[0].revision == 8);
}

TEST_CASE("the store is listed again if the history for a watch is gone")
{
    followed f;
    f.list();
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_error::history_gone});
    CHECK(f.store.lists.size() == 1);
    f.list();
    CHECK(f.told == std::vector<std::string>{"listed 1", "listed 1"});
    CHECK(f.it.is_connected());
}

TEST_CASE("an outage is reported once, calls are retried, and the recovery is reported")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{1500});
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

TEST_CASE("changes are collected before the next watch, for longer shortly after the start")
{
    followed f;
    f.list();
    fake_kv::answer(f.store.watches,
                    kv_result<kv_changes>{kv_changes{{{{"x", "", 6}, false}, {{"y", "", 7}, true}}, 7}});
    CHECK(f.told == std::vector<std::string>{"listed 1", "changed x", "gone y"});
    CHECK(f.store.watches.empty());
    f.advance(core::milliseconds{150});
    CHECK(f.store.watches.empty()); // shortly after the start changes are collected for longer
    f.advance(core::milliseconds{550});
    CHECK(f.store.watched_after.back() == 7);
    f.advance(core::milliseconds{2000});
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_changes{{{{"x", "", 8}, false}}, 8}});
    f.advance(core::milliseconds{150});
    CHECK(f.store.watched_after.back() == 8);
}

TEST_CASE("the watch is restarted after an outage, since its connection may be dead")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{1500});
    fake_kv::answer(f.store.commits, kv_commit_result{kv_error::unavailable});
    f.advance(core::milliseconds{700});
    REQUIRE(f.store.watches.size() == 1);
    fake_kv::answer(f.store.commits, kv_commit_result{kv_committed{5}});
    CHECK(f.store.cancelled == 1);
    CHECK(f.store.watches.size() == 2);
    CHECK(f.store.watched_after.back() == 5);
}

TEST_CASE("the watch is restarted if it doesn't deliver changes that a proof has revealed")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{1500});
    fake_kv::answer(f.store.commits, kv_commit_result{kv_committed{9}});
    f.advance(core::milliseconds{100});
    CHECK(f.store.watches.size() == 1); // the changes may still arrive
    f.advance(core::milliseconds{200});
    CHECK(f.store.cancelled == 1);
    CHECK(f.store.watches.size() == 2);
    // A watch that has delivered the changes in time is not restarted.
    f.advance(core::milliseconds{1200});
    fake_kv::answer(f.store.commits, kv_commit_result{kv_committed{9}});
    f.store.watches.pop_front();
    fake_kv::answer(f.store.watches, kv_result<kv_changes>{kv_changes{{{{"x", "", 9}, false}}, 9}});
    f.advance(core::milliseconds{300});
    CHECK(f.store.cancelled == 1);
}

TEST_CASE("after the process was suspended the watch is restarted and the configuration proven at once")
{
    followed f;
    f.list();
    f.now += core::milliseconds{4000};
    f.it.on_wake(f.now);
    f.it.tick(f.now);
    CHECK(f.store.cancelled == 1);
    CHECK(f.store.watches.size() == 2);
    CHECK(f.store.written.size() == 1);
}

TEST_CASE("changes within the collection time cost one watch")
{
    followed f;
    f.list();
    f.advance(core::milliseconds{3000}); // the start-up time is over
    f.it.set_gather_delay(core::milliseconds{400});
    const auto before = f.store.watched_after.size();
    std::uint64_t revision = 5;
    for (int n = 0; n < 20; ++n) // one endpoint every 100 ms
    {
        ++revision;
        if (!f.store.watches.empty())
            fake_kv::answer(f.store.watches,
                            kv_result<kv_changes>{kv_changes{{{{"x", "", revision}, false}}, revision}});
        f.advance(core::milliseconds{100});
    }
    CHECK(f.store.watched_after.size() - before == 5);
}
