// Requests that are suspected or found to crash endpoints: a running attempt is cancelled only when a
// replacement attempt takes over.

#include <catch2/catch.hpp>

#include <string>

#include "support/stream_script.hpp"

using namespace runlink::tests;

TEST_CASE("a verdict on a request cuts no stream of it that is in the middle of its answer")
{
    check_whole(run_forwarding_script(began + "condemned acme\nadvance 10\nevent a1 2\nend a1\n"));
}

TEST_CASE("a verdict on a request cuts no attempt of it that may run only once")
{
    const std::string script = R"(table 1
proven
endpoint e1 app
request r1 /pay/x key=k1 deadline=2000
sent a1
condemned acme
advance 10
answer a1 200
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK_FALSE(has(out, "cancel a1"));
    CHECK(has(out, "answer r1 from a1"));
}

TEST_CASE("a suspected request is not withdrawn when it may not be sent again")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
table 2 revoked=k1
proven
advance 4600
suspected acme
advance 10
head a1 confidence=90
event a1 1
end a1
)";
    check_whole(run_forwarding_script(script));
}

TEST_CASE("a suspected request is not withdrawn when no endpoint is left for it")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
suspected acme
advance 10
head a1 confidence=90
event a1 1
end a1
)";
    check_whole(run_forwarding_script(script));
}

TEST_CASE("a request that was cleared at once is not withdrawn")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
endpoint e2 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
suspected acme
cleared acme
advance 10
head a1 confidence=90
event a1 1
end a1
)";
    check_whole(run_forwarding_script(script));
}

TEST_CASE("a trial that never begins its answer is tried elsewhere")
{
    // A trial that never ends would block all requests with the same content at every instance.
    const std::string script = R"(table 1
proven
endpoint e1 pool
suspected acme
request r1 /llm/x key=k1 deadline=8000
advance 320
sent a1
endpoint e2 pool
proven
advance 2000
proven
advance 320
sent a2
head a2 confidence=90
event a2 1
end a2
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "start a2 r1 -> e2"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a trial whose endpoint takes no connection is tried elsewhere")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
suspected acme
request r1 /llm/x key=k1 deadline=8000
advance 320
sent a1
endpoint e2 pool
advance 500
asked e1
advance 320
sent a2
head a2 confidence=90
event a2 1
end a2
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "start a2 r1 -> e2"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a withdrawn request may be tried at the endpoint that it was withdrawn from")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
endpoint e2 pool
suspected acme
advance 10
gone e2
advance 320
sent a2
head a2 confidence=90
event a2 1
end a2
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "cancel a1"));
    CHECK(has(out, "start a2 r1 -> e1"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a trial that has begun its answer goes on elsewhere when its endpoint takes no connection")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
suspected acme
request r1 /llm/x key=k1 deadline=8000
advance 320
sent a1
head a1 confidence=90
event a1 1
endpoint e2 pool
advance 410
asked e1
sent a2
head a2
event a2 1
event a2 2
end a2
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "start a2 r1 -> e2"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("an unsure answer of a trial is escalated")
{
    const std::string script = R"(table 1
proven
endpoint e1 pool
endpoint e2 pool
suspected acme
request r1 /llm/x key=k1 deadline=8000
advance 320
sent a1
head a1 confidence=10
sent a2
head a2
event a2 1
end a2
)";
    const auto out = run_forwarding_script(script);
    INFO(out);
    CHECK(has(out, "model=large"));
    CHECK(has(out, "end r1"));
}

TEST_CASE("a verdict on a request breaks off no stream of it that was moved")
{
    const std::string moved = "advance 480\nsent a2\ncondemned acme\nadvance 10\n";
    const auto out = run_forwarding_script(began + moved + "head a2\nevent a2 1\nevent a2 2\nend a2\n");
    INFO(out);
    CHECK(has(out, "start a2 r1 -> e2"));
    CHECK_FALSE(has(out, "break off r1"));
    CHECK(has(out, "end r1"));
}
