// Checks the guarantees with real processes. Runs are counted at the endpoints, bills in the ledger.

#include <csignal>

#include <catch2/catch.hpp>

#include <QTcpServer>

#include "support/event_loop.hpp"
#include "support/process_group.hpp"

using namespace runlink;
using namespace runlink::tests;
using net::run_until;
using nlohmann::json;

namespace
{

constexpr const char* completions = "/v1/chat/completions";
const net::header_list not_repeatable{{"Runlink-Repeatable", "false"}};

net::header_list not_repeatable_with_key(const std::string& key)
{
    return {{"Runlink-Repeatable", "false"}, {"Idempotency-Key", key}};
}

bool all_done(const std::vector<answer_ptr>& calls)
{
    return std::all_of(calls.begin(), calls.end(), [](const auto& it) { return it->done; });
}

/// Checks that every complete answer has a bill and that no bill has more than one ledger entry.
void check_bills(process_group& group, const std::vector<answer_ptr>& calls)
{
    const auto billed = [&]
    {
        const auto bills = group.bills();
        return std::all_of(calls.begin(), calls.end(),
                           [&](const auto& it)
                           {
                               const auto id = it->result.header("Runlink-Request-Id");
                               return !it->is_whole() || bills.contains("r:" + id);
                           });
    };
    CHECK(run_until(billed));
    for (const auto& [bill, entries] : group.bills())
        CHECK(entries.size() == 1);
}

} // namespace

TEST_CASE("a request is routed, streamed and billed; a session keeps its version through a roll-out")
{
    process_group group{3};
    const auto streamed = group.call(0, completions, process_group::completion("hello", true));
    CHECK(streamed->is_whole());
    CHECK(streamed->body.find("w3") != std::string::npos);
    CHECK(streamed->body.ends_with("data: [DONE]\n\n"));
    CHECK(streamed->outcome() == "ran");
    const auto first =
        group.call(1, completions, process_group::completion("x"), {{"Runlink-Session", "new"}});
    const auto session = first->result.header("Runlink-Session");
    group.apply({{"changes", json::array({{{"action", "serve"}, {"version", "review/r2"}},
                                          {{"action", "retire"}, {"version", "review/r1"}}})}});
    const auto later =
        group.call(2, completions, process_group::completion("x"), {{"Runlink-Session", session}});
    CHECK(later->result.header("Runlink-Version") == "r1");
    const auto fresh = group.call(2, completions, process_group::completion("x"));
    CHECK(fresh->result.header("Runlink-Version") == "r2");
    const auto service = group.call(0, "/v1/services/transfer/gate/release", "{}");
    CHECK(service->body.find("/gate/release") != std::string::npos);
    check_bills(group, {streamed, first, later, fresh, service});

    group.apply({{"changes", json::array({{{"action", "withdraw"}, {"version", "review/r1"}}})}});
    const auto told =
        group.call(1, completions, process_group::completion("x"), {{"Runlink-Session", session}});
    CHECK(told->result.status == 409);
    CHECK(told->body.find("session_version_withdrawn") != std::string::npos);
    CHECK(told->outcome() == "not_run");
}

TEST_CASE("bad input gets a typed error with outcome not run")
{
    process_group group{1};
    const auto good = process_group::completion("x");
    const auto check = [&](const answer_ptr& it, int status, const std::string& code)
    {
        CHECK(it->result.status == status);
        CHECK(it->outcome() == "not_run");
        CHECK(it->body.find("\"" + code + "\"") != std::string::npos);
    };
    check(group.call(0, completions, "{", {}), 400, "malformed_request");
    check(group.call(0, completions, good, {}, "wrong-key"), 401, "unauthenticated");
    check(group.call(0, completions, process_group::completion("x", false, 4, "poetry")), 404,
          "unknown_model");
    check(group.call(0, completions, process_group::completion("x", false, 4, "review/r9")), 404,
          "unknown_version");
    check(group.call(0, completions, process_group::completion("x", false, 4, "review/r2"), {}, "branch-key"),
          403, "not_allowed");
    check(group.call(0, "/v1/services/transfer", "{}", {}, "branch-key"), 403, "not_allowed");
    check(group.call(0, "/v1/services/none", "{}"), 404, "unknown_service");
    check(group.call(0, completions, good, {{"Runlink-Session", "s1~office~review~r1~x~00"}}), 400,
          "session_token_invalid");
    check(group.call(0, completions, std::string(5'000'000, ' ')), 413, "body_too_large");
    check(group.call(0, "/v1/intents", "{}", {}, "office-key"), 401, "unauthenticated");
    check(group.call(0, "/v1/intents", "{}", {}, "operator-key"), 400, "plan_invalid");
    auto plan = group
                    .call(0, "/v1/intents", R"({"changes":[{"action":"retire","version":"review/r1"}]})", {},
                          "operator-key")
                    ->body;
    const auto old = plan;
    plan.replace(plan.find("retiring"), 8, "withdrawn");
    check(group.call(0, "/v1/plans", plan, {}, "operator-key"), 400, "plan_invalid");
    group.apply({{"changes", json::array({{{"action", "leave"}, {"endpoint", "e1"}}})}});
    check(group.call(0, "/v1/plans", old, {}, "operator-key"), 409, "plan_conflict");
    CHECK(group.runs_of("") == 0);
}

TEST_CASE("a call that may run once runs once: same key at two instances, kill, and restart")
{
    process_group group{3};
    group.control(0, {{"stall", true}});
    group.control(1, {{"stall", true}});
    const auto body = process_group::completion("dispute-1");
    const auto a = group.start_call(0, completions, body, not_repeatable_with_key("k1"));
    const auto b = group.start_call(1, completions, body, not_repeatable_with_key("k1"));
    REQUIRE(run_until([&] { return (a->done || b->done) && group.runs_of("dispute-1") == 1; }));
    const auto& refused = a->done ? a : b;
    CHECK(refused->result.status == 409);
    CHECK(refused->outcome() == "unknown");
    const int holder = a->done ? 1 : 0;
    group.kill_instance(holder);
    const auto told_unknown = [&]
    {
        const auto it = group.call(2, completions, body, not_repeatable_with_key("k1"));
        return it->body.find("request_unknown") != std::string::npos;
    };
    CHECK(run_until(told_unknown));
    group.start_instance(holder);
    group.wait_until_ready();
    CHECK(run_until(
        [&]
        {
            const auto it = group.call(holder, completions, body, not_repeatable_with_key("k1"));
            return it->body.find("request_unknown") != std::string::npos;
        }));
    CHECK(group.runs_of("dispute-1") == 1);
}

TEST_CASE("an endpoint takes calls and drops them: once stays once, repeatable calls run elsewhere")
{
    process_group group{1};
    group.control(0, {{"drop", true}});
    group.control(1, {{"drop", true}});
    const auto lost = group.call(0, completions, process_group::completion("once-1"), not_repeatable);
    CHECK(lost->result.status == 502);
    CHECK(lost->outcome() == "unknown");
    CHECK(group.runs_of("once-1") == 1);
    group.control(-2, {{"drop", true}});
    CHECK(group.call(0, "/v1/services/transfer/once-2", "once-2", not_repeatable)->outcome() == "unknown");
    CHECK(group.runs_of("once-2") == 1);
    group.control(1, {{"drop", false}});
    std::vector<answer_ptr> calls;
    for (int n = 0; n < 5; ++n)
        calls.push_back(group.call(0, completions, process_group::completion("again-" + std::to_string(n))));
    for (const auto& it : calls)
        CHECK(it->is_whole());
    check_bills(group, calls);
}

TEST_CASE("an answer that breaks off is not taken for a whole one")
{
    process_group group{1, 1};
    group.control(0, {{"cut", true}});
    const auto it = group.call(0, completions, process_group::completion("cut", true, 10));
    CHECK_FALSE(it->result.complete);
    CHECK(it->body.find("[DONE]") == std::string::npos);
    CHECK(it->body.find("event: error") != std::string::npos);
    CHECK(it->body.find("\"outcome\":\"unknown\"") != std::string::npos);
}

TEST_CASE(
    "the store is down: answers go on, keys that need it are refused truly, and every bill follows once")
{
    process_group group{3};
    std::vector<answer_ptr> calls;
    for (int n = 0; n < 5; ++n)
        calls.push_back(group.call(n % 3, completions, process_group::completion("before")));
    group.control(-1, {{"outage", true}});
    for (int n = 0; n < 12; ++n)
        calls.push_back(group.start_call(n % 3, completions, process_group::completion("during")));
    REQUIRE(run_until([&] { return all_done(calls); }));
    for (const auto& it : calls)
        CHECK(it->is_whole());
    const auto refused =
        group.call(0, completions, process_group::completion("claim-1"), not_repeatable_with_key("k"));
    CHECK(refused->result.status == 503);
    CHECK(refused->outcome() == "not_run");
    CHECK_FALSE(refused->result.header("Retry-After").empty());
    CHECK(group.runs_of("claim-1") == 0);
    group.kill_instance(2); // the other instances hold copies of its bills
    group.control(-1, {{"outage", false}});
    check_bills(group, calls);
    CHECK(run_until(
        [&]
        {
            const auto it = group.call(0, completions, process_group::completion("claim-1"),
                                       not_repeatable_with_key("k"));
            return it->is_whole();
        }));
    CHECK(group.runs_of("claim-1") == 1);
}

TEST_CASE("replies to writes are lost: nothing is billed twice and nothing is lost")
{
    process_group group{2};
    group.control(-1, {{"lose_write_replies", 5}});
    std::vector<answer_ptr> calls;
    for (int n = 0; n < 20; ++n)
        calls.push_back(group.start_call(n % 2, completions, process_group::completion("x")));
    REQUIRE(run_until([&] { return all_done(calls); }));
    for (const auto& it : calls)
        CHECK(it->is_whole());
    check_bills(group, calls);
}

TEST_CASE("each instance in turn is stopped under load: nothing is cut off, and refusals are true")
{
    process_group group{3};
    std::vector<answer_ptr> calls;
    int sent = 0;
    const auto load = [&](int n)
    {
        for (int k = 0; k < 4; ++k)
            calls.push_back(group.start_call(
                n, completions, process_group::completion("load-" + std::to_string(++sent) + "-", true, 40)));
    };
    for (int n = 0; n < 3; ++n)
    {
        load(n);
        REQUIRE(run_until([&] { return group.runs_of("load-") >= 1; }));
        auto& process = group.instance(n);
        group.signal_instance(n, SIGTERM);
        load(n);
        REQUIRE(run_until([&] { return process.state() == QProcess::NotRunning; }));
        CHECK(process.exitStatus() == QProcess::NormalExit);
        CHECK(process.exitCode() == 0);
        group.start_instance(n);
        group.wait_until_ready();
    }
    REQUIRE(run_until([&] { return all_done(calls); }));
    for (std::size_t n = 0; n < calls.size(); ++n)
    {
        const auto& it = *calls[n];
        INFO("call " << n << ": status " << (it.result.status ? it.result.status->value() : 0)
                     << ", complete " << it.result.complete << ", outcome " << it.outcome()
                     << ", body: " << it.body);
        CHECK((it.is_whole() || it.outcome() == "not_run" || !it.result.body_sent));
    }
    check_bills(group, calls);
}

TEST_CASE("an instance is frozen while others go on, and comes back")
{
    process_group group{3};
    group.signal_instance(0, SIGSTOP);
    REQUIRE(run_until([&] { return group.status(1).at("members").size() == 2; }));
    std::vector<answer_ptr> calls;
    for (int n = 0; n < 8; ++n)
        calls.push_back(group.call(1 + n % 2, completions, process_group::completion("x"),
                                   {{"Idempotency-Key", "f" + std::to_string(n)}}));
    for (const auto& it : calls)
        CHECK(it->is_whole());
    group.signal_instance(0, SIGCONT);
    group.wait_until_ready();
    for (int n = 0; n < 8; ++n)
    {
        const auto again = group.call(0, completions, process_group::completion("x"),
                                      {{"Idempotency-Key", "f" + std::to_string(n)}});
        CHECK(again->result.header("Runlink-Replayed") == "true");
        CHECK(again->body == calls[static_cast<std::size_t>(n)]->body);
    }
    for (const auto& [bill, entries] : group.bills())
        CHECK(entries.size() == 1);
}

TEST_CASE("an endpoint that says it is leaving gets no new work, though the list says it is live")
{
    process_group group{2};
    const auto list = [](const char* state)
    {
        return json::array({{{"name", "e0"}, {"state", state}, {"incarnation", 100}},
                            {{"name", "e1"}, {"state", "live"}, {"incarnation", 101}}});
    };
    group.list_instances(list("live"));
    group.control(0, {{"leaving", true}});
    const auto known = [&]
    {
        group.call(0, completions, process_group::completion("probe"));
        return group.status(0).at("leaving_endpoints") == json::array({"e0"}) &&
               group.status(1).at("leaving_endpoints") == json::array({"e0"});
    };
    REQUIRE(run_until(known));
    for (int n = 0; n < 10; ++n)
        CHECK(group.call(n % 2, completions, process_group::completion("after-leave"))->is_whole());
    CHECK(group.counts(0).at("runs_by_body").dump().find("after-leave") == std::string::npos);
}

TEST_CASE(
    "an instance that joins while the store is down serves what its peers have in force, and nothing before")
{
    process_group group{3};
    group.apply({{"changes", json::array({{{"action", "serve"}, {"version", "review/r2"}},
                                          {{"action", "withdraw"}, {"version", "review/r1"}}})}});
    group.control(-1, {{"outage", true}});
    group.kill_instance(2);
    group.start_instance(2);
    REQUIRE(run_until([&] { return group.is_ready(2); }));
    CHECK(group.status(2).at("revision") == 2);
    const auto it = group.call(2, completions, process_group::completion("x"));
    CHECK(it->result.header("Runlink-Version") == "r2");
}

TEST_CASE("a version that turns bad under traffic is stopped everywhere and withdrawn in the configuration")
{
    process_group group{2};
    group.apply({{"changes",
                  json::array({{{"action", "roll_out"}, {"version", "review/r2"}, {"share_percent", 50}}})}});
    group.control(-1, {{"rating_ms", 5}});
    group.control(0, {{"bad_version", "review/r2"}});
    group.control(1, {{"bad_version", "review/r2"}});
    const auto withdrawn = [&]
    {
        group.call(0, completions, process_group::completion("x"));
        for (int n = 0; n < 2; ++n)
        {
            const auto seen = group.status(n);
            for (const auto& it : seen.at("versions"))
                if (it.at("version") == "review/r2" && it.at("state") != "withdrawn")
                    return false;
        }
        return true;
    };
    REQUIRE(run_until(withdrawn));
    CHECK(group.counts(0).at("runs_by_version").value("review/r2", 0) +
              group.counts(1).at("runs_by_version").value("review/r2", 0) <=
          10);
    for (int n = 0; n < 10; ++n)
        CHECK(group.call(n % 2, completions, process_group::completion("x"))
                  ->result.header("Runlink-Version") == "r1");
}

TEST_CASE("the programs say what is wrong with their settings and their arguments")
{
    QProcess it;
    it.start(RUNLINK_DAEMON, {"--check-settings", "/nowhere.json"});
    REQUIRE(it.waitForFinished());
    CHECK(it.exitCode() == 2);
    CHECK(it.readAllStandardError().contains("settings_invalid"));
    it.start(RUNLINK_COMMAND, {"--address", "127.0.0.1:1", "status"});
    REQUIRE(it.waitForFinished());
    CHECK(it.exitCode() == 3);
    it.start(RUNLINK_COMMAND, {"--address", "nonsense", "status"});
    REQUIRE(it.waitForFinished());
    CHECK(it.exitCode() == 2);
}

TEST_CASE("an instance starts again though its port was taken on the common loopback address meanwhile")
{
    // Guards against ports that are drawn, freed and lost to another test run or to an outgoing connection.
    process_group it{1};
    it.kill_instance(0);
    QTcpServer other;
    REQUIRE(other.listen(QHostAddress::LocalHost, it.port_of_instance(0)));
    it.start_instance(0);
    CHECK(it.get(0, "/healthz")->result.status == 200);
}
