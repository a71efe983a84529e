#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

#include "runlink/crashes/crash_attribution.hpp"

using namespace runlink;
using namespace runlink::crashes;

namespace
{

constexpr request_fingerprint guilty{1};
constexpr request_fingerprint innocent{2};
constexpr milliseconds run_time{400};
constexpr std::size_t endpoint_count = 18;

/// An instance, its clock, and what it said.
struct observer
{
    time_point now{core::seconds{1000}};
    std::vector<crash_news> told;
    std::vector<request_fingerprint> suspected;
    std::vector<request_fingerprint> condemned;
    crash_attribution it;

    explicit observer(attribution_options options = {}, std::uint64_t self = 1)
        : it{std::move(options), self, make_hooks()}
    {
        it.watch(now, endpoint_count);
        pass(milliseconds{2000});
    }

    crash_attribution::hooks make_hooks()
    {
        crash_attribution::hooks out;
        out.tell = [this](const crash_news& e) { told.push_back(e); };
        out.suspected = [this](time_point, request_fingerprint e) { suspected.push_back(e); };
        out.condemned = [this](time_point, request_fingerprint e, bool) { condemned.push_back(e); };
        return out;
    }

    void pass(milliseconds time)
    {
        const auto end = now + time;
        for (; now < end; now += milliseconds{10})
            it.tick(now);
    }

    /// These requests run at an endpoint when it ends.
    void end(std::uint64_t endpoint, const std::vector<request_fingerprint>& running)
    {
        const auto sent_at = now;
        pass(run_time);
        for (const auto e : running)
            it.on_broken(now, e, endpoint_life{endpoint}, sent_at);
        it.on_ended(now, endpoint_life{endpoint});
        pass(it.options().gather + milliseconds{10});
    }

    /// The request is tried at an endpoint, which ends.
    void try_and_end(request_fingerprint e, std::uint64_t endpoint)
    {
        pass(it.options().turn_spread);
        REQUIRE(it.judge(now, e) == permission::alone);
        it.begin_trial(now, e, endpoint_life{endpoint});
        end(endpoint, {e});
        pass(it.options().verdict_delay + milliseconds{10});
    }
};

} // namespace

TEST_CASE("a request under which two endpoints ended runs alone, and a third end convicts it")
{
    observer by;
    by.end(1, {guilty, innocent});
    CHECK(by.it.judge(by.now, guilty) == permission::free);
    by.end(2, {guilty});
    CHECK(by.suspected == std::vector{guilty});
    by.try_and_end(guilty, 3);
    CHECK(by.condemned == std::vector{guilty});
    CHECK(by.it.judge(by.now, guilty) == permission::refused);
    CHECK(by.it.judge(by.now, innocent) == permission::free);
    CHECK(by.it.standing_of(by.now, innocent).ends == 0); // the harmful one explains it
}

TEST_CASE("while a suspect is tried no other copy runs, and nothing else goes there")
{
    observer by;
    by.end(1, {guilty});
    by.end(2, {guilty});
    by.pass(by.it.options().turn_spread);
    by.it.begin_trial(by.now, guilty, endpoint_life{3});
    CHECK(by.it.judge(by.now, guilty) == permission::waits);
    CHECK(by.it.on_trial(by.now) == std::set{endpoint_life{3}});

    observer other{{}, 2};
    for (const auto& e : by.told)
        other.it.on_news(other.now, e);
    CHECK(other.it.judge(other.now, guilty) == permission::waits);
    CHECK(other.it.on_trial(other.now) == std::set{endpoint_life{3}});
    other.pass(other.it.options().trial_silence + milliseconds{500});
    CHECK(other.it.judge(other.now, guilty) == permission::alone); // its owner is gone
}

TEST_CASE("a whole answer clears a suspect at every instance")
{
    observer by;
    observer other{{}, 2};
    by.end(1, {innocent});
    by.end(2, {innocent});
    by.it.on_answered(by.now, innocent);
    CHECK(by.it.judge(by.now, innocent) == permission::free);
    for (const auto& e : by.told)
        other.it.on_news(other.now, e);
    CHECK(other.it.judge(other.now, innocent) == permission::free);
}

TEST_CASE("a request that was answered after an attempt began did not end that attempt's endpoint")
{
    observer by;
    const auto sent_at = by.now;
    by.it.on_answered(by.now + milliseconds{5}, innocent);
    by.pass(run_time);
    by.it.on_broken(by.now, innocent, endpoint_life{1}, sent_at);
    by.it.on_ended(by.now, endpoint_life{1});
    by.pass(milliseconds{50});
    CHECK(by.it.standing_of(by.now, innocent).ends == 0);
    CHECK(by.told.empty());
}

TEST_CASE("connections that break while their endpoint lives count for nothing")
{
    observer by;
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        by.it.on_broken(by.now, innocent, endpoint_life{n}, by.now);
        by.it.on_not_ended(by.now, endpoint_life{n});
    }
    CHECK(by.it.judge(by.now, innocent) == permission::free);
}

TEST_CASE("a copy waits while it is not known why the connection of another one broke")
{
    observer by;
    by.end(1, {guilty});
    by.it.on_broken(by.now, guilty, endpoint_life{2}, by.now);
    CHECK(by.it.judge(by.now, guilty) == permission::waits);
    by.it.on_not_ended(by.now, endpoint_life{2});
    CHECK(by.it.judge(by.now, guilty) == permission::free);
}

TEST_CASE("where many endpoints end at one moment, no request is counted or told")
{
    observer by;
    const auto sent_at = by.now;
    by.pass(run_time);
    for (std::uint64_t n = 0; n <= by.it.options().most_ends_at_once; ++n)
    {
        by.it.on_broken(by.now, innocent, endpoint_life{n}, sent_at);
        by.it.on_ended(by.now, endpoint_life{n});
    }
    by.pass(milliseconds{50});
    CHECK(by.told.empty());
    CHECK(by.it.judge(by.now, innocent) == permission::free);
}

TEST_CASE("an end that instances report one by one counts once")
{
    observer by;
    for (int n = 0; n < 3; ++n)
        by.it.on_news(by.now, {{{endpoint_life{1}, {{guilty, run_time}}}}, {}, {}});
    CHECK(by.it.standing_of(by.now, guilty).ends == 1);
}

TEST_CASE("two suspects at one endpoint are not told apart there")
{
    observer by;
    for (std::uint64_t n = 1; n <= 2; ++n)
        by.end(n, {guilty, innocent});
    by.pass(by.it.options().turn_spread);
    by.it.begin_trial(by.now, innocent, endpoint_life{3});
    by.end(3, {guilty, innocent}); // a copy of the guilty one was on its way there
    by.pass(by.it.options().verdict_delay + milliseconds{10});
    CHECK(by.condemned.empty());
    by.try_and_end(guilty, 4);
    CHECK(by.condemned == std::vector{guilty});
    by.it.on_answered(by.now, innocent);
    CHECK(by.it.judge(by.now, innocent) == permission::free);
}

TEST_CASE("where endpoints end all the time, three ends convict no long stream")
{
    observer by;
    for (std::uint64_t n = 100; n < 120; ++n)
    {
        by.it.on_news(by.now, {{{endpoint_life{n}, {}}}, {}, {}});
        by.pass(milliseconds{100});
    }
    for (std::uint64_t n = 1; n <= 2; ++n)
        by.it.on_news(by.now, {{{endpoint_life{n}, {{innocent, milliseconds{3000}}}}}, {}, {}});
    by.try_and_end(innocent, 3);
    CHECK(by.condemned.empty());
}

TEST_CASE("among many requests, one that is cut three times where endpoints end now and then is no culprit")
{
    // One endpoint of eighteen ended every two seconds. A long stream was cut by three of them, its trial by
    // the last, and refused: that is as unlikely as one in a hundred thousand for each request, and many
    // came.
    constexpr std::uint64_t requests = 160;
    observer by;
    for (std::uint64_t n = 0; n < requests; ++n)
    {
        if (n % 80 == 0)
            by.it.on_news(by.now, {{{endpoint_life{100 + n}, {}}}, {}, {}});
        by.it.on_answered(by.now, request_fingerprint{1000 + n});
        by.pass(milliseconds{50});
    }
    for (std::uint64_t n = 1; n <= 2; ++n)
        by.end(n, {innocent});
    by.try_and_end(innocent, 3);
    CHECK(by.condemned.empty());
}

TEST_CASE("where no other endpoint ends, three ends convict among many requests")
{
    constexpr std::uint64_t requests = 160;
    observer by;
    for (std::uint64_t n = 0; n < requests; ++n)
    {
        by.it.on_answered(by.now, request_fingerprint{1000 + n});
        by.pass(milliseconds{50});
    }
    for (std::uint64_t n = 1; n <= 2; ++n)
        by.end(n, {guilty});
    by.try_and_end(guilty, 3);
    CHECK(by.condemned == std::vector{guilty});
}

TEST_CASE("ends that another suspect has probably caused hide no harmful request")
{
    constexpr request_fingerprint other{3};
    observer by;
    for (std::uint64_t n = 1; n <= 2; ++n)
        by.end(n, {guilty});
    for (std::uint64_t n = 11; n <= 14; ++n)
        by.it.on_news(by.now, {{{endpoint_life{n}, {{other, run_time}}}}, {}, {}});
    by.it.on_news(by.now, {{}, {{other, endpoint_life{15}}}, {}}); // an instance tries it
    by.it.on_news(by.now, {{{endpoint_life{15}, {{other, run_time}}}}, {}, {}});
    by.try_and_end(guilty, 3);
    CHECK(by.condemned == std::vector{guilty});
}

TEST_CASE("trials without a finding come to an end")
{
    observer by;
    by.end(1, {guilty});
    by.end(2, {guilty});
    for (std::uint32_t n = 0; n < by.it.options().most_trials; ++n)
    {
        by.pass(by.it.options().turn_spread);
        REQUIRE(by.it.judge(by.now, guilty) == permission::alone);
        by.it.begin_trial(by.now, guilty, endpoint_life{10 + n});
        by.it.end_trial(by.now, guilty, endpoint_life{10 + n}, true);
    }
    CHECK(by.it.judge(by.now, guilty) == permission::refused);
}

TEST_CASE("a finding holds for its time, and one trial follows")
{
    observer by;
    by.it.on_recorded(by.now, guilty);
    CHECK(by.it.judge(by.now, guilty) == permission::refused);
    by.now += by.it.options().harmful_for;
    CHECK(by.it.take_expired(by.now) == std::vector{guilty});
    by.it.expire(by.now);
    CHECK(by.it.judge(by.now, guilty) == permission::alone);
    by.it.on_answered(by.now, guilty); // a later version bears it
    CHECK(by.it.judge(by.now, guilty) == permission::free);
}

TEST_CASE("a finding is told again, since datagrams may be lost")
{
    observer by;
    by.end(1, {guilty});
    by.end(2, {guilty});
    by.try_and_end(guilty, 3);
    by.pass(milliseconds{1500});
    const auto findings =
        std::count_if(by.told.begin(), by.told.end(), [](const auto& e) { return !e.findings.empty(); });
    CHECK(findings == 3);
}

TEST_CASE("what a harmful request explains is told again to those who missed it")
{
    // An instance had not heard that a suspect was at an endpoint that ended, since a datagram was lost, and
    // counted that end against a long stream of its own. The suspect was condemned; nobody told of it again.
    observer witness;
    observer by{{}, 2};
    witness.end(1, {guilty});
    witness.told.clear(); // lost
    by.end(1, {innocent});
    by.end(2, {innocent});
    by.it.on_recorded(by.now, guilty);
    CHECK(by.it.standing_of(by.now, innocent).ends == 2);

    witness.it.on_recorded(witness.now, guilty);
    SECTION("at once") {}
    SECTION("before a verdict that waits for it")
    {
        witness.told.clear(); // lost as well
        witness.pass(witness.it.options().verdict_delay);
    }
    for (const auto& e : witness.told)
        by.it.on_news(by.now, e);
    CHECK(by.it.standing_of(by.now, innocent).ends == 1);
    CHECK(by.it.judge(by.now, innocent) == permission::free);
}

TEST_CASE("an end under a request that is known to be harmful is told again")
{
    observer witness;
    witness.it.on_recorded(witness.now, guilty);
    witness.end(1, {guilty, innocent}); // a copy that was under way
    witness.told.clear();               // lost
    witness.pass(witness.it.options().verdict_delay);

    observer by{{}, 2};
    by.it.on_recorded(by.now, guilty);
    by.end(1, {innocent});
    CHECK(by.it.standing_of(by.now, innocent).ends == 1);
    for (const auto& e : witness.told)
        by.it.on_news(by.now, e);
    CHECK(by.it.standing_of(by.now, innocent).ends == 0);
}

TEST_CASE("ends under a suspect are told again, since who tries it judges by them")
{
    observer witness;
    observer by{{}, 2};
    SECTION("those of before, when it becomes a suspect")
    {
        witness.end(1, {guilty});
        witness.told.clear(); // lost
        witness.it.on_news(witness.now, {{{endpoint_life{2}, {{guilty, run_time}}}}, {}, {}});
    }
    SECTION("those of later, before a verdict that waits for it")
    {
        for (std::uint64_t n = 2; n <= 3; ++n)
            witness.it.on_news(witness.now, {{{endpoint_life{n}, {{guilty, run_time}}}}, {}, {}});
        witness.end(1, {guilty});
        witness.told.clear();
        witness.pass(witness.it.options().verdict_delay);
    }
    for (const auto& e : witness.told)
        by.it.on_news(by.now, e);
    CHECK(by.it.standing_of(by.now, guilty).ends == 1);
}

TEST_CASE("an account that fills the memory loses its own records")
{
    attribution_options options;
    options.most_requests = 10;
    observer by{options};
    const core::account_id other{"other"};
    const core::account_id attacker{"attacker"};
    const auto kept = fingerprint_of(content_hash{7}, other);
    by.end(1, {kept});
    for (std::uint64_t n = 0; n < 50; ++n)
        by.end(100 + n, {fingerprint_of(content_hash{n}, attacker)});
    CHECK(by.it.size() <= options.most_requests);
    CHECK(by.it.standing_of(by.now, kept).ends == 1);
}

TEST_CASE("a fingerprint names content and account, and reads back from its text")
{
    const auto content = hash_of("POST", "h", "/x", "body");
    CHECK(content != hash_of("POST", "h", "/x", "other body"));
    CHECK(content != hash_of("PUT", "h", "/x", "body"));
    const auto it = fingerprint_of(content, core::account_id{"a"});
    CHECK(it != fingerprint_of(content, core::account_id{"b"}));
    CHECK(from_hex(to_hex(it)) == it);
    CHECK_FALSE(from_hex("12"));
    CHECK_FALSE(from_hex("zz23456789abcdef"));
}
