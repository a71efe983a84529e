// A running attempt is cancelled only in the step in which a replacement attempt takes over, so that no
// stream is cut when the replacement may not be sent.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <string>

#include "support/stream_script.hpp"

using namespace runlink::tests;

namespace
{

/// Events of a healthy stream over 4800 ms, which is longer than the grace period of a removed key. With
/// `with_proofs`, a proof of the configuration precedes each event.
std::string events_for_4800_ms(bool with_proofs)
{
    std::string out;
    for (int n = 2; n <= 13; ++n)
        out += (with_proofs ? "proven\n" : "") + std::string{"advance 400\nevent a1 "} + std::to_string(n) +
               "\n";
    return out;
}

const std::string pause_and_end = R"(advance 480
event a1 14
end a1
)";

/// A roll-out at 50 %: half of the sessions, among them `s15`, use version v2. 22 answers of the old version
/// v1 serve as the baseline for the comparison.
std::string half_rolled_out()
{
    std::string out = "table 1\nproven\nendpoint o1 pool version=v1\norder 4000 10\n";
    for (int n = 1; n <= 22; ++n)
    {
        const auto id = std::to_string(n);
        out += "request q" + id + " /llm/x key=k1 session=s5\nsent a" + id + "\nhead a" + id +
               " confidence=90\nend a" + id + "\n";
    }
    out += "advance 501\nrecord 50 revision=11\n";
    for (int n = 1; n <= 6; ++n)
        out += "endpoint n" + std::to_string(n) + " pool version=v2\n";
    return out;
}

} // namespace

TEST_CASE("a stream is not cut for a pause when its key is removed")
{
    const std::string removed = "table 2 revoked=k1\nproven\n";
    check_whole(run_forwarding_script(began + removed + events_for_4800_ms(true) + pause_and_end));
}

TEST_CASE("a stream whose key holds is not cut for a pause when the proof is old")
{
    check_whole(run_forwarding_script(began + events_for_4800_ms(false) + pause_and_end));
}

TEST_CASE("a stream whose key is removed is not cut when its endpoint takes no connection")
{
    const std::string removed = "table 2 revoked=k1\nproven\n";
    const std::string silent = R"(advance 420
asked e1
event a1 14
end a1
)";
    check_whole(run_forwarding_script(began + removed + events_for_4800_ms(true) + silent));
}

TEST_CASE("a stream is not cut for silence when the allowance is spent")
{
    // Three requests allow 5.4 retries; this script uses five.
    const std::string spent = R"(endpoint e3 pool
endpoint e4 pool
endpoint e5 pool
request s1 /llm/x key=k2 deadline=8000
answer a2 503 not_run
answer a3 503 not_run
answer a4 503 not_run
answer a5 503 not_run
request s2 /llm/x key=k2 deadline=8000
answer a6 503 not_run
answer a7 503 not_run
)";
    const std::string silent = R"(advance 420
asked e1
event a1 2
end a1
)";
    check_whole(run_forwarding_script(began + spent + silent));
}

TEST_CASE("a stream whose key is removed is not cut for a later life of its endpoint")
{
    const std::string removed = "table 2 revoked=k1\nproven\n";
    const std::string later_life = "endpoint e1 pool life=1\n" + pause_and_end;
    check_whole(run_forwarding_script(began + removed + events_for_4800_ms(true) + later_life));
}

TEST_CASE("a small model's answer is delivered when the larger one may not be asked")
{
    // The key is removed while the small model processes the prompt.
    const std::string script = R"(table 1
proven
endpoint e1 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
table 2 revoked=k1
proven
advance 4600
head a1 confidence=10
event a1 1
end a1
)";
    check_whole(run_forwarding_script(script));
}

TEST_CASE("a moved stream goes on when its new endpoint fails")
{
    const std::string script = R"(endpoint e3 pool
advance 480
sent a2
answer a2 500
sent a3
head a3
event a3 1
event a3 2
end a3
)";
    const auto out = run_forwarding_script(began + script);
    INFO(out);
    CHECK_FALSE(has(out, "break off r1"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a request at an endpoint with a later life goes on as soon as the allowance has room")
{
    const std::string script = R"(table 1
proven
endpoint e1 app
request r1 /look/x key=k1 deadline=2000
sent a1
endpoint e2 app
endpoint e3 app
endpoint e4 app
endpoint e5 app
request s1 /look/x key=k2 deadline=2000
answer a2 503 not_run
answer a3 503 not_run
answer a4 503 not_run
answer a5 503 not_run
request s2 /look/x key=k2 deadline=2000
answer a6 503 not_run
answer a7 503 not_run
answer a8 503 not_run
advance 150
endpoint e1 app life=1
request s3 /look/x key=k2 deadline=2000
answer a9 200
advance 150
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "start a10 r1"));
}

TEST_CASE("a stream whose key was given back has the whole grace when the key is removed again")
{
    const std::string removed = "table 2 revoked=k1\nproven\n";
    const std::string again = "table 3\nproven\ntable 4 revoked=k1\nproven\n";
    const std::string rest = R"(advance 480
sent a2
head a2
event a2 13
event a2 14
end a2
)";
    const auto out = run_forwarding_script(began + removed + events_for_4800_ms(true) + again + rest);
    INFO(out);
    CHECK(has(out, "start a2 r1 -> e2"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("the grace of a key that is removed counts from the proof before its removal")
{
    // The key is removed, restored and removed again without a proof in between.
    const std::string removed = "table 2 revoked=k1\ntable 3\ntable 4 revoked=k1\nproven\n";
    const std::string rest = "advance 480\nevent a1 14\nend a1\n";
    const auto out = run_forwarding_script(began + removed + events_for_4800_ms(true) + rest);
    INFO(out);
    CHECK_FALSE(has(out, "start a2"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a stream that was not moved is replaced when its endpoint takes no connection")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
head a1 confidence=90
event a1 1
advance 460
endpoint e2 pool
asked e1
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "start a2 r1 -> e2"));
}

TEST_CASE("a silent attempt is not replaced at a version that its own loss takes out")
{
    const std::string two_failures = R"(request f1 /llm/x key=k1 session=s15
sent a23
answer a23 500
leave f1
request f2 /llm/x key=k1 session=s15
sent a25
answer a25 500
leave f2
)";
    const std::string third = R"(request r1 /llm/x key=k1 session=s15 deadline=8000
sent a27
advance 420
asked n1 refused
)";
    const auto out = run_forwarding_script(half_rolled_out() + two_failures + third);
    INFO(out);
    CHECK(has(out, "start a27 r1 -> n1"));
    CHECK(has(out, "cancel a27"));
    CHECK(has(out, "start a28 r1 -> o1"));
}

TEST_CASE("a paused stream is not moved to a version that its own pause takes out")
{
    std::string script = half_rolled_out();
    for (int n = 23; n <= 28; ++n)
    {
        const auto id = std::to_string(n);
        script += "request r" + id + " /llm/x key=k1 session=s15 deadline=8000\nsent a" + id + "\nhead a" +
                  id + " confidence=90\nevent a" + id + " 1\n";
    }
    const auto out = run_forwarding_script(script + "advance 480\nsent a33\nhead a33\n");
    INFO(out);
    // The fifth paused stream causes the version to be taken out.
    CHECK(has(out, "start a32 r26 -> n"));
    CHECK(has(out, "start a33 r27 -> o1"));
    // Attempt a27 is cancelled only when its replacement a33 answers.
    CHECK(has(out.substr(out.find("> head a33")), "cancel a27"));
    CHECK_FALSE(has(out.substr(0, out.find("> head a33")), "cancel a27"));
}

TEST_CASE("a request is not sent again for the account that its key belongs to by now")
{
    const std::string given = "table 2 revoked=k1 given=k1\nproven\n";
    const auto out =
        run_forwarding_script(began + given + events_for_4800_ms(true) + "lose a1 broken\nadvance 10\n");
    INFO(out);
    CHECK_FALSE(has(out, "start a2"));
}

TEST_CASE("a paused stream keeps its last attempt for a loss")
{
    const std::string script = R"(endpoint e3 pool
lose a1 broken
asked e1 answered
sent a2
head a2
event a2 1
event a2 2
advance 480
event a2 3
lose a2 broken
asked e3 answered
advance 30
sent a3
head a3
event a3 3
event a3 4
end a3
)";
    const auto out = run_forwarding_script(began + script);
    INFO(out);
    CHECK_FALSE(has(out, "cancel a2"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a stream at work is not cut when the endpoint that it would be moved to refuses it")
{
    // Three requests allow 5.4 retries; this script uses four and the move of the stream uses one.
    const std::string spent = R"(endpoint e3 pool
endpoint e4 pool
endpoint e5 pool
request s1 /llm/x key=k2 deadline=8000
answer a2 503 not_run
answer a3 503 not_run
answer a4 503 not_run
answer a5 503 not_run
request s2 /llm/x key=k2 deadline=8000
answer a6 503 not_run
)";
    const std::string refused = R"(advance 480
answer a8 503 not_run
event a1 2
end a1
)";
    check_whole(run_forwarding_script(began + spent + refused));
}

TEST_CASE("a stream is not moved to endpoints that want rest")
{
    const std::string script = R"(says e2 rest=3000
advance 480
event a1 2
end a1
)";
    check_whole(run_forwarding_script(began + script));
}

TEST_CASE("a stream that has lost its endpoint waits for the end of a rest no longer than its gap")
{
    const std::string script = R"(says e2 rest=400
event a1 2
lose a1 broken
advance 510
)";
    CHECK(has(run_forwarding_script(began + script), "start a2 r1 -> e2"));
    const std::string too_long = R"(says e2 rest=3000
event a1 2
lose a1 broken
advance 510
)";
    CHECK(has(run_forwarding_script(began + too_long), "break off r1"));
}
