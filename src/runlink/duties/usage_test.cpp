#include <catch2/catch.hpp>

#include <vector>

#include "runlink/duties/load_sum.hpp"
#include "runlink/duties/usage_counter.hpp"
#include "runlink/duties/usage_reporter.hpp"
#include "runlink/duties/wall_time_estimate.hpp"

using namespace runlink;
using namespace runlink::duties;

namespace
{

const core::account_id acme{"acme"};
const core::account_id zeta{"zeta"};
constexpr milliseconds wall_start{1'000'000};

usage_report report_of(const char* process, std::uint64_t window, std::uint64_t n)
{
    return {core::instance_id{process},
            core::incarnation_id{process},
            {{window_number{window}, {{acme, n}}}},
            {}};
}

/// A reporter whose store and platform answer when the test says so.
struct reporter_under_test
{
    core::manual_clock clock;
    report_options options;
    bool holds = true;
    account_counts counts{{acme, 3}};
    std::vector<usage_record> written;
    std::vector<window_counts> sent;
    std::function<void(write_result)> answer_write;
    std::function<void(call_outcome)> answer_call;
    usage_reporter it{options,
                      {[this](time_point) { return holds; }, [this](window_number) { return counts; },
                       [this](const usage_record& e, std::function<void(write_result)> done)
                       {
                           written.push_back(e);
                           answer_write = std::move(done);
                       },
                       [this](const window_counts& e, std::function<void(call_outcome)> done)
                       {
                           sent.push_back(e);
                           answer_call = std::move(done);
                       },
                       clock.source()}};

    reporter_under_test() { it.on_listed(); }

    wall_time wall() const
    {
        return wall_start + std::chrono::floor<milliseconds>(clock.now().time_since_epoch());
    }
    void advance(milliseconds by)
    {
        for (milliseconds n{0}; n < by; n += milliseconds{50})
        {
            clock.advance(milliseconds{50});
            it.tick(clock.now(), wall());
        }
    }
    window_number first_window() const { return options.windows.window_at(wall_start); }
};

} // namespace

TEST_CASE("totals of a window are kept until its report is overdue")
{
    const window_options windows;
    usage_counter it{windows};
    it.count(wall_start, acme);
    it.count(wall_start, acme);
    it.count(wall_start + windows.length, zeta);
    const auto totals = it.totals(wall_start + windows.length);
    REQUIRE(totals.size() == 2);
    CHECK(totals[0].accounts == account_counts{{acme, 2}});
    const auto later = it.totals(wall_start + windows.length + windows.max_lateness);
    REQUIRE(later.size() == 1);
    CHECK(later[0].accounts == account_counts{{zeta, 1}});
}

TEST_CASE("repeated and reordered totals count once, those of a restarted process again")
{
    const window_options windows;
    usage_collector it{windows};
    const auto at = windows.end_of(window_number{5});
    it.on_report(at, report_of("a/1", 5, 4));
    it.on_report(at, report_of("a/1", 5, 6));
    it.on_report(at, report_of("a/1", 5, 4));
    it.on_report(at, report_of("a/2", 5, 1));
    it.on_report(at, report_of("b/1", 5, 2));
    CHECK(it.sum(window_number{5}) == account_counts{{acme, 9}});
    CHECK(it.sum(window_number{6}).empty());
}

TEST_CASE("the load of a service is the sum of the latest reports of all processes")
{
    load_sum it;
    const core::service_id pool{"pool"};
    const time_point now{core::seconds{5}};
    auto report = report_of("a", 1, 0);
    report.loads = {{pool, 4}};
    it.on_report(now, report);
    report.process = core::incarnation_id{"b"};
    report.loads = {{pool, 2}};
    it.on_report(now + core::seconds{3}, report);
    CHECK(it.running(now + core::seconds{3}, pool) == 6);
    CHECK(it.running(now + core::seconds{5}, pool) == 2); // the first process has gone silent
}

TEST_CASE("a jump of the wall clock is ignored unless it lasts")
{
    const wall_time_options options;
    wall_time_estimate it{options};
    time_point now{core::seconds{10}};
    it.observe(now, wall_start);
    now += core::seconds{1};
    it.observe(now, wall_start + core::seconds{5});
    CHECK(it.at(now) == wall_start + core::seconds{1});
    it.observe(now + core::seconds{1}, wall_start + core::seconds{2});
    CHECK(it.at(now + core::seconds{1}) == wall_start + core::seconds{2});
    it.observe(now, wall_start + core::seconds{5});
    it.observe(now + options.jump_patience, wall_start + core::seconds{5} + options.jump_patience);
    CHECK(it.at(now) == wall_start + core::seconds{5});
}

TEST_CASE("the counts of a window are stored before they are sent")
{
    reporter_under_test by;
    by.it.on_acquired(by.clock.now());
    by.advance(by.options.windows.length + milliseconds{3000});
    CHECK(by.written.empty());
    by.advance(milliseconds{1000});
    REQUIRE(by.written.size() == 1);
    CHECK(by.sent.empty());
    CHECK(by.written[0].reports == std::vector<window_counts>{{by.first_window(), by.counts}});
    by.answer_write({write_result::outcome::committed, 4});
    by.counts[acme] = 5; // counts that arrive later do not change the report
    by.advance(by.options.spread_time - milliseconds{100});
    CHECK(by.sent.empty()); // the other instances learn of the report first
    by.advance(milliseconds{400});
    REQUIRE(by.sent.size() == 1);
    by.answer_call(call_outcome::unanswered);
    by.advance(milliseconds{1000});
    REQUIRE(by.sent.size() == 2);
    CHECK(by.sent[1] == by.sent[0]);
    CHECK(by.sent[0].accounts == account_counts{{acme, 3}});
    by.answer_call(call_outcome::accepted);
    by.advance(milliseconds{1000});
    CHECK(by.sent.size() == 2);
}

TEST_CASE("a new holder repeats a stored report and goes on with the next window")
{
    reporter_under_test by;
    by.counts = {{acme, 8}};
    by.advance(milliseconds{100});
    const window_counts stored{by.first_window(), {{acme, 7}}};
    by.it.on_record(by.clock.now(), {{stored}, 9});
    by.advance(milliseconds{500});
    REQUIRE(by.sent.size() == 1);
    CHECK(by.sent[0] == stored);
    by.answer_call(call_outcome::accepted);
    by.advance(2 * by.options.windows.length + milliseconds{4000});
    REQUIRE(by.written.size() == 1);
    CHECK(by.written[0].revision == 9);
    REQUIRE(by.written[0].reports.size() == 2);
    CHECK(by.written[0].reports[1].window == window_number{by.first_window().value() + 1});
}

TEST_CASE("without the lease, and for windows that are overdue, nothing is stored or sent")
{
    reporter_under_test by;
    by.holds = false;
    by.advance(by.options.windows.length + by.options.windows.max_lateness);
    CHECK(by.written.empty());
    by.holds = true;
    by.advance(milliseconds{300});
    REQUIRE(by.written.size() == 1);
    CHECK(by.written[0].reports[0].window > by.first_window());
}

TEST_CASE(
    "a write that failed is repeated with the counts of then, and a conflict yields to the stored report")
{
    reporter_under_test by;
    by.advance(by.options.windows.length + milliseconds{4000});
    REQUIRE(by.written.size() == 1);
    by.answer_write({write_result::outcome::unknown, 0});
    by.counts[acme] = 4;
    by.advance(milliseconds{1000});
    REQUIRE(by.written.size() == 2);
    CHECK(by.written[1].revision == 0);
    by.answer_write({write_result::outcome::conflict, 0});
    by.it.on_record(by.clock.now(), {{{by.first_window(), {{acme, 3}}}}, 2});
    by.advance(milliseconds{1000});
    REQUIRE(by.sent.size() == 1);
    CHECK(by.sent[0].accounts == account_counts{{acme, 3}});
}

TEST_CASE("a successor reports the windows that ended after the last stored report")
{
    reporter_under_test by;
    by.holds = false;
    const window_counts stored{window_number{by.first_window().value() - 1}, {{acme, 7}}};
    by.it.on_record(by.clock.now(), {{stored}, 9});
    by.advance(by.options.windows.length + milliseconds{4500});
    by.holds = true;
    by.advance(milliseconds{500});
    REQUIRE(by.sent.size() == 1);
    by.answer_call(call_outcome::accepted);
    by.advance(milliseconds{500});
    REQUIRE(by.written.size() == 1);
    CHECK(by.written[0].reports.back().window == by.first_window());
}

TEST_CASE("a report that the store has lost is written again by those that know it, and sent as it was")
{
    const auto at = [](std::uint64_t era, std::uint64_t number) {
        return core::store_revision{core::store_era{era}, number};
    };
    reporter_under_test by;
    by.holds = false;
    by.counts = {{acme, 8}};
    by.advance(milliseconds{100});
    const window_counts older{window_number{by.first_window().value() - 1}, {{acme, 5}}};
    const window_counts lost{by.first_window(), {{acme, 7}}};
    by.it.on_record(by.clock.now(), {{older, lost}, at(1, 9)});
    SECTION("the copy holds an older record")
    {
        by.it.on_record(by.clock.now(), {{older}, at(2, 6)});
    }
    SECTION("the copy holds none")
    {
        by.it.on_record_lost(by.clock.now());
    }
    by.advance(milliseconds{500});
    REQUIRE(by.written.size() == 1);
    CHECK(by.written[0].reports == std::vector{older, lost});
    by.answer_write({write_result::outcome::committed, at(2, 12)});
    by.holds = true;
    by.advance(milliseconds{1500});
    REQUIRE(by.sent.size() == 1);
    by.answer_call(call_outcome::accepted);
    by.advance(milliseconds{500});
    CHECK(by.sent == std::vector{older, lost});
}

TEST_CASE("a lost report that another instance has written again is not written once more")
{
    const auto at = [](std::uint64_t era, std::uint64_t number) {
        return core::store_revision{core::store_era{era}, number};
    };
    reporter_under_test by;
    by.holds = false;
    by.it.set_restore_delay(milliseconds{400});
    by.advance(milliseconds{100});
    const window_counts lost{by.first_window(), {{acme, 7}}};
    by.it.on_record(by.clock.now(), {{lost}, at(1, 9)});
    by.it.on_record_lost(by.clock.now());
    by.advance(milliseconds{200});
    by.it.on_record(by.clock.now(), {{lost}, at(2, 4)});
    by.advance(milliseconds{1000});
    CHECK(by.written.empty());
}
