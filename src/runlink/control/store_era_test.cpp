// The follower of a store that returns from an older copy.

#include "followed_fixture.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

core::store_revision at(std::uint64_t era, std::uint64_t number)
{
    return {core::store_era{era}, number};
}

kv_page page_of(const core::store_revision& configuration, const core::store_revision& store,
                bool has_more = false)
{
    return {{{"conf", "c", configuration}}, has_more, store};
}

/// A follower that has listed a store of era 1, with the configuration at revision 30.
struct copied : followed
{
    copied()
    {
        it.on_era(core::store_era{1});
        fake_kv::answer(store.lists, kv_result<kv_page>{page_of(at(1, 30), at(1, 35))});
        told.clear();
    }

    /// The store answers a call in the era.
    template <class Handler, class Answer>
    void answer(std::uint64_t era, std::deque<Handler>& from, Answer result)
    {
        it.on_era(core::store_era{era});
        fake_kv::answer(from, std::move(result));
    }

    /// Begins era 2 with a list.
    void list_copy(const core::store_revision& configuration)
    {
        it.on_era(core::store_era{2});
        store.watches.clear(); // cancelled
        answer(2, store.lists, kv_result<kv_page>{page_of(configuration, at(2, 25))});
    }
};

} // namespace

TEST_CASE("the store is listed again when any answer tells a later era")
{
    copied f;
    f.it.on_era(core::store_era{2});
    CHECK(f.told == std::vector<std::string>{"era 2"});
    CHECK(f.store.cancelled == 1);
    REQUIRE(f.store.lists.size() == 1);
    f.it.on_era(core::store_era{2});
    f.it.on_era(core::store_era{1});
    f.it.on_era(core::store_era{});
    CHECK(f.store.lists.size() == 1);
    fake_kv::answer(f.store.lists, kv_result<kv_page>{page_of(at(2, 20), at(2, 25))});
    CHECK(f.store.watched_after.back() == 25);
    CHECK(f.it.revision() == at(2, 25));
}

TEST_CASE("a configuration of a later era is newer, whatever its revision's number")
{
    copied f;
    f.list_copy(at(2, 20));
    CHECK(f.it.configuration_revision() == at(2, 20));
    f.answer(2, f.store.watches,
             kv_result<kv_changes>{kv_changes{{{{"conf", "d", at(2, 26)}, false}}, at(2, 26)}});
    CHECK(f.told.back() == "changed conf");
    CHECK(f.it.configuration_revision() == at(2, 26));
}

TEST_CASE("a proof that was sent in an earlier era proves nothing, and the next one reads the configuration")
{
    for (const bool is_alike : {true, false})
    {
        copied f;
        f.it.set_direct(f.now, false);
        f.it.prove_soon(f.now, core::milliseconds{0});
        const auto before = f.proven;
        f.advance(core::milliseconds{10});
        CHECK(f.store.written.back().conditions.at(0).revision == 30);
        if (is_alike)
            f.answer(2, f.store.commits, kv_commit_result{kv_committed{at(2, 35)}});
        else
            f.answer(2, f.store.commits, kv_commit_result{kv_conflict{{{"conf", "b", at(2, 20)}}}});
        CHECK(f.proven == before);
        f.advance(core::milliseconds{10});
        CHECK(f.store.written.back().conditions.at(0).revision > 1'000'000); // never holds
        f.answer(2, f.store.commits, kv_commit_result{kv_conflict{{{"conf", "b", at(2, 20)}}}});
        CHECK(f.told.back() == "changed conf");
        CHECK(f.it.configuration_revision() == at(2, 20));
    }
}

TEST_CASE("a copy proves no configuration before lost changes had time to be written again")
{
    copied f;
    const auto before = f.proven;
    const auto began = f.now;
    f.list_copy(at(2, 20));
    CHECK(f.proven == before);
    while (f.now < began + follower_options{}.recovery_time)
    {
        f.advance(core::milliseconds{50});
        CHECK(f.proven == before);
        if (!f.store.commits.empty())
            f.answer(2, f.store.commits, kv_commit_result{kv_committed{at(2, 25)}});
    }
    f.advance(core::milliseconds{50});
    if (!f.store.commits.empty())
        f.answer(2, f.store.commits, kv_commit_result{kv_committed{at(2, 25)}});
    CHECK(f.proven >= began + follower_options{}.recovery_time);
}

TEST_CASE("a configuration that was written after the return from a copy is proven at once")
{
    copied f;
    f.list_copy(at(2, 20));
    f.advance(core::milliseconds{100});
    f.answer(2, f.store.watches,
             kv_result<kv_changes>{kv_changes{{{{"conf", "d", at(2, 26)}, false}}, at(2, 26)}});
    const auto written = f.now;
    f.advance(core::milliseconds{1});
    f.answer(2, f.store.commits, kv_commit_result{kv_committed{at(2, 26)}});
    CHECK(f.proven >= written);
}

TEST_CASE("a list whose pages belong to two eras begins anew")
{
    copied f;
    f.it.list_again();
    f.answer(1, f.store.lists, kv_result<kv_page>{page_of(at(1, 30), at(1, 36), true)});
    REQUIRE(f.store.lists.size() == 1);
    f.answer(2, f.store.lists, kv_result<kv_page>{kv_page{{{"z", "", at(2, 7)}}, false, at(2, 25)}});
    CHECK(f.it.revision() == at(1, 35));
    REQUIRE(f.store.lists.size() == 1);
    f.answer(2, f.store.lists, kv_result<kv_page>{page_of(at(2, 20), at(2, 25))});
    CHECK(f.it.revision() == at(2, 25));
}

TEST_CASE("an answer of an earlier era that arrives late is not used")
{
    copied f;
    f.it.on_era(core::store_era{2});
    const auto late = f.store.watches.front();
    late(kv_result<kv_changes>{kv_changes{{{{"conf", "old", at(1, 36)}, false}}, at(1, 36)}});
    CHECK(f.it.configuration_revision() == at(1, 30));
    f.answer(1, f.store.lists, kv_result<kv_page>{page_of(at(1, 36), at(1, 36))});
    CHECK(f.it.revision() == at(1, 35));
    CHECK(f.store.lists.size() == 1);
}

TEST_CASE("each return from a copy is followed, also within a second of another and if nothing was lost")
{
    copied f;
    f.list_copy(at(2, 30));
    f.advance(core::milliseconds{400});
    f.it.on_era(core::store_era{3});
    REQUIRE(f.store.lists.size() == 1);
    f.answer(3, f.store.lists, kv_result<kv_page>{page_of(at(3, 30), at(3, 35))});
    CHECK(f.it.revision() == at(3, 35));
    CHECK(f.it.configuration_revision() == at(3, 30));
}

TEST_CASE("a history covers a revision of an earlier era only up to where that era was known")
{
    change_history it;
    it.reset({{"a", "1", at(1, 3)}, {"b", "1", at(1, 4)}}, at(1, 5));
    it.reached(at(1, 5));
    it.remember({{"a", "2", at(1, 9)}});
    it.reached(at(1, 9));
    for (const auto& e : it.difference({{"a", "1", at(2, 3)}, {"c", "1", at(2, 6)}}, at(2, 6),
                                       [](const auto&) { return false; }))
        it.remember(e);
    it.reached(at(2, 6));
    CHECK(it.covers(at(1, 5)));
    CHECK(it.covers(at(1, 9)));
    CHECK_FALSE(it.covers(at(1, 10)));
    CHECK(it.covers(at(2, 6)));
    const auto part = it.changes_after(at(1, 9));
    REQUIRE(part.events.size() == 3);
    CHECK(part.events[0].item.key == "a");
    CHECK(part.events[1].item.key == "b");
    CHECK(part.events[1].is_from_copy);
    CHECK(part.events[2].item.key == "c");
}
