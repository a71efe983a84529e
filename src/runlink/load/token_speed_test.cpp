#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include "runlink/load/token_speed.hpp"

using namespace runlink;
using namespace runlink::load;

namespace
{

const core::model_id middle{"m"};
const core::model_id large{"l"};

/// Endpoints whose time per token is (2.6 ms + 0.12 ms x running) x `pace`, with scattered samples.
struct engines
{
    duration time(std::uint32_t running, double factor = 1)
    {
        const auto us = (2600 + 120.0 * running) * pace * factor * std::exp(scatter(random));
        return duration{std::llround(us)};
    }
    std::uint32_t running() { return count(random); }
    endpoint_hash endpoint() { return endpoint_hash{place(random)}; }

    double pace = 1;
    std::mt19937 random{7};
    std::normal_distribution<double> scatter{0, 0.15};
    std::uniform_int_distribution<std::uint32_t> count{2, 50};
    std::uniform_int_distribution<std::uint64_t> place{1, 60};
};

/// Ratio of an estimate to its true value.
double ratio(duration estimate, double true_us)
{
    return static_cast<double>(estimate.count()) / true_us;
}

} // namespace

TEST_CASE("the time per token is a line by running streams, learned from scattered samples")
{
    // Guards against a time per token that ignores the load: it triples between 0 and 50 streams.
    for (const double pace : {0.3, 0.8, 3.0})
    {
        engines real;
        real.pace = pace;
        token_speed it;
        for (int n = 0; n < 200; ++n)
        {
            const auto running = real.running();
            it.observe(middle, real.endpoint(), running, real.time(running));
        }
        const endpoint_hash unsampled{99};
        for (const std::uint32_t running : {5, 25, 50})
            CHECK(ratio(it.per_token(middle, unsampled, running), (2600 + 120.0 * running) * pace) ==
                  Approx(1).epsilon(0.12));
        CHECK(ratio(it.per_stream(middle, unsampled), 120 * pace) == Approx(1).epsilon(0.3));
    }
}

TEST_CASE("another slope than the initial one is learned")
{
    // Guards against a prior so strong that an engine whose speed does not depend on its load seems to slow
    // down, which would spread streams without need.
    engines real;
    token_speed it;
    for (int n = 0; n < 200; ++n)
        it.observe(middle, real.endpoint(), real.running(), milliseconds{4});
    CHECK(it.per_stream(middle, endpoint_hash{1}) < duration{25});
    CHECK(ratio(it.per_token(middle, endpoint_hash{1}, 50), 4000) == Approx(1).epsilon(0.1));
    CHECK(ratio(it.per_token(middle, endpoint_hash{1}, 2), 4000) == Approx(1).epsilon(0.1));
}

TEST_CASE("before samples the initial line counts, for each endpoint")
{
    const token_speed it;
    CHECK(it.per_token(middle, endpoint_hash{1}, 10) == duration{3800});
    CHECK(it.per_stream(middle, endpoint_hash{1}) == duration{120});
}

TEST_CASE("samples of one number of running streams scale the initial line")
{
    // Guards against a slope from noise or a division by zero where the line cannot be fitted.
    token_speed it;
    for (int n = 0; n < 100; ++n)
        it.observe(large, endpoint_hash{1}, 10, duration{3 * 3800});
    CHECK(ratio(it.per_token(large, endpoint_hash{1}, 10), 3 * 3800) == Approx(1).epsilon(0.01));
    CHECK(ratio(it.per_stream(large, endpoint_hash{1}), 3 * 120) == Approx(1).epsilon(0.01));
    token_speed idle;
    idle.observe(large, endpoint_hash{1}, 0, duration{2600});
    CHECK(idle.per_token(large, endpoint_hash{1}, 0) == duration{2600});
}

TEST_CASE("neither the fixed time nor the time per stream becomes negative")
{
    // Guards against negative forecasts: preemption at an overfull endpoint and scatter suggest steep or
    // falling lines.
    token_speed falling;
    token_speed steep;
    for (std::uint32_t n = 0; n < 64; ++n)
    {
        falling.observe(middle, endpoint_hash{1}, n, duration{8000 - 100 * n});
        steep.observe(middle, endpoint_hash{1}, 30 + n % 20, duration{50 + 1000 * (n % 20)});
    }
    CHECK(falling.per_stream(middle, endpoint_hash{1}) >= duration::zero());
    CHECK(falling.per_token(middle, endpoint_hash{1}, 64) > duration::zero());
    CHECK(steep.per_stream(middle, endpoint_hash{1}) > duration::zero());
    CHECK(steep.per_token(middle, endpoint_hash{1}, 0) >= duration::zero());
}

TEST_CASE("an endpoint that is 1.3 times slower than others is known")
{
    // Guards against the loss of late streams at every third endpoint of a deployment. The fleet mean is then
    // 1.1 of a fast endpoint.
    engines real;
    token_speed it;
    const auto factor = [](endpoint_hash at) { return at.value() % 3 == 0 ? 1.3 : 1.0; };
    for (int n = 0; n < 1800; ++n) // three minutes at ten samples per second
    {
        const auto running = real.running();
        const auto at = real.endpoint();
        it.observe(middle, at, running, real.time(running, factor(at)));
    }
    double slow = 0;
    double fast = 0;
    for (std::uint64_t n = 1; n <= 60; ++n)
        (n % 3 == 0 ? slow : fast) +=
            static_cast<double>(it.per_token(middle, endpoint_hash{n}, 25).count()) / (n % 3 == 0 ? 20 : 40);
    CHECK(slow / fast > 1.2);
    CHECK(slow / fast < 1.35);
    // The factor of the hardware applies to a model that was not sampled.
    CHECK(it.per_token(large, endpoint_hash{3}, 25) > it.per_token(large, endpoint_hash{1}, 25));
}

TEST_CASE("few samples of an endpoint change its estimate little")
{
    // Guards against avoiding or preferring an endpoint for one or two scattered samples.
    engines real;
    token_speed it;
    for (int n = 0; n < 200; ++n)
        it.observe(middle, real.endpoint(), 10, duration{3800});
    const endpoint_hash fresh{99};
    it.observe(middle, fresh, 10, duration{2 * 3800});
    CHECK(ratio(it.per_token(middle, fresh, 10), 3800) < 1.3);
    for (int n = 0; n < 30; ++n)
        it.observe(middle, fresh, 10, duration{3800 * 13 / 10});
    CHECK(ratio(it.per_token(middle, fresh, 10), 3800) > 1.2);
}

TEST_CASE("a change of speed is followed within 40 samples")
{
    // Four seconds of an instance with 1/133 of the load. Guards against forecasts from the time before a
    // new version of a model.
    for (const double change : {0.4, 2.5, 10.0})
    {
        engines real;
        token_speed it;
        for (int n = 0; n < 300; ++n)
        {
            const auto running = real.running();
            it.observe(middle, real.endpoint(), running, real.time(running));
        }
        for (int n = 0; n < 40; ++n)
        {
            const auto running = real.running();
            it.observe(middle, real.endpoint(), running, real.time(running, change));
        }
        CHECK(ratio(it.per_token(middle, endpoint_hash{99}, 25), 5600 * change) == Approx(1).epsilon(0.25));
    }
}

TEST_CASE("pauses, preemptions and frozen processes do not change the line much")
{
    // Guards against a forecast of minutes for a stream because an engine paused for seconds.
    engines real;
    token_speed it;
    it.observe(middle, endpoint_hash{1}, 10, milliseconds{900}); // also as the very first sample
    for (int n = 1; n < 400; ++n)
    {
        const auto running = real.running();
        const bool is_outlier = n % 10 == 0;
        it.observe(middle, real.endpoint(), running, is_outlier ? milliseconds{900} : real.time(running));
    }
    CHECK(ratio(it.per_token(middle, endpoint_hash{99}, 25), 5600) == Approx(1).epsilon(0.25));
    // Events that a pause had held up arrive at once.
    it.observe(middle, endpoint_hash{1}, 10, duration{0});
    for (int n = 0; n < 5; ++n)
        it.observe(middle, endpoint_hash{1}, 10, duration{3});
    CHECK(ratio(it.per_token(middle, endpoint_hash{99}, 25), 5600) > 0.7);
}

TEST_CASE("the factor of an endpoint that is no longer sampled returns towards the fleet's")
{
    // Guards against an endpoint that was slow for a while and is then avoided for ever.
    engines real;
    token_speed it;
    const endpoint_hash slow{99};
    for (int n = 0; n < 30; ++n)
    {
        it.observe(middle, slow, 10, duration{2 * 3800});
        it.observe(middle, real.endpoint(), 10, duration{3800});
    }
    const auto before = it.per_token(middle, slow, 10);
    for (int n = 0; n < 20'000; ++n)
        it.observe(middle, real.endpoint(), 10, duration{3800});
    CHECK(ratio(before, 3800) > 1.4);
    CHECK(ratio(it.per_token(middle, slow, 10), 3800) < 1.2);
}

TEST_CASE("models beyond the limit are forgotten, those sampled longest ago first")
{
    // Guards against memory that grows with each new version of a model.
    token_speed_options options;
    options.most_models = 2;
    token_speed it{options};
    for (const auto* name : {"a", "b", "c"})
        it.observe(core::model_id{name}, endpoint_hash{1}, 10, milliseconds{38});
    CHECK(it.per_token(core::model_id{"a"}, endpoint_hash{2}, 10) == duration{3800});
    CHECK(it.per_token(core::model_id{"b"}, endpoint_hash{2}, 10) > milliseconds{30});
    CHECK(it.per_token(core::model_id{"c"}, endpoint_hash{2}, 10) > milliseconds{30});
}

TEST_CASE("endpoints beyond the limit are forgotten, those sampled longest ago first")
{
    // Guards against memory that grows with each restart of an endpoint.
    endpoint_factor_options options;
    options.most_endpoints = 2;
    endpoint_factors it{options};
    for (const std::uint64_t n : {1, 2, 1, 3})
        it.observe(endpoint_hash{n}, 1.5);
    CHECK(it.factor(endpoint_hash{1}) > 1);
    CHECK(it.factor(endpoint_hash{2}) == 1);
    CHECK(it.factor(endpoint_hash{3}) > 1);
}
