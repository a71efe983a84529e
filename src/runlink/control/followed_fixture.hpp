/// \file
/// A store follower on a fake store and a manual clock.
#pragma once

#include <catch2/catch.hpp>

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runlink/control/store_follower.hpp"

namespace runlink::control
{

/// A store that queues calls until the test answers them.
struct fake_kv
{
    std::deque<std::function<void(kv_result<kv_page>)>> lists;
    std::deque<std::function<void(kv_result<kv_changes>)>> watches;
    std::deque<std::function<void(kv_commit_result)>> commits;
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

/// A store follower on a fake store and a manual clock, with a log of its notifications.
struct followed
{
    fake_kv store;
    core::time_point now{core::seconds{100}};
    std::vector<std::string> told;
    change_history known;
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
        {
            known.reset(all, it.revision());
            told.push_back("listed " + std::to_string(all.size()));
        };
        out.known = [this]() -> const change_history& { return known; };
        out.changed = [this](auto, const kv_event& e)
        {
            known.remember(e);
            const std::string what = e.is_deleted ? "gone " : "changed ";
            told.push_back((e.is_from_copy ? "copy " : "") + what + e.item.key);
        };
        out.caught_up = [](auto, auto) {};
        out.proven = [this](core::time_point at) { proven = at; };
        out.lost = [this](auto, kv_error why) { told.push_back("lost " + std::string{to_string(why)}); };
        out.regained = [this](auto, auto) { told.push_back("regained"); };
        out.era_began = [this](auto, auto, core::store_era era)
        { told.push_back("era " + std::to_string(era.value())); };
        return out;
    }

    void advance(core::milliseconds by)
    {
        now += by;
        it.tick(now);
    }

    void list() { fake_kv::answer(store.lists, kv_result<kv_page>{kv_page{{{"conf", "c", 3}}, false, 5}}); }
};

} // namespace runlink::control
