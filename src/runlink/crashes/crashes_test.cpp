#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <algorithm>

#include "runlink/crashes/observer.hpp"

using namespace runlink;
using namespace runlink::crashes;

TEST_CASE("a request under which two endpoints ended runs alone, and a third end convicts it")
{
    observer instance;
    instance.end(1, {harmful_request, harmless_request});
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::free);
    instance.end(2, {harmful_request});
    CHECK(instance.suspected == std::vector{harmful_request});
    instance.try_and_end(harmful_request, 3);
    CHECK(instance.marked_harmful == std::vector{harmful_request});
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::refused);
    CHECK(instance.attribution.judge(instance.now, harmless_request) == permission::free);
    CHECK(instance.attribution.suspicion_of(instance.now, harmless_request).ends ==
          0); // the end is attributed to the harmful request
}

TEST_CASE("while a suspect is tried no other copy runs, and nothing else goes there")
{
    observer instance;
    instance.end(1, {harmful_request});
    instance.end(2, {harmful_request});
    instance.pass(instance.attribution.options().max_trial_delay);
    instance.attribution.begin_trial(instance.now, harmful_request, endpoint_id_hash{3});
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::waits);
    CHECK(instance.attribution.endpoints_on_trial(instance.now) == std::set{endpoint_id_hash{3}});

    observer other{{}, 2};
    for (const auto& e : instance.sent_messages)
        other.attribution.on_message(other.now, e);
    CHECK(other.attribution.judge(other.now, harmful_request) == permission::waits);
    CHECK(other.attribution.endpoints_on_trial(other.now) == std::set{endpoint_id_hash{3}});
    other.pass(other.attribution.options().trial_timeout + milliseconds{500});
    CHECK(other.attribution.judge(other.now, harmful_request) ==
          permission::alone); // the instance that ran the trial is lost
}

// Guards against a trial that is repeated elsewhere while its first endpoint is crashing: that end led to no
// verdict.
TEST_CASE("the end of an endpoint where a trial began before convicts as well")
{
    observer instance;
    instance.end(1, {harmful_request});
    instance.end(2, {harmful_request});
    instance.pass(instance.attribution.options().max_trial_delay);
    instance.attribution.begin_trial(instance.now, harmful_request, endpoint_id_hash{3});
    REQUIRE(instance.attribution.may_repeat_trial(harmful_request));
    instance.attribution.begin_trial(instance.now, harmful_request, endpoint_id_hash{4});
    instance.end(3, {harmful_request});
    instance.pass(instance.attribution.options().verdict_delay + milliseconds{10});
    CHECK(instance.marked_harmful == std::vector{harmful_request});
}

TEST_CASE("a whole answer clears a suspect at every instance")
{
    observer instance;
    observer other{{}, 2};
    instance.end(1, {harmless_request});
    instance.end(2, {harmless_request});
    instance.attribution.on_answered(instance.now, harmless_request);
    CHECK(instance.attribution.judge(instance.now, harmless_request) == permission::free);
    for (const auto& e : instance.sent_messages)
        other.attribution.on_message(other.now, e);
    CHECK(other.attribution.judge(other.now, harmless_request) == permission::free);
}

TEST_CASE("a request that was answered after an attempt began did not end that attempt's endpoint")
{
    observer instance;
    const auto sent_at = instance.now;
    instance.attribution.on_answered(instance.now + milliseconds{5}, harmless_request);
    instance.pass(run_time);
    instance.attribution.on_connection_broken(instance.now, harmless_request, endpoint_id_hash{1}, sent_at);
    instance.attribution.on_ended(instance.now, endpoint_id_hash{1});
    instance.pass(milliseconds{50});
    CHECK(instance.attribution.suspicion_of(instance.now, harmless_request).ends == 0);
    CHECK(instance.sent_messages.empty());
}

TEST_CASE("connections that break while their endpoint lives count for nothing")
{
    observer instance;
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        instance.attribution.on_connection_broken(instance.now, harmless_request, endpoint_id_hash{n},
                                                  instance.now);
        instance.attribution.on_end_not_confirmed(instance.now, endpoint_id_hash{n});
    }
    CHECK(instance.attribution.judge(instance.now, harmless_request) == permission::free);
}

TEST_CASE("a copy waits while it is not known why the connection of another one broke")
{
    observer instance;
    instance.end(1, {harmful_request});
    instance.attribution.on_connection_broken(instance.now, harmful_request, endpoint_id_hash{2},
                                              instance.now);
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::waits);
    instance.attribution.on_end_not_confirmed(instance.now, endpoint_id_hash{2});
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::free);
}

TEST_CASE("where many endpoints end at one moment, no request is counted or told")
{
    observer instance;
    const auto sent_at = instance.now;
    instance.pass(run_time);
    for (std::uint64_t n = 0; n <= instance.attribution.options().max_simultaneous_ends; ++n)
    {
        instance.attribution.on_connection_broken(instance.now, harmless_request, endpoint_id_hash{n},
                                                  sent_at);
        instance.attribution.on_ended(instance.now, endpoint_id_hash{n});
    }
    instance.pass(milliseconds{50});
    CHECK(instance.sent_messages.empty());
    CHECK(instance.attribution.judge(instance.now, harmless_request) == permission::free);
}

TEST_CASE("an end that instances report one by one counts once")
{
    observer instance;
    for (int n = 0; n < 3; ++n)
        instance.attribution.on_message(instance.now,
                                        {{{endpoint_id_hash{1}, {{harmful_request, run_time}}}}, {}, {}});
    CHECK(instance.attribution.suspicion_of(instance.now, harmful_request).ends == 1);
}

TEST_CASE("two suspects at one endpoint are not told apart there")
{
    observer instance;
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.end(n, {harmful_request, harmless_request});
    instance.pass(instance.attribution.options().max_trial_delay);
    instance.attribution.begin_trial(instance.now, harmless_request, endpoint_id_hash{3});
    instance.end(3,
                 {harmful_request, harmless_request}); // a copy of the harmful request was already sent there
    instance.pass(instance.attribution.options().verdict_delay + milliseconds{10});
    CHECK(instance.marked_harmful.empty());
    instance.try_and_end(harmful_request, 4);
    CHECK(instance.marked_harmful == std::vector{harmful_request});
    instance.attribution.on_answered(instance.now, harmless_request);
    CHECK(instance.attribution.judge(instance.now, harmless_request) == permission::free);
}

TEST_CASE("where endpoints end all the time, three ends convict no long stream")
{
    observer instance;
    for (std::uint64_t n = 100; n < 120; ++n)
    {
        instance.attribution.on_message(instance.now, {{{endpoint_id_hash{n}, {}}}, {}, {}});
        instance.pass(milliseconds{100});
    }
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.attribution.on_message(
            instance.now, {{{endpoint_id_hash{n}, {{harmless_request, milliseconds{3000}}}}}, {}, {}});
    instance.try_and_end(harmless_request, 3);
    CHECK(instance.marked_harmful.empty());
}

TEST_CASE("among many requests, one that is cut three times where endpoints end now and then is no culprit")
{
    // One of 18 endpoints ends every two seconds. Guards against refusing a long stream that runs on three of
    // them when they end, the last time as a trial. The probability of this is 1 in 100'000 for each request,
    // but there are many requests.
    constexpr std::uint64_t requests = 160;
    observer instance;
    for (std::uint64_t n = 0; n < requests; ++n)
    {
        if (n % 80 == 0)
            instance.attribution.on_message(instance.now, {{{endpoint_id_hash{100 + n}, {}}}, {}, {}});
        instance.attribution.on_answered(instance.now, element_fingerprint{1000 + n});
        instance.pass(milliseconds{50});
    }
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.end(n, {harmless_request});
    instance.try_and_end(harmless_request, 3);
    CHECK(instance.marked_harmful.empty());
}

TEST_CASE("where no other endpoint ends, three ends convict among many requests")
{
    constexpr std::uint64_t requests = 160;
    observer instance;
    for (std::uint64_t n = 0; n < requests; ++n)
    {
        instance.attribution.on_answered(instance.now, element_fingerprint{1000 + n});
        instance.pass(milliseconds{50});
    }
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.end(n, {harmful_request});
    instance.try_and_end(harmful_request, 3);
    CHECK(instance.marked_harmful == std::vector{harmful_request});
}

TEST_CASE("ends that another suspect has probably caused hide no harmful request")
{
    constexpr element_fingerprint other{3};
    observer instance;
    for (std::uint64_t n = 1; n <= 2; ++n)
        instance.end(n, {harmful_request});
    for (std::uint64_t n = 11; n <= 14; ++n)
        instance.attribution.on_message(instance.now, {{{endpoint_id_hash{n}, {{other, run_time}}}}, {}, {}});
    instance.attribution.on_message(
        instance.now, {{}, {{other, endpoint_id_hash{15}}}, {}}); // another instance runs a trial of it
    instance.attribution.on_message(instance.now, {{{endpoint_id_hash{15}, {{other, run_time}}}}, {}, {}});
    instance.try_and_end(harmful_request, 3);
    CHECK(instance.marked_harmful == std::vector{harmful_request});
}

TEST_CASE("trials without a finding come to an end")
{
    observer instance;
    instance.end(1, {harmful_request});
    instance.end(2, {harmful_request});
    for (std::uint32_t n = 0; n < instance.attribution.options().max_trials; ++n)
    {
        instance.pass(instance.attribution.options().max_trial_delay);
        REQUIRE(instance.attribution.judge(instance.now, harmful_request) == permission::alone);
        instance.attribution.begin_trial(instance.now, harmful_request, endpoint_id_hash{10 + n});
        instance.attribution.end_trial(instance.now, harmful_request, endpoint_id_hash{10 + n}, true);
    }
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::refused);
}

TEST_CASE("a finding holds for its time, and one trial follows")
{
    observer instance;
    instance.attribution.on_recorded(instance.now, harmful_request);
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::refused);
    instance.now += instance.attribution.options().refusal_time;
    CHECK(instance.attribution.take_expired(instance.now) == std::vector{harmful_request});
    instance.attribution.expire(instance.now);
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::alone);
    instance.attribution.on_answered(instance.now, harmful_request); // a later version handles it
    CHECK(instance.attribution.judge(instance.now, harmful_request) == permission::free);
}

TEST_CASE("a finding is told again, since datagrams may be lost")
{
    observer instance;
    instance.end(1, {harmful_request});
    instance.end(2, {harmful_request});
    instance.try_and_end(harmful_request, 3);
    instance.pass(milliseconds{1500});
    const auto findings = std::count_if(instance.sent_messages.begin(), instance.sent_messages.end(),
                                        [](const auto& e) { return !e.findings.empty(); });
    CHECK(findings == 3);
}

TEST_CASE("what a harmful request explains is told again to those who missed it")
{
    // After the loss of a datagram, an instance does not know that a suspect ran on an ended endpoint and
    // counts that end against a long stream of its own. Guards against that count staying after the suspect
    // is found harmful, which happens if the report is not sent again.
    observer witness;
    observer instance{{}, 2};
    witness.end(1, {harmful_request});
    witness.sent_messages.clear(); // lost
    instance.end(1, {harmless_request});
    instance.end(2, {harmless_request});
    instance.attribution.on_recorded(instance.now, harmful_request);
    CHECK(instance.attribution.suspicion_of(instance.now, harmless_request).ends == 2);

    witness.attribution.on_recorded(witness.now, harmful_request);
    SECTION("at once") {}
    SECTION("before a verdict that waits for it")
    {
        witness.sent_messages.clear(); // lost as well
        witness.pass(witness.attribution.options().verdict_delay);
    }
    for (const auto& e : witness.sent_messages)
        instance.attribution.on_message(instance.now, e);
    CHECK(instance.attribution.suspicion_of(instance.now, harmless_request).ends == 1);
    CHECK(instance.attribution.judge(instance.now, harmless_request) == permission::free);
}

TEST_CASE("an end under a request that is known to be harmful is told again")
{
    observer witness;
    witness.attribution.on_recorded(witness.now, harmful_request);
    witness.end(1, {harmful_request, harmless_request}); // a copy that was already sent
    witness.sent_messages.clear();                       // lost
    witness.pass(witness.attribution.options().verdict_delay);

    observer instance{{}, 2};
    instance.attribution.on_recorded(instance.now, harmful_request);
    instance.end(1, {harmless_request});
    CHECK(instance.attribution.suspicion_of(instance.now, harmless_request).ends == 1);
    for (const auto& e : witness.sent_messages)
        instance.attribution.on_message(instance.now, e);
    CHECK(instance.attribution.suspicion_of(instance.now, harmless_request).ends == 0);
}

TEST_CASE("ends under a suspect are told again, since who tries it judges by them")
{
    observer witness;
    observer instance{{}, 2};
    SECTION("those of before, when it becomes a suspect")
    {
        witness.end(1, {harmful_request});
        witness.sent_messages.clear(); // lost
        witness.attribution.on_message(witness.now,
                                       {{{endpoint_id_hash{2}, {{harmful_request, run_time}}}}, {}, {}});
    }
    SECTION("those of later, before a verdict that waits for it")
    {
        for (std::uint64_t n = 2; n <= 3; ++n)
            witness.attribution.on_message(witness.now,
                                           {{{endpoint_id_hash{n}, {{harmful_request, run_time}}}}, {}, {}});
        witness.end(1, {harmful_request});
        witness.sent_messages.clear();
        witness.pass(witness.attribution.options().verdict_delay);
    }
    for (const auto& e : witness.sent_messages)
        instance.attribution.on_message(instance.now, e);
    CHECK(instance.attribution.suspicion_of(instance.now, harmful_request).ends == 1);
}

TEST_CASE("an account that fills the memory loses its own records")
{
    attribution_options options;
    options.max_tracked_elements = 10;
    observer instance{options};
    const core::account_id other{"other"};
    const core::account_id attacker{"attacker"};
    const auto kept = fingerprint_of(content_hash{7}, other);
    instance.end(1, {kept});
    for (std::uint64_t n = 0; n < 50; ++n)
        instance.end(100 + n, {fingerprint_of(content_hash{n}, attacker)});
    CHECK(instance.attribution.size() <= options.max_tracked_elements);
    CHECK(instance.attribution.suspicion_of(instance.now, kept).ends == 1);
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
