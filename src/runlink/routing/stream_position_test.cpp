#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <random>
#include <vector>

#include "runlink/routing/stream_position.hpp"

using namespace runlink::routing;

namespace
{

using ids = std::vector<std::uint64_t>;

constexpr auto max_id = std::numeric_limits<std::uint64_t>::max();

ids steps_of(std::uint64_t first, std::uint64_t step, std::size_t n)
{
    ids out;
    for (std::size_t it = 0; it < n; ++it)
        out.push_back(first + it * step);
    return out;
}

ids squares(std::size_t n)
{
    ids out;
    for (std::uint64_t it = 1; it <= n; ++it)
        out.push_back(it * it);
    return out;
}

/// One wrong id in one run of a stream; no value: an id that cannot be read.
struct spoiling
{
    std::size_t run = 0;
    std::size_t event = 0; ///< index in the stream
    std::optional<std::uint64_t> id;
};

/// What the caller of a stream gets: indices of its events, and whether they end as a complete stream.
struct delivery
{
    std::vector<std::size_t> events;
    bool is_complete = false;
    std::size_t contradictions = 0;

    bool has_each_once(std::size_t first, std::size_t n) const
    {
        for (std::size_t it = 0; it < events.size(); ++it)
            if (events[it] != first + it)
                return false;
        return events.size() == n - first;
    }
};

/// Endpoints that have the same stream and begin behind the id that they are asked for.
struct stream_trial
{
    ids truth;
    std::optional<std::uint64_t> caller_has;
    std::optional<spoiling> spoilt;
    std::vector<std::size_t> cuts; ///< for each run, after how many of its events the connection breaks
    std::size_t max_runs = 3;
    bool repeats_asked = false; ///< runs begin with the event that they are asked to continue behind

    std::size_t first_event(std::optional<std::uint64_t> after) const
    {
        if (!after)
            return 0;
        const auto at = repeats_asked ? std::lower_bound(truth.begin(), truth.end(), *after)
                                      : std::upper_bound(truth.begin(), truth.end(), *after);
        return static_cast<std::size_t>(at - truth.begin());
    }

    delivery deliver() const
    {
        stream_position position{caller_has};
        delivery out;
        for (std::size_t n = 0; n < max_runs && position.may_resume() && !out.is_complete; ++n)
            out.is_complete = run(position, n, out);
        return out;
    }

    /// Returns whether the run came to its end.
    bool run(stream_position& position, std::size_t number, delivery& to) const
    {
        auto it = position.begin_run();
        const auto first = first_event(it.after);
        const auto cut = number < cuts.size() ? cuts[number] : truth.size() + 1;
        for (auto at = first; at < truth.size(); ++at)
        {
            if (at - first >= cut)
                return false;
            const bool is_spoilt = spoilt && spoilt->run == number && spoilt->event == at;
            const auto place = position.place(it, is_spoilt ? spoilt->id : std::optional{truth[at]});
            if (place == event_place::contradiction)
                return ++to.contradictions, false;
            if (place == event_place::next)
                to.events.push_back(at);
        }
        if (truth.size() - first >= cut)
            return false;
        const bool may_end = position.may_end(it);
        to.contradictions += may_end ? 0 : 1;
        return may_end;
    }
};

const std::vector<ids> streams{steps_of(1, 1, 12),  steps_of(1000, 1, 12),
                               steps_of(10, 10, 8), squares(12),
                               steps_of(0, 7, 5),   {1, 2, 3, 50, 51, 52, 90, max_id - 1, max_id}};

} // namespace

TEST_CASE("a stream whose ids rise by any step is delivered whole, and after each loss, with each event once")
{
    for (const auto& truth : streams)
        for (std::size_t first = 0; first < truth.size(); ++first)
            for (std::size_t cut = 0; cut <= truth.size(); ++cut)
                for (const bool repeats : {false, true})
                {
                    stream_trial it{truth, {}, {}, {cut, 2}, 3, repeats};
                    if (first > 0)
                        it.caller_has = truth[first - 1];
                    // Two runs tell an event that endpoints repeat from one with a wrong id.
                    if (repeats && first > 0)
                        it.max_runs = 4;
                    const auto out = it.deliver();
                    INFO("from " << first << ", cut " << cut << ", repeats " << repeats);
                    REQUIRE(out.is_complete);
                    REQUIRE(out.has_each_once(first, truth.size()));
                    REQUIRE(out.contradictions <= (repeats && first > 0 ? 1 : 0));
                }
}

TEST_CASE("a stream with one wrong id does not end as complete without an event or with one twice")
{
    std::size_t whole = 0;
    std::size_t all = 0;
    for (const auto& truth : streams)
        for (std::size_t event = 0; event < truth.size(); ++event)
        {
            const auto right = truth[event];
            std::vector<std::optional<std::uint64_t>> wrong{std::nullopt, 0,         1,  3,     6,
                                                            right - 1,    right + 1, 70, max_id};
            wrong.insert(wrong.end(), truth.begin(), truth.end());
            for (const auto& id : wrong)
                for (std::size_t run = 0; run < 2; ++run)
                    for (std::size_t cut = 0; cut <= truth.size(); ++cut)
                        for (const auto first : {std::size_t{0}, std::size_t{1}, event})
                        {
                            if (id == right || first > event)
                                continue;
                            stream_trial it{truth, {}, spoiling{run, event, id}, {cut, 4}};
                            if (first > 0)
                                it.caller_has = truth[first - 1];
                            const auto out = it.deliver();
                            INFO("event " << event << " of run " << run << " says "
                                          << (id ? std::to_string(*id) : "nothing") << " for " << right
                                          << ", cut " << cut << ", from " << first);
                            ++all;
                            whole += out.is_complete ? 1 : 0;
                            if (out.is_complete)
                                REQUIRE(out.has_each_once(first, truth.size()));
                        }
        }
    INFO(whole << " of " << all << " whole");
    CHECK(2 * whole > all);
}

TEST_CASE("a stream with one wrong id in a run that is not cut goes on behind a confirmed id")
{
    for (const auto& truth : streams)
        for (std::size_t event = 0; event < truth.size(); ++event)
            for (const std::uint64_t id : {std::uint64_t{0}, std::uint64_t{5}, std::uint64_t{70}, max_id})
            {
                const stream_trial it{truth, {}, spoiling{0, event, id}, {}};
                const auto out = it.deliver();
                INFO("event " << event << " says " << id);
                REQUIRE(out.is_complete);
                REQUIRE(out.has_each_once(0, truth.size()));
            }
}

TEST_CASE("a stream without ids is not resumed behind its first event")
{
    stream_position it;
    auto run = it.begin_run();
    CHECK(it.may_resume());
    CHECK(it.place(run, std::nullopt) == event_place::next);
    CHECK_FALSE(it.may_resume());
    CHECK(it.place(run, std::nullopt) == event_place::next);
    CHECK(it.may_end(run));
}

TEST_CASE("an id behind an event without one contradicts it, and the next run repeats that event")
{
    stream_position it;
    auto first = it.begin_run();
    CHECK(it.place(first, std::nullopt) == event_place::next);
    CHECK(it.place(first, 2) == event_place::contradiction);
    CHECK(it.may_resume());
    auto second = it.begin_run();
    CHECK(second.after == std::nullopt);
    CHECK(it.place(second, 1) == event_place::repeat);
    CHECK(it.place(second, 2) == event_place::next);
}

TEST_CASE("a run that contradicts only itself throws no doubt on the event of another run")
{
    stream_position it{50};
    auto first = it.begin_run();
    CHECK(it.place(first, 60) == event_place::next);
    auto second = it.begin_run();
    CHECK(it.place(second, 60) == event_place::repeat);
    CHECK(it.place(second, 60) == event_place::contradiction);
    auto third = it.begin_run();
    CHECK(it.place(third, 55) == event_place::contradiction);
}

TEST_CASE("a stream is not complete if a run ends before it has repeated the event that the caller has")
{
    stream_position it;
    auto first = it.begin_run();
    CHECK(it.place(first, 1) == event_place::next);
    CHECK(it.place(first, 2) == event_place::next);
    auto second = it.begin_run();
    CHECK(second.after == 1);
    CHECK_FALSE(it.may_end(second));
    CHECK(it.place(second, 2) == event_place::repeat);
    CHECK(it.may_end(second));
}

TEST_CASE("a run behind the caller's id may repeat earlier events only up to that one")
{
    stream_position it{6};
    auto short_of = it.begin_run();
    CHECK(it.place(short_of, 4) == event_place::repeat);
    CHECK(it.place(short_of, 5) == event_place::repeat);
    CHECK_FALSE(it.may_end(short_of));
    CHECK(it.place(short_of, 7) == event_place::contradiction);
    auto whole = it.begin_run();
    CHECK(it.place(whole, 5) == event_place::repeat);
    CHECK(it.place(whole, 6) == event_place::repeat);
    CHECK(it.place(whole, 7) == event_place::next);
    CHECK(it.may_end(whole));
}

TEST_CASE("random streams with a wrong id in each of their runs end as complete only with each event once")
{
    std::mt19937_64 random{1};
    const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    std::size_t whole = 0;
    for (int n = 0; n < 200'000; ++n)
    {
        const auto& truth = streams[pick(streams.size())];
        const auto event = pick(truth.size());
        stream_trial it{truth, {}, spoiling{pick(3), event, pick(2 * truth.back())}, {}};
        for (std::size_t run = 0; run < 3; ++run)
            it.cuts.push_back(pick(2 * truth.size()));
        it.max_runs = 4;
        if (const auto first = pick(truth.size()); first > 0)
            it.caller_has = truth[first - 1];
        const auto out = it.deliver();
        INFO("history " << n);
        whole += out.is_complete ? 1 : 0;
        if (out.is_complete)
            REQUIRE(out.has_each_once(it.first_event(it.caller_has), truth.size()));
    }
    CHECK(whole > 0);
}
