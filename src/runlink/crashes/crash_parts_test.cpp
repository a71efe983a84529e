// Parts of prompts, which different requests share.

#include <algorithm>
#include <memory>
#include <string>

#include "runlink/crashes/observer.hpp"

using namespace runlink;
using namespace runlink::crashes;

namespace
{

const auto harmful_part = fingerprint_of_part("harmful");
const auto common_part = fingerprint_of_part("common");
const auto companion = fingerprint_of_part("companion");

/// A request that is unlike any other, with these parts in its prompt.
request_elements request_with(std::vector<element_fingerprint> parts)
{
    static std::uint64_t last = 1000;
    return {element_fingerprint{++last}, std::move(parts)};
}

void pass_clearance(observer& it)
{
    it.pass(it.attribution.options().clearance_time + milliseconds{10});
}

/// Delivers what each instance has sent to the others, and returns the number of datagrams.
std::size_t deliver(std::vector<std::unique_ptr<observer>>& all)
{
    std::size_t n = 0;
    for (auto& from : all)
        for (const auto& e : std::exchange(from->sent_messages, {}))
            for (auto& to : all)
                if (to != from)
                {
                    to->attribution.on_message(to->now, e);
                    ++n;
                }
    return n;
}

} // namespace

TEST_CASE("a part is found harmful though no two requests with it are alike")
{
    observer instance;
    instance.end(1, {request_with({harmful_part}), request_with({})});
    instance.end(2, {request_with({harmful_part})});
    CHECK(instance.attribution.judge(instance.now, request_with({harmful_part})) == permission::free);
    pass_clearance(instance);
    CHECK(instance.suspected == std::vector{harmful_part});
    CHECK(instance.attribution.judge(instance.now, request_with({common_part})) == permission::free);
    instance.try_and_end(request_with({harmful_part, common_part}), 3);
    CHECK(instance.marked_harmful == std::vector{harmful_part});
    CHECK(instance.attribution.judge(instance.now, request_with({harmful_part})) == permission::refused);
    CHECK(instance.attribution.judge(instance.now, request_with({common_part})) == permission::free);
    CHECK(instance.attribution.refusal_time_left(instance.now, request_with({harmful_part})) > duration{});
}

TEST_CASE("a part that is in every interrupted request is not suspected while others with it are answered")
{
    observer instance;
    observer other{{}, 2};
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        other.attribution.on_answered(other.now, request_with({common_part}));
        instance.end(n, {request_with({common_part, harmful_part})});
        other.pass(run_time);
        for (const auto& e : std::exchange(instance.sent_messages, {}))
            other.attribution.on_message(other.now, e);
        other.pass(other.attribution.options().max_clearance_delay + milliseconds{10});
        for (const auto& e : std::exchange(other.sent_messages, {}))
            instance.attribution.on_message(instance.now, e);
        pass_clearance(instance);
        CHECK(instance.attribution.judge(instance.now, request_with({common_part})) == permission::free);
    }
    CHECK(instance.suspected == std::vector{harmful_part});
}

TEST_CASE("an answer that comes while a part is suspected clears it at every instance")
{
    observer instance;
    observer other{{}, 2};
    instance.end(1, {request_with({common_part})});
    instance.end(2, {request_with({common_part})});
    pass_clearance(instance);
    for (const auto& e : std::exchange(instance.sent_messages, {}))
        other.attribution.on_message(other.now, e);
    pass_clearance(other);
    REQUIRE(other.attribution.judge(other.now, request_with({common_part})) != permission::free);
    instance.attribution.on_answered(instance.now, request_with({common_part}));
    instance.pass(instance.attribution.options().max_clearance_delay + milliseconds{10});
    for (const auto& e : instance.sent_messages)
        other.attribution.on_message(other.now, e);
    CHECK(instance.attribution.judge(instance.now, request_with({common_part})) == permission::free);
    CHECK(other.attribution.judge(other.now, request_with({common_part})) == permission::free);
}

TEST_CASE("parts that always come together are refused together only")
{
    observer instance;
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.end(n, {request_with({harmful_part, companion})});
    pass_clearance(instance);
    instance.try_and_end(request_with({harmful_part, companion}), 3);
    CHECK(instance.marked_harmful.size() == 2);
    CHECK(instance.attribution.judge(instance.now, request_with({harmful_part, companion})) ==
          permission::refused);
    instance.pass(instance.attribution.options().max_trial_delay);

    SECTION("an answer without the harmful one clears the other")
    {
        const auto innocent = request_with({companion});
        REQUIRE(instance.attribution.judge(instance.now, innocent) == permission::alone);
        instance.attribution.begin_trial(instance.now, innocent, endpoint_id_hash{9});
        instance.attribution.on_answered(instance.now, innocent);
        CHECK(instance.attribution.judge(instance.now, request_with({companion})) == permission::free);
        CHECK(instance.attribution.judge(instance.now, request_with({harmful_part})) == permission::refused);
    }
    SECTION("an end without the other one convicts the harmful one alone")
    {
        instance.try_and_end(request_with({harmful_part}), 4);
        CHECK(instance.attribution.judge(instance.now, request_with({harmful_part})) == permission::refused);
        CHECK(instance.attribution.judge(instance.now, request_with({companion})) == permission::free);
    }
    SECTION("what was found holds at instances that are told")
    {
        observer other{{}, 2};
        for (const auto& e : instance.sent_messages)
            other.attribution.on_message(other.now, e);
        CHECK(other.attribution.judge(other.now, request_with({harmful_part, companion})) ==
              permission::refused);
        CHECK(other.attribution.judge(other.now, request_with({companion})) != permission::refused);
    }
}

TEST_CASE("a cleared companion that the store lists is removed from it")
{
    observer instance;
    instance.attribution.on_recorded(instance.now, harmful_part, {companion});
    instance.attribution.on_recorded(instance.now, companion, {harmful_part});
    instance.attribution.on_answered(instance.now, request_with({companion}));
    CHECK(instance.attribution.take_expired(instance.now) == std::vector{companion});
    CHECK(instance.attribution.judge(instance.now, request_with({harmful_part})) == permission::refused);
}

TEST_CASE("few of many instances announce that a part is answered")
{
    constexpr std::size_t instances = 300;
    std::vector<std::unique_ptr<observer>> all;
    for (std::size_t n = 0; n < instances; ++n)
        all.push_back(std::make_unique<observer>(attribution_options{}, n + 1));
    for (auto& it : all)
        it->attribution.on_answered(it->now, request_with({common_part}));
    const crash_message news{
        {{endpoint_id_hash{1}, {{common_part, run_time}}}, {endpoint_id_hash{2}, {{common_part, run_time}}}},
        {},
        {}};
    for (auto& it : all)
        it->attribution.on_message(it->now, news);
    std::size_t datagrams = 0;
    for (int ms = 0; ms < 60; ms += 2)
    {
        for (auto& it : all)
        {
            it->attribution.tick(it->now);
            it->now += milliseconds{2};
        }
        datagrams += deliver(all);
    }
    CHECK(datagrams < instances * instances / 4);
    CHECK(std::all_of(all.begin(), all.end(), [](const auto& it) { return it->suspected.empty(); }));
}

TEST_CASE("records of parts with more evidence outlast those of an account that names many parts")
{
    attribution_options options;
    options.max_tracked_elements = 20;
    observer instance{options};
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.end(n, {request_with({harmful_part})});
    for (std::uint64_t n = 0; n < 50; ++n)
        instance.end(100 + n, {request_with({fingerprint_of_part(std::to_string(n))})});
    CHECK(instance.attribution.size() <= options.max_tracked_elements);
    CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 2);
}

// Guards against clearing a harmful element by the end of a connection that its crash closed.
TEST_CASE("an answer that ended with its connection proves nothing until its endpoint is heard from")
{
    observer instance;
    const endpoint_id_hash endpoint{1};
    const auto sent_at = instance.now;
    instance.end(2, {request_with({harmful_part})});
    CHECK(instance.attribution.on_answered_until_close(instance.now, request_with({harmful_part}), endpoint,
                                                       sent_at));
    CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 1);

    SECTION("a crash that follows counts")
    {
        instance.attribution.on_ended(instance.now, endpoint);
        instance.pass(instance.attribution.options().report_batch_window + milliseconds{10});
        CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 2);
    }
    SECTION("bytes that may have been on their way prove nothing, later ones do")
    {
        instance.attribution.on_heard(instance.now + milliseconds{1}, endpoint);
        CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 1);
        instance.attribution.on_heard(instance.now + instance.attribution.options().heard_margin, endpoint);
        CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 0);
    }
    SECTION("a new connection proves it")
    {
        instance.attribution.on_reached(instance.now, endpoint);
        CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 0);
    }
    SECTION("an endpoint that cannot be reached proves nothing")
    {
        instance.attribution.on_end_not_confirmed(instance.now, endpoint);
        instance.attribution.on_reached(instance.now, endpoint);
        CHECK(instance.attribution.suspicion_of(instance.now, harmful_part).ends == 1);
    }
}

TEST_CASE("few answers that end with their connection are probed")
{
    observer instance;
    const endpoint_id_hash endpoint{1};
    CHECK_FALSE(
        instance.attribution.on_answered_until_close(instance.now, request_with({}), endpoint, instance.now));
    CHECK(instance.attribution.on_answered_until_close(instance.now, request_with({common_part}), endpoint,
                                                       instance.now));
    instance.attribution.on_reached(instance.now, endpoint);
    CHECK_FALSE(instance.attribution.on_answered_until_close(instance.now, request_with({common_part}),
                                                             endpoint, instance.now));
}
