// Tests of the comparison between the answers of a new and an old version.

#include <random>

#include <catch2/catch.hpp>

#include "runlink/routing/answer_times.hpp"
#include "runlink/routing/rollout_schedule.hpp"
#include "runlink/routing/version_trial.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr core::time_point start{core::seconds{1000}};

answer_counts one(bool failed)
{
    answer_counts out{1, {}};
    out[answer_flaw::failed] = failed ? 1 : 0;
    return out;
}

/// Result of a simulated trial, which adds answers of both versions every second until the new version is
/// found faulty.
struct trial_run
{
    int failures = 0;
    bool is_found = false;
};

struct trial_case
{
    double fresh = 0; ///< failure rate of the new version
    double old = 0;   ///< failure rate of the old version
    int fresh_per_s = 24;
    int old_per_s = 276;
    int seconds = 16;
    int good_seconds = 0; ///< seconds before the new version's failures begin
};

trial_run run_trial(const trial_case& of, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const auto happens = [&](double share) { return std::uniform_real_distribution<>{0, 1}(random) < share; };
    version_trial it{{}};
    trial_run out;
    for (int s = 0; s < of.seconds; ++s)
    {
        const auto now = start + core::seconds{s};
        const core::endpoint_id old{"o" + std::to_string(random() % 100)};
        for (int n = 0; n < of.old_per_s; ++n)
            it.count(now, {"r", {}}, false, old, one(happens(of.old)));
        for (int n = 0; n < of.fresh_per_s && !out.is_found; ++n)
        {
            const bool failed = s >= of.good_seconds && happens(of.fresh);
            out.failures += failed ? 1 : 0;
            it.count(now, {"r", {}}, true, core::endpoint_id{"n" + std::to_string(random() % 100)},
                     one(failed));
            out.is_found = it.fault(now, trial_phase::first_share).has_value();
        }
    }
    return out;
}

} // namespace

TEST_CASE("a faulty version is detected before its fiftieth failed answer")
{
    const auto of = GENERATE(trial_case{0.5, 0}, trial_case{0.15, 0}, trial_case{0.1, 0},
                             trial_case{0.15, 0, 24, 276, 16, 9}, trial_case{0.5, 0, 24, 276, 16, 13},
                             trial_case{0.65, 0.3});
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed << ", failures " << of.fresh << " and " << of.old);
        const auto seen = run_trial(of, seed);
        CHECK(seen.is_found);
        CHECK(seen.failures < 50);
    }
}

TEST_CASE("a version with the failure rate of the old one is not found faulty")
{
    const auto share = GENERATE(0.0, 0.01, 0.1, 0.3);
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed)
        found += run_trial({share, share}, seed).is_found ? 1 : 0;
    INFO("share " << share);
    CHECK(found <= 1);
}

TEST_CASE(
    "flaws of one endpoint among several are not held against a version, those of its only endpoint are")
{
    version_trial it{{}};
    it.count(start, {"r", {}}, true, core::endpoint_id{"sound"}, one(false));
    for (int n = 0; n < 100; ++n)
        it.count(start, {"r", {}}, true, core::endpoint_id{"faulty"}, one(true));
    CHECK_FALSE(it.fault(start, trial_phase::first_share));
    version_trial alone{{}};
    for (int n = 0; n < 20; ++n)
        alone.count(start, {"r", {}}, true, core::endpoint_id{"only"}, one(true));
    CHECK(alone.fault(start, trial_phase::first_share));
}

TEST_CASE("a failing route is not hidden by sound answers on other routes")
{
    version_trial it{{}};
    for (int n = 0; n < 2000; ++n)
        for (const auto* route : {"a", "b", "c"})
            it.count(start, {route, {}}, false, core::endpoint_id{"o"}, one(false));
    for (int n = 0; n < 40; ++n)
        for (const auto* route : {"a", "b", "c"})
            it.count(start, {route, {}}, true, core::endpoint_id{"n" + std::to_string(n)},
                     one(*route == 'b' && n % 5 == 0));
    const auto why = it.fault(start, trial_phase::first_share);
    REQUIRE(why);
    CHECK(why->route == "b");
    CHECK(why->with_flaw == 8);
    CHECK(why->answers == 40);
}

TEST_CASE("a peer's report replaces its earlier one, and lower counts are those of a restarted process")
{
    version_trial it{{}};
    const core::instance_id peer{"p"};
    const auto say = [&](std::uint32_t all) {
        it.on_peer(start, peer, {{{}, 1, {"r", {}}, {all, {}}, {}, {}, {}}});
    };
    say(5);
    say(5);
    say(7);
    CHECK(it.fresh().all == 7);
    say(2);
    CHECK(it.fresh().all == 9);
}

TEST_CASE("the latest seconds are counted separately from the total")
{
    answer_window it;
    it.add(start, {10, {}});
    it.add(start + core::seconds{4}, {1, {}});
    CHECK(it.total().all == 11);
    CHECK(it.latest(start + core::seconds{4}, 5).all == 11);
    CHECK(it.latest(start + core::seconds{5}, 5).all == 1);
    CHECK(it.latest(start + core::seconds{60}, 5).all == 0);
}

TEST_CASE("an answer is slow compared with its expected time, or the typical time of its route")
{
    answer_times it;
    version_sample sample;
    sample.group.route = "r";
    sample.first = core::milliseconds{350};
    CHECK(it.classify(sample) == answer_counts{1, {0, 0, 0, 0}}); // no reference time yet
    sample.expected = core::milliseconds{100};
    CHECK(it.classify(sample) == answer_counts{1, {0, 1, 1, 0}});
    sample.expected = core::milliseconds{50};
    CHECK(it.classify(sample) == answer_counts{1, {0, 1, 1, 1}});
    sample.expected = core::milliseconds{1}; // below the lower limit of expected times
    sample.first = core::milliseconds{25};
    CHECK(it.classify(sample) == answer_counts{1, {0, 0, 0, 0}});
    sample.expected = {};
    for (std::size_t n = 0; n < typical_time::least_samples; ++n)
        it.learn(sample);
    sample.first = core::milliseconds{60};
    CHECK(it.classify(sample) == answer_counts{1, {0, 1, 0, 0}});
}

TEST_CASE("a pending answer counts as slow once it exceeds the limit")
{
    answer_times it;
    version_sample sample;
    sample.is_open = true;
    sample.expected = core::milliseconds{100};
    sample.first = core::milliseconds{120};
    CHECK(it.classify(sample).all == 0);
    sample.first = core::milliseconds{700};
    CHECK(it.classify(sample) == answer_counts{1, {0, 1, 1, 1}});
    sample.first = {};
    sample.is_stalled = true;
    CHECK(it.classify(sample) == answer_counts{1, {0, 1, 1, 1}});
}

TEST_CASE("all instances together keep the exposure slack")
{
    schedule_options options;
    options.exposure_slack = 30;
    const rollout_schedule it{options};
    const core::milliseconds allowed{15000};
    constexpr std::size_t instances = 91;
    // One request each would be three times the slack.
    CHECK_FALSE(it.may_expose(allowed, {0, 0, instances}));
    CHECK(it.may_expose(allowed, {0, 0, 7}));
    CHECK(it.may_expose(allowed, {3, 0, 7}));
    CHECK_FALSE(it.may_expose(allowed, {4, 0, 7}));
}

TEST_CASE("with few requests the new version gets all of them for longer, as the exposure slack allows")
{
    schedule_options options;
    options.exposure_slack = 30;
    const rollout_schedule it{options};
    const core::milliseconds allowed{14100};
    const auto many = it.last_part(allowed, 1000);
    const auto few = it.last_part(allowed, 10);
    CHECK(few >= many + core::milliseconds{2000});
    CHECK(it.last_part(allowed, 0) <= many);                       // not known
    CHECK(it.last_part(allowed, 0.1) <= core::milliseconds{6768}); // not in the first half
}

TEST_CASE("a route of a plain service with few answers is compared with all routes of the service")
{
    answer_times it;
    version_sample sample;
    sample.first = core::milliseconds{30};
    for (int n = 0; n < 12; ++n)
    {
        sample.group.route = "r" + std::to_string(n);
        it.learn(sample);
    }
    sample.group.route = "new";
    sample.first = core::milliseconds{100};
    CHECK(it.classify(sample)[answer_flaw::slow] == 1);
    sample.group.model = core::model_id{"m"};
    CHECK(it.classify(sample)[answer_flaw::slow] == 0);
}
