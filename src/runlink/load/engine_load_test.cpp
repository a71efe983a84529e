// Tests of the tracking of streams and of their forecast.

#include <catch2/catch.hpp>

#include "runlink/load/engine_load.hpp"
#include "runlink/load/load_digest.hpp"
#include "runlink/load/stream_forecaster.hpp"
#include "runlink/load/unseen_work.hpp"

using namespace runlink::load;

namespace
{

constexpr time_point start{runlink::core::seconds{1000}};
const endpoint_hash e{7};

/// A stream with 1,000 prompt tokens and 200 to generate, which is expected to take 2 s.
prompt_sent stream(std::uint64_t id, endpoint_hash at = e)
{
    return {at, prompt_hash{1}, milliseconds{50}, stream_hash{id}, 1200, 200, milliseconds{6000}};
}

std::uint32_t running(const engine_load& it, time_point now, endpoint_hash at = e)
{
    return it.state(now, at).running;
}

/// 64 slots, memory for 367,000 tokens.
constexpr engine_limits limits{64, 367'000, 9};
const stream_need need{runlink::core::model_id{"m"}, 1000, 1000, {200, 400}};
constexpr stream_speed speed{milliseconds{20}, milliseconds{10}, duration{120}};

} // namespace

TEST_CASE("own streams count from their send to their end, and their progress is exact")
{
    engine_load it;
    it.sent(start, stream(1), true);
    it.began(e, stream_hash{1});
    it.progressed(e, stream_hash{1}, 99);
    // However long it takes: what is not generated is still to come.
    const auto state = it.state(start + milliseconds{60'000}, e);
    CHECK(state.running == 1);
    CHECK(state.held_tokens == 1200);
    CHECK(state.tokens_left == 100);
    CHECK(state.run_left == milliseconds{1000});
    it.expire(start + milliseconds{60'000});
    CHECK(it.size() == 1);
    it.ended({e, stream_hash{1}});
    CHECK(it.size() == 0);
    CHECK(running(it, start) == 0);
}

TEST_CASE("streams of peers progress with time and end when their end is announced")
{
    engine_load it;
    it.sent(start, stream(1), false);
    CHECK(it.state(start, e).tokens_left == 200);
    CHECK(it.state(start + milliseconds{1000}, e).tokens_left == 100);
    CHECK(it.state(start + milliseconds{5000}, e).tokens_left == 50); // longer than expected, so not over
    it.ended({e, stream_hash{1}});
    CHECK(running(it, start) == 0);
}

TEST_CASE("a lost end of a stream, or a killed instance, has no effect after the run time")
{
    engine_load it;
    it.sent(start, stream(1), false);
    CHECK(running(it, start + milliseconds{5999}) == 1);
    CHECK(running(it, start + milliseconds{6000}) == 0);
    it.expire(start + milliseconds{6000});
    CHECK(it.size() == 0);
}

TEST_CASE("a duplicated announcement counts once, and late or unknown ones do no harm")
{
    engine_load it;
    it.ended({e, stream_hash{1}});
    it.sent(start, stream(1), false);
    it.sent(start + milliseconds{100}, stream(1), false);
    CHECK(running(it, start + milliseconds{100}) == 1);
    it.ended({e, stream_hash{1}});
    it.ended({e, stream_hash{1}});
    CHECK(running(it, start + milliseconds{100}) == 0);
    // A copy of the announcement that arrives after the end counts until the run time is over.
    it.sent(start + milliseconds{200}, stream(1), false);
    CHECK(running(it, start + milliseconds{200}) == 1);
    CHECK(running(it, start + milliseconds{6200}) == 0);
}

TEST_CASE("a prompt that was announced without a stream is not tracked")
{
    engine_load it;
    it.sent(start, {e, prompt_hash{1}, milliseconds{50}}, false);
    CHECK(it.size() == 0);
}

TEST_CASE("a restarted endpoint starts without the streams of its earlier incarnation")
{
    engine_load it;
    const runlink::core::endpoint_id before{"e1"};
    const runlink::core::endpoint_id after{"e1#2"};
    it.sent(start, stream(1, hash_of(before)), false);
    CHECK(running(it, start, hash_of(before)) == 1);
    CHECK(running(it, start, hash_of(after)) == 0);
}

TEST_CASE("streams of other failure domains are added once, and expire without a new digest")
{
    engine_load sender;
    sender.sent(start, stream(1), true);
    sender.sent(start, stream(2), false);
    std::vector<endpoint_load> loads{{endpoint_hash{8}, milliseconds{40}}, {e, milliseconds{90}}};
    sender.add_local_loads(start, loads);
    REQUIRE(loads.size() == 2);
    CHECK(loads[0].running == 0);
    CHECK(loads[1].running == 2);
    CHECK(loads[1].left == milliseconds{90});

    load_exchange relay;
    const runlink::core::failure_domain_id n{"n"};
    const runlink::core::failure_domain_id s{"s"};
    relay.on_digest(start, {n, loads});
    relay.on_digest(start, {n, loads}); // a newer digest replaces the one before
    relay.on_digest(start, {s, {{e, milliseconds{0}, 3, 3600, 300}}});
    const auto merged = relay.merged(start);
    engine_load receiver;
    receiver.sent(start, stream(3), true);
    receiver.set_remote_loads(start, merged.loads);
    receiver.set_remote_loads(start, merged.loads);
    const auto state = receiver.state(start, e);
    CHECK(state.running == 1 + 2 + 3);
    CHECK(state.held_tokens == 1200 + 2400 + 3600);
    CHECK(state.tokens_left == 200 + 400 + 300);
    CHECK(state.run_left == milliseconds{2000 + 4000 + 3000});
    // A receiver's own digest holds only what its failure domain sent.
    std::vector<endpoint_load> own;
    receiver.add_local_loads(start, own);
    CHECK(own.at(0).running == 1);
    // The relay of `n` is gone: after the streams expire, only the backlog of a digest would be left.
    CHECK(relay.merged(start + milliseconds{960}).loads.empty());
    CHECK(running(receiver, start + milliseconds{960}) == 1);
}

TEST_CASE("stream counts are passed on in every second digest, as many as the link carries")
{
    load_exchange relay;
    load_digest far{runlink::core::failure_domain_id{"n"}, {}};
    for (std::uint32_t n = 1; n <= 100; ++n)
        far.loads.push_back({endpoint_hash{n}, milliseconds{n == 1 ? 90 : 0}, n, n * 1000, n * 100});
    relay.on_digest(start, far);
    const auto passed_on = [&](load_exchange& from, std::size_t receivers)
    {
        auto out = from.merged(start);
        from.limit_streams_by_turn(out, receivers);
        return out;
    };
    const auto first = passed_on(relay, 44);
    REQUIRE(first.loads.size() == 61); // 60 with streams, and the backlog of the first
    CHECK(first.loads.front().running == 100);
    CHECK(first.loads.back().running == 0);
    const auto second = passed_on(relay, 44);
    REQUIRE(second.loads.size() == 1);
    CHECK(second.loads[0].left == milliseconds{90});
    engine_load receiver;
    receiver.set_remote_loads(start, first.loads);
    receiver.set_remote_loads(start + milliseconds{120}, second.loads);
    CHECK(running(receiver, start + milliseconds{120}, endpoint_hash{100}) == 100);
    CHECK(passed_on(relay, 328).loads.size() == 8 + 1);
    // Without tracked streams nothing is left out.
    for (auto& it : far.loads)
        it.running = 0;
    load_exchange other;
    other.on_digest(start, far);
    CHECK(passed_on(other, 328).loads.size() == other.merged(start).loads.size());
    // Another relay gets all of them each time: there are few.
    auto own = far;
    own.loads[9].running = 5;
    relay.limit_streams(own, 2);
    CHECK(own.loads.size() == 100);
}

TEST_CASE("a stream is admitted at once while there are slots and memory")
{
    endpoint_state state;
    CHECK(forecast_stream(forecast_kind::ends, state, limits, need, speed).first_token == milliseconds{20});
    state.running = 63;
    state.held_tokens = 63 * 1200;
    state.reading = milliseconds{300};
    const auto it = forecast_stream(forecast_kind::ends, state, limits, need, speed);
    CHECK(it.admission == milliseconds{0});
    CHECK(it.first_token == milliseconds{320});
    CHECK(it.end == milliseconds{320 + 2000});
    CHECK(it.late_end == milliseconds{320 + 4000});
}

TEST_CASE("without a slot or memory a stream waits until enough others have ended")
{
    const auto kind = GENERATE(forecast_kind::counts, forecast_kind::ends);
    endpoint_state state{64, 64 * 1200, 64 * 100, {}, milliseconds{64 * 1000}};
    const auto slot = forecast_stream(kind, state, limits, need, speed).admission;
    CHECK(slot == duration{2'000'000 / 65}); // the first of 64 ends that are spread over 2 s
    state.running = 74;
    state.run_left = milliseconds{74 * 1000};
    CHECK(forecast_stream(kind, state, limits, need, speed).admission == duration{11 * 2'000'000 / 65});
    state = {30, 30 * 12'200, 30 * 100, {}, milliseconds{30 * 1000}}; // 1,000 tokens free, 1,200 needed
    CHECK(forecast_stream(kind, state, limits, need, speed).admission == duration{2'000'000 / 31});
    CHECK(forecast_stream(kind, state, {64, 0, 9}, need, speed).admission == duration{});
}

TEST_CASE("a stream delays the others for as long as both run")
{
    endpoint_state state{10, 12'000, 10 * 50, {}, milliseconds{10 * 500}};
    CHECK(forecast_stream(forecast_kind::counts, state, limits, need, speed).cost_to_others ==
          duration{10 * 200 * 120});
    CHECK(forecast_stream(forecast_kind::ends, state, limits, need, speed).cost_to_others ==
          duration{10 * 50 * 120});
}

// Guards against forecasts that stay late after a burst of announcements.
TEST_CASE("work that is not announced yet follows the work announced in the last second")
{
    unseen_work it;
    CHECK(it.unseen(start) == duration{});
    it.add(start, milliseconds{1000});
    CHECK(it.unseen(start) == milliseconds{180});
    CHECK(it.unseen(start + milliseconds{1000}) == duration{66'218}); // a factor of e less
    CHECK(it.unseen(start + milliseconds{20'000}) == duration{});
}
