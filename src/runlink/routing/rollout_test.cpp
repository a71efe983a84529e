// Tests of the roll-out steps, the evidence against versions, and the exposure before a verdict.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "runlink/routing/rollout_control.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr time_point start{core::seconds{1000}};

version_sample make_sample(const std::string& version, const std::string& endpoint, bool is_bad)
{
    version_sample out;
    out.service = core::service_id{"s"};
    out.version = core::version_id{version};
    out.endpoint = core::endpoint_id{endpoint};
    out.group.route = "r";
    out.is_bad = is_bad;
    return out;
}

void add_sample(rollout_control& to, const version_sample& it, time_point now = start)
{
    answer_counts counted;
    to.on_sample(now, it, counted);
}

/// Evidence of one instance with flawed answers of two endpoints.
std::vector<version_evidence> make_evidence(std::uint32_t all, std::uint32_t failed,
                                            const core::store_revision& order_revision)
{
    return {{core::service_id{"s"},
             order_revision,
             {"r", {}},
             {all, {failed, 0, 0, 0}},
             {},
             {endpoint_hash{1}, endpoint_hash{2}},
             {}}};
}

rollout_control make_rollout(std::string* verdict)
{
    rollout_control out{{}, 0};
    out.on_verdict = [verdict](const auto&, const version_fault& why) { *verdict = to_string(why); };
    return out;
}

/// Result of a simulated roll-out without a detectable fault, with instances that share one record.
struct rollout_run
{
    std::uint64_t all = 0;     ///< requests between the order and its deadline
    std::uint64_t exposed = 0; ///< of these, requests to the new version
    bool is_done = false;      ///< declared good before the deadline
    bool jumped_early = false; ///< full share in the first half
};

rollout_run run_rollout(milliseconds allowed, const std::function<int(milliseconds)>& requests_in_100_ms)
{
    constexpr int instances = 7;
    constexpr milliseconds step{100};
    const rollout_order of{core::service_id{"s"}, core::version_id{"v2"}, allowed, 5};
    std::vector<rollout_control> all;
    for (int n = 0; n < instances; ++n)
        all.emplace_back(rollout_options{}, static_cast<std::uint64_t>(n) * 70);
    for (auto& it : all)
        it.on_order(start, of);
    rollout_run out;
    std::uint64_t revision = of.revision.number;
    std::uint64_t session = 0;
    for (milliseconds t{0}; t < allowed; t += step)
    {
        for (int n = 0; n < requests_in_100_ms(t); ++n)
        {
            auto& by = all[static_cast<std::size_t>(n % instances)];
            const auto choice = by.choose(of.service, session_hash{session++ * 37}, std::nullopt);
            const bool is_new = choice.only == of.target;
            by.on_sent(of.service, is_new ? of.target : core::version_id{"v1"});
            ++out.all;
            out.exposed += is_new ? 1 : 0;
        }
        std::vector<rollout_record> writes;
        for (auto& it : all)
            for (const auto& e : it.due(start + t))
                writes.push_back(e);
        if (writes.empty())
            continue;
        writes.front().revision = ++revision;
        out.jumped_early |= writes.front().share_percent == 100 && t < allowed / 2;
        out.is_done |= writes.front().state == rollout_state::succeeded;
        for (auto& it : all)
            it.on_record(start + t, writes.front());
    }
    return out;
}

const rollout_order order{core::service_id{"s"}, core::version_id{"v2"}, milliseconds{24000}, 5};

} // namespace

TEST_CASE("a version is rejected for failures at two endpoints, not for failures at one")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    for (int n = 0; n < 5; ++n)
        add_sample(it, make_sample("v2", "e1", true));
    CHECK(verdict.empty());
    add_sample(it, make_sample("v2", "e2", true));
    CHECK_FALSE(verdict.empty());
    CHECK(it.choose(order.service, session_hash{0}, std::nullopt).excluded == order.target);
}

TEST_CASE("a roll-back that all instances decide at once is written by those that follow the store")
{
    constexpr int instances = 295;
    constexpr int relays = 5;
    const auto bad = make_evidence(9, 9, order.revision);
    std::vector<rollout_control> all;
    for (int n = 0; n < instances; ++n)
    {
        all.emplace_back(rollout_options{}, static_cast<std::uint64_t>(n) * 31);
        all.back().set_follows_store(n < relays);
        all.back().on_order(start, order);
        all.back().on_peer_evidence(start, core::instance_id{"x"}, bad);
        CHECK(all.back().choose(order.service, session_hash{0}, std::nullopt).excluded == order.target);
    }
    const auto writes_at = [&](milliseconds t)
    {
        std::size_t out = 0;
        for (auto& it : all)
            out += it.due(start + t).size();
        return out;
    };
    CHECK(writes_at(milliseconds{0}) == relays);
    std::size_t later = 0;
    for (milliseconds t{10}; t < milliseconds{600}; t += milliseconds{10})
        later += writes_at(t);
    CHECK(later == 0); // by then all instances know of the write
    // If no relay reaches the store, another instance writes.
    for (milliseconds t{600}; t < milliseconds{1300}; t += milliseconds{10})
        later += writes_at(t);
    CHECK(later > 0);
}

TEST_CASE("evidence of peers is pooled, with only the latest report of each peer")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    const auto e = make_evidence(5, 3, order.revision);
    it.on_peer_evidence(start, core::instance_id{"b"}, e);
    it.on_peer_evidence(start, core::instance_id{"b"}, e);
    CHECK(verdict.empty());
    it.on_peer_evidence(start, core::instance_id{"c"}, make_evidence(5, 3, order.revision.next()));
    CHECK(verdict.empty()); // the evidence belongs to another order
    it.on_peer_evidence(start, core::instance_id{"c"}, e);
    CHECK_FALSE(verdict.empty());
}

TEST_CASE("a version that is several times slower than the old one is found faulty")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    for (int n = 0; n < 12; ++n)
    {
        auto old = make_sample("v1", "e1", false);
        old.pace = milliseconds{20};
        add_sample(it, old);
    }
    it.on_order(start, order);
    for (int n = 0; n < 12; ++n)
    {
        auto fresh = make_sample("v2", n % 2 == 0 ? "e2" : "e3", false);
        fresh.pace = milliseconds{160};
        add_sample(it, fresh);
    }
    CHECK_FALSE(verdict.empty());
}

TEST_CASE("one instance writes a step; the others have longer write delays and follow its record")
{
    rollout_control first{{}, 0};
    rollout_control second{{}, 300};
    first.on_order(start, order);
    second.on_order(start, order);
    const auto now = start + schedule_options{}.settle_time;
    const auto writes = first.due(now);
    REQUIRE(writes.size() == 1);
    CHECK(second.due(now).empty());
    auto record = writes[0];
    record.revision = 6;
    second.on_record(now + milliseconds{10}, record);
    CHECK(second.due(now + milliseconds{400}).empty());
    CHECK(second.choose(order.service, session_hash{0}, std::nullopt).only == order.target);
}

TEST_CASE("a process that starts during a roll-out takes over a record that is newer than the order")
{
    rollout_control it{{}, 0};
    it.on_record(start, {order.service, order.target, rollout_state::running, 100, 9});
    it.on_order(start, order);
    CHECK(it.choose(order.service, session_hash{99}, std::nullopt).only == order.target);
    rollout_control older{{}, 0};
    older.on_record(start, {order.service, order.target, rollout_state::rolled_back, 0, 3});
    older.on_order(start, order);
    CHECK(older.due(start + schedule_options{}.settle_time).size() == 1);
}

TEST_CASE("a roll-out begins with its first order, not with an unchanged rewrite of it")
{
    rollout_control it{{}, 0};
    CHECK(it.on_order(start, order));
    CHECK_FALSE(it.on_order(start, order));
    auto again = order;
    again.revision = again.revision.next();
    CHECK_FALSE(it.on_order(start, again));
    again.target = core::version_id{"v3"};
    again.revision = again.revision.next();
    CHECK(it.on_order(start, again));
}

// The rejected version's endpoints are still listed at that time.
TEST_CASE("a version that was rolled back gets no requests when the next roll-out is ordered")
{
    const rollout_record rejected{order.service, order.target, rollout_state::rolled_back, 0, 6};
    const rollout_order next{order.service, core::version_id{"v3"}, milliseconds{24000}, 7};
    const auto check = [&](const rollout_control& it)
    {
        const auto choice = it.choose(order.service, session_hash{0}, order.target);
        CHECK(choice.excluded == next.target);
        CHECK(choice.avoided == order.target);
    };
    rollout_control straight{{}, 0};
    straight.on_order(start, order);
    straight.on_record(start, rejected);
    straight.on_order(start, next);
    check(straight);
    rollout_control with_pause{{}, 0};
    with_pause.on_order(start, order);
    with_pause.on_record(start, rejected);
    with_pause.on_order_removed(order.service);
    with_pause.on_order(start, next);
    check(with_pause);
    rollout_control started_since{{}, 0};
    started_since.on_order(start, next);
    started_since.on_record(start, rejected);
    check(started_since);
    // A new order for the rejected version evaluates it from the start.
    rollout_control again{{}, 0};
    again.on_order(start, order);
    again.on_record(start, rejected);
    again.on_order(start, {order.service, order.target, milliseconds{24000}, 7});
    CHECK_FALSE(again.choose(order.service, session_hash{0}, std::nullopt).avoided);
}

TEST_CASE("the target of a successful roll-out is the old version of the next one")
{
    rollout_control it{{}, 0};
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::succeeded, 100, 6});
    const rollout_order next{order.service, core::version_id{"v3"}, milliseconds{24000}, 7};
    it.on_order(start, next);
    const auto choice = it.choose(order.service, session_hash{0}, std::nullopt);
    CHECK(choice.only == order.target);
    CHECK(choice.excluded == next.target);
}

TEST_CASE("a version with a large share of slow answers is found faulty")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    for (int n = 0; n < 20; ++n)
    {
        auto old = make_sample("v1", "e1", false);
        old.first = milliseconds{80};
        add_sample(it, old);
    }
    for (int n = 0; n < 150 && verdict.empty(); ++n) // at most 50 slow answers
    {
        auto fresh = make_sample("v2", n % 4 < 2 ? "e2" : "e3", false);
        fresh.first = milliseconds{n % 3 == 0 ? 900 : 90};
        add_sample(it, fresh);
    }
    CHECK_FALSE(verdict.empty());
}

TEST_CASE("a few slow answers are not enough to reject a version")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    for (int n = 0; n < 40; ++n)
    {
        auto old = make_sample("v1", "e1", false);
        old.pace = milliseconds{20};
        add_sample(it, old);
        auto fresh = make_sample("v2", "e2", false);
        fresh.pace = milliseconds{n % 8 == 0 ? 900 : 22};
        add_sample(it, fresh);
    }
    CHECK(verdict.empty());
}

TEST_CASE("a version with an undetected fault stays within the accepted exposure and completes in time")
{
    const auto accepted = [](const rollout_run& it) { return 0.15 * static_cast<double>(it.all) + 30; };
    const auto allowed =
        GENERATE(milliseconds{8000}, milliseconds{16000}, milliseconds{24000}, milliseconds{600000});
    const auto steady = run_rollout(allowed, [](milliseconds) { return 11; });
    CHECK(static_cast<double>(steady.exposed) <= accepted(steady));
    CHECK(steady.is_done);
    CHECK_FALSE(steady.jumped_early);
    // The request rate doubles towards the end.
    const auto rising = run_rollout(allowed, [&](milliseconds t) { return t > allowed * 4 / 5 ? 22 : 11; });
    CHECK(static_cast<double>(rising.exposed) <= accepted(rising));
    CHECK(rising.is_done);
}

TEST_CASE("a version with every sixth answer slow is rejected, as when half of the slow answers are detected")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    for (int n = 0; n < 40; ++n)
    {
        auto old = make_sample("v1", "e1", false);
        old.first = milliseconds{80};
        add_sample(it, old);
    }
    for (int n = 0; n < 300; ++n) // at most 50 slow answers
    {
        auto fresh = make_sample("v2", n % 4 < 2 ? "e2" : "e3", false);
        fresh.first = milliseconds{n % 6 == 5 ? 700 : 90};
        add_sample(it, fresh);
    }
    CHECK_FALSE(verdict.empty());
}

TEST_CASE("an unchanged rewrite of an order keeps the verdict")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    it.on_peer_evidence(start, core::instance_id{"b"}, make_evidence(9, 9, order.revision));
    REQUIRE_FALSE(verdict.empty());
    auto again = order;
    again.revision = 20;
    it.on_order(start + milliseconds{100}, again);
    CHECK(it.choose(order.service, session_hash{0}, std::nullopt).excluded == order.target);
    CHECK(it.due(start + milliseconds{1500}).at(0).state == rollout_state::rolled_back);
}

TEST_CASE("evidence is sent after a delay and repeated once, as datagrams may be lost")
{
    rollout_control it{{}, 0};
    it.on_order(start, order);
    CHECK_FALSE(it.evidence_due());
    add_sample(it, make_sample("v1", "e1", false));
    CHECK_FALSE(it.evidence_due());
    add_sample(it, make_sample("v2", "e2", false));
    const auto due = it.evidence_due();
    REQUIRE(due);
    CHECK(*due <= start + rollout_options{}.evidence_delay);
    CHECK(it.tell_evidence(*due - milliseconds{1}).empty());
    CHECK(it.tell_evidence(*due).size() == 1);
    REQUIRE(it.evidence_due());
    CHECK(it.tell_evidence(*it.evidence_due()).at(0).fresh.all == 1);
    CHECK_FALSE(it.evidence_due());
}

TEST_CASE("a deleted record is written again, conditional on its absence")
{
    rollout_control it{{}, 0};
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::running, 8, 9});
    it.on_peer_evidence(start, core::instance_id{"b"}, make_evidence(9, 9, order.revision));
    it.on_record_removed(start + milliseconds{10}, order.service);
    const auto writes = it.due(start + milliseconds{1000});
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].state == rollout_state::rolled_back);
    CHECK(writes[0].revision == 0);
}

TEST_CASE("a rolled-back version is avoided after the order is removed, while its endpoints are listed")
{
    rollout_control it{{}, 0};
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::rolled_back, 0, 9});
    it.on_order_removed(order.service);
    CHECK(it.choose(order.service, session_hash{0}, std::nullopt).avoided == order.target);
    rollout_control later{{}, 0}; // a process that starts after the order was removed
    later.on_record(start, {order.service, order.target, rollout_state::rolled_back, 0, 9});
    CHECK(later.choose(order.service, session_hash{0}, std::nullopt).avoided == order.target);
}

TEST_CASE("a version in doubt is not declared good, and is rejected shortly before the deadline")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::running, 8, 9});
    // More failures than a sound version has, but not enough for a verdict.
    it.on_peer_evidence(start, core::instance_id{"b"}, make_evidence(5, 3, order.revision));
    REQUIRE(verdict.empty());
    for (milliseconds t{0}; t < order.allowed - milliseconds{400}; t += milliseconds{50})
        CHECK(it.due(start + t).empty());
    const auto end = start + order.allowed - milliseconds{250};
    std::vector<rollout_record> writes;
    for (milliseconds t{0}; t < milliseconds{250} && writes.empty(); t += milliseconds{10})
        writes = it.due(end + t);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].state == rollout_state::rolled_back);
    CHECK_FALSE(verdict.empty());
}

TEST_CASE("a version with a few late failures is held back, and declared good if no more follow")
{
    std::string verdict;
    auto it = make_rollout(&verdict);
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::running, 100, 9});
    const auto late = start + order.allowed - milliseconds{1500};
    for (int n = 0; n < 400; ++n)
        add_sample(it, make_sample("v1", "e1", n < 4), start);
    for (int n = 0; n < 30; ++n)
        add_sample(it, make_sample("v2", n % 2 == 0 ? "e2" : "e3", n == 3 || n == 14 || n == 23), late);
    REQUIRE(verdict.empty());
    const auto end = start + order.allowed - milliseconds{300};
    for (auto t = end - milliseconds{600}; t < end; t += milliseconds{20})
        CHECK(it.due(t).empty());
    for (int n = 0; n < 20; ++n)
        add_sample(it, make_sample("v2", "e" + std::to_string(n), false), end);
    std::vector<rollout_record> writes;
    for (auto t = end; t < end + milliseconds{200} && writes.empty(); t += milliseconds{20})
        writes = it.due(t);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].state == rollout_state::succeeded);
}

TEST_CASE("a version is declared good after enough answers at the full share, else only near the deadline")
{
    const auto end = start + order.allowed - milliseconds{300};
    const auto answers = GENERATE(2, 60);
    rollout_control it{{}, 0};
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::running, 100, 9});
    for (int n = 0; n < answers; ++n)
        add_sample(it, make_sample("v2", "e" + std::to_string(n), false), start);
    std::optional<time_point> declared;
    for (auto t = end - milliseconds{600}; t < end + milliseconds{200} && !declared; t += milliseconds{20})
        if (!it.due(t).empty())
            declared = t;
    REQUIRE(declared);
    CHECK((*declared >= end) == (answers == 2));
}

TEST_CASE("a version that is declared good is used even by an instance that found it faulty")
{
    rollout_control it{{}, 0};
    it.on_order(start, order);
    it.on_peer_evidence(start, core::instance_id{"b"}, make_evidence(9, 9, order.revision));
    it.on_record(start, {order.service, order.target, rollout_state::succeeded, 100, 9});
    const auto choice = it.choose(order.service, session_hash{0}, std::nullopt);
    CHECK(choice.only == order.target);
    CHECK_FALSE(choice.excluded);
}

TEST_CASE("orders and records missing from a complete list are removed")
{
    rollout_control it{{}, 0};
    it.on_order(start, order);
    it.on_record(start, {order.service, order.target, rollout_state::running, 8, 9});
    it.on_listed(start, {order.service}, {order.service});
    REQUIRE(it.find(order.service) != nullptr);
    CHECK(it.find(order.service)->revision == 9);
    it.on_listed(start, {order.service}, {});
    CHECK(it.find(order.service)->revision == 0);
    it.on_listed(start, {}, {});
    CHECK(it.find(order.service) == nullptr);
}
