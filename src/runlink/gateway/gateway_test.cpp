#include <catch2/catch.hpp>

#include <limits>

#include "runlink/gateway/gateway_settings.hpp"
#include "runlink/gateway/gossip_link.hpp"
#include "runlink/gateway/held_answers.hpp"
#include "runlink/gateway/loop_watch.hpp"
#include "runlink/gateway/statement_reader.hpp"
#include "runlink/gateway/translation.hpp"
#include "runlink/proto/gossip_codec.hpp"
#include "support/wait_for.hpp"

using namespace runlink;
using namespace runlink::gateway;

namespace
{

net::http_request_head make_head(std::vector<net::http_field> fields)
{
    net::http_request_head out;
    out.method = "POST";
    out.target = "/llm/x?q=1";
    for (auto& it : fields)
        out.fields.add(it.name, it.value);
    return out;
}

const std::string settings_text = R"({
  "instance": {"id": "a-1", "failure_domain": "north"},
  "listen": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0"},
  "store": "127.0.0.1:9",
  "seeds": ["10.0.0.9:8605", "10.0.0.8:8605"],
  "bounds": {"key_revocation_ms": 4000, "keys_expire": false, "stop_grace_s": 7.5, "drain_ms": 3000,
             "retry_ratio": 0.9, "retry_slack": 222}
})";

} // namespace

TEST_CASE("a caller's request is parsed")
{
    const header_names names;
    const auto it = read_request(names, make_head({{"Host", "h"},
                                                   {names.request_id, "r1"},
                                                   {names.deadline_ms, "250"},
                                                   {names.model, "*"},
                                                   {names.tokens, "300,40"},
                                                   {names.prompt, "a:100,b:200"},
                                                   {names.last_event, "7"}}));
    REQUIRE(it);
    CHECK(it.value().path == "/llm/x");
    CHECK(it.value().time_left == core::milliseconds{250});
    CHECK(it.value().model.empty());
    CHECK(it.value().max_new_tokens == 40);
    CHECK(it.value().prompt.at(1).tokens == 200);
    CHECK(it.value().last_event == 7U);
}

TEST_CASE("a request with an invalid field is rejected")
{
    const header_names names;
    const auto fails = [&](net::http_field it) {
        return !read_request(names, make_head({{names.request_id, "r1"}, std::move(it)})).has_value();
    };
    CHECK(fails({names.deadline_ms, "soon"}));
    CHECK(fails({names.deadline_ms, "-5"}));
    CHECK(fails({names.tokens, "12"}));
    CHECK(fails({names.prompt, "a"}));
    CHECK(fails({names.request_id, "r2"}));
    CHECK_FALSE(read_request(names, make_head({})));
}

TEST_CASE("a limit is read from an endpoint's answer of any status; values that are not numbers are ignored")
{
    const header_names names;
    const core::request_id request{"r1"};
    const auto read = [&](int status, const std::vector<std::string>& limits)
    {
        net::http_response_head head;
        head.status = status;
        head.fields.add(names.request_id, "r1");
        for (const auto& it : limits)
            head.fields.add("runlink-LIMIT", it);
        return read_statement(names, head, request);
    };
    for (const int status : {200, 429, 500, 503, 504})
        CHECK(read(status, {"2.5"})->requests_per_s == 2.5);
    CHECK(read(200, {"0"})->requests_per_s == 0.0);
    CHECK(read(200, {"3", "3.0"})->requests_per_s == 3.0);
    CHECK_FALSE(read(200, {})->requests_per_s);
    CHECK(read(200, {})->is_limit_readable);
    for (const auto* it :
         {"", " ", "nan", "inf", "-1", "-0", "two", "2 a second", "1e999", "Thu, 03 Dec 2026 10:00:00 GMT"})
    {
        INFO(it);
        CHECK_FALSE(read(200, {it})->requests_per_s);
        CHECK_FALSE(read(200, {it})->is_limit_readable);
    }
    CHECK_FALSE(read(200, {"2", "3"})->is_limit_readable);
    CHECK_FALSE(read(421, {"2"}));
    net::http_response_head surplus;
    surplus.status = 503;
    surplus.fields.add(names.limit, "2");
    CHECK_FALSE(read_statement(names, surplus, request));
    surplus.fields.add(names.request_id, "r0");
    CHECK_FALSE(read_statement(names, surplus, request));
}

TEST_CASE("a shutdown notice is read from an answer of any status, a rest only from a 503")
{
    const header_names names;
    const auto read = [&](int status, const std::string& name, const std::string& value)
    {
        net::http_response_head head;
        head.status = status;
        head.fields.add(names.request_id, "r1");
        head.fields.add(name, value);
        return *read_statement(names, head, core::request_id{"r1"});
    };
    for (const int status : {200, 429, 500, 503})
        CHECK(read(status, names.leaving, "1").is_leaving);
    CHECK_FALSE(read(200, names.leaving, "0").is_leaving);
    CHECK(read(200, names.leaving, "0").is_leaving_readable);
    CHECK_FALSE(read(200, names.leaving, "yes").is_leaving_readable);
    CHECK_FALSE(read(200, names.leaving, "2").is_leaving_readable);
    CHECK_FALSE(read(200, names.leaving, "2").is_leaving);
    CHECK(read(503, "retry-after", "2.5").rest == core::milliseconds{2500});
    CHECK(read(503, names.rest, "0").rest == core::duration{});
    CHECK(read(503, names.rest, "1e300").rest == core::seconds{86'400});
    CHECK_FALSE(read(500, names.rest, "3").rest);
    CHECK_FALSE(read(200, names.rest, "3").rest);
    CHECK_FALSE(read(503, names.rest, "Thu, 03 Dec 2026 10:00:00 GMT").is_rest_readable);
    CHECK_FALSE(read(503, names.rest, "-1").rest);
}

TEST_CASE("the load of an endpoint is read whole or not at all")
{
    // Guards against estimates from half a statement.
    const header_names names;
    const auto read = [&](const std::string& value)
    {
        net::http_response_head head;
        head.status = 200;
        head.fields.add(names.request_id, "r1");
        head.fields.add(names.load, value);
        return *read_statement(names, head, core::request_id{"r1"});
    };
    CHECK(read("5,3,8,250").load == load::load_statement{5, 3, 8, 250});
    CHECK(read("5,3,8,250").is_load_readable);
    for (const auto* it : {"", "5,3,8", "5,3,8,", "5,3,8,250,1", "5,,8,250", "-1,3,8,250", "5,3,0,250",
                           "5,3,8,0", "5, 3,8,250", "5,3,8,99999999999"})
    {
        INFO(it);
        CHECK_FALSE(read(it).load);
        CHECK_FALSE(read(it).is_load_readable);
    }
}

TEST_CASE("reserved fields of callers are removed in any spelling")
{
    header_names names;
    names.reserved = {"X-Hold"};
    routing::attempt_order order;
    order.endpoint.id = core::endpoint_id{"e1"};
    order.account = core::account_id{"acme"};
    order.time_left = core::milliseconds{90};
    const auto bytes = write_attempt(names,
                                     make_head({{"Host", "h"},
                                                {"x-hold", "forged"},
                                                {"X_HOLD", "forged"},
                                                {"RUNLINK_ACCOUNT", "forged"},
                                                {"runlink-key", "secret"},
                                                {"Runlink-Expected-Endpoint", "forged"},
                                                {"Connection", "X-Once"},
                                                {"X-Once", "1"},
                                                {"X-Other", "kept"},
                                                {"Runlink-Deadline-Ms", "99999"}}),
                                     "body", order);
    CHECK(bytes.find("forged") == std::string::npos);
    CHECK(bytes.find("secret") == std::string::npos);
    CHECK(bytes.find("X-Once") == std::string::npos);
    CHECK(bytes.find("99999") == std::string::npos);
    CHECK(bytes.find("X-Other: kept\r\n") != std::string::npos);
    CHECK(bytes.find("Runlink-Account: acme\r\n") != std::string::npos);
    CHECK(bytes.find("Runlink-Deadline-Ms: 90\r\n") != std::string::npos);
    CHECK(bytes.starts_with("POST /llm/x?q=1 HTTP/1.1\r\n"));
    CHECK(bytes.ends_with("Content-Length: 4\r\n\r\nbody"));
}

TEST_CASE("an answer is matched to its request by id; only refusals may lack the id")
{
    const header_names names;
    net::http_response_head head;
    head.status = 200;
    CHECK_FALSE(is_answer_to(names, head, core::request_id{"r1"}));
    head.status = 421;
    CHECK(is_answer_to(names, head, core::request_id{"r1"}));
    head.fields.add(names.request_id, "r2");
    CHECK_FALSE(is_answer_to(names, head, core::request_id{"r1"}));
}

TEST_CASE("an answer with a content encoding does not count as sealed by the endpoint")
{
    const header_names names;
    net::http_response_head head;
    head.status = 200;
    head.fields.add(names.digest, "d");
    CHECK(read_attempt_head(names, head).is_sealed);
    head.fields.add("Content-Encoding", "gzip");
    CHECK_FALSE(read_attempt_head(names, head).is_sealed);
}

TEST_CASE("a refusal has Retry-After only if the request did not run")
{
    const core::failure why{core::errc::overloaded, "x", core::milliseconds{300}};
    CHECK(write_refusal({503, true, why}, "r1", false).find("Retry-After: 0.300") != std::string::npos);
    CHECK(write_refusal({502, false, why}, "r1", false).find("Retry-After") == std::string::npos);
    CHECK(write_refusal({502, false, why}, "r1", false).find("unknown") != std::string::npos);
}

TEST_CASE("settings are validated strictly, and faults are reported with their paths")
{
    const auto good = parse_gateway_settings(settings_text);
    REQUIRE(good);
    CHECK(good.value().stop_grace == core::milliseconds{7500});
    CHECK(good.value().key_revocation == core::milliseconds{4000});
    CHECK_FALSE(good.value().keys_expire);
    CHECK(good.value().seeds == std::vector<std::string>{"10.0.0.9", "10.0.0.8"});
    const auto bad = parse_gateway_settings(
        R"({"instance": {"id": "a"}, "listen": {"callers": "here", "extra": 1}, "tuning": {"move_after": "x"},
            "seeds": ["host"]})");
    REQUIRE_FALSE(bad);
    for (const auto* path : {"$.instance.failure_domain", "$.listen.callers", "$.listen.extra", "$.store",
                             "$.seeds", "$.tuning.move_after", "$.bounds"})
        CHECK(bad.error().detail.find(path) != std::string::npos);
}

TEST_CASE("settings with a name that would end a header field are rejected")
{
    for (const auto* member : {"\"id\"", "\"failure_domain\""})
    {
        auto text = settings_text;
        const auto from = text.find('"', text.find(':', text.find(member)));
        text.insert(from + 1, "a\\r\\nX-Other: 1");
        const auto read = parse_gateway_settings(text);
        REQUIRE_FALSE(read);
        CHECK(read.error().detail.find("must be a name") != std::string::npos);
    }
}

TEST_CASE("the memory of a process bounds the answers that it holds")
{
    constexpr std::size_t mb = 1'000'000;
    CHECK(answer_limits::for_memory(260 * mb).max_total_bytes == 65 * mb);
    CHECK(answer_limits::for_memory(260 * mb).max_answer_bytes == answer_limits{}.max_answer_bytes);
    CHECK(answer_limits::for_memory(40 * mb).max_answer_bytes == 10 * mb);
    auto text = settings_text;
    text.replace(text.find("\"id\""), 4, "\"memory_mb\": 260, \"id\"");
    CHECK(parse_gateway_settings(text).value().memory_mb == 260);
}

TEST_CASE("settings without a valid retry budget are rejected")
{
    const auto good = parse_gateway_settings(settings_text);
    REQUIRE(good);
    CHECK(good.value().retry_ratio == 0.9);
    CHECK(good.value().retry_slack == 222);
    const auto fault_of = [](const std::string& bounds)
    {
        auto text = settings_text;
        const auto from = text.find("\"bounds\"");
        text.replace(from, text.find('}', from) + 1 - from, "\"bounds\": " + bounds);
        const auto out = parse_gateway_settings(text);
        return out ? std::string{} : out.error().detail;
    };
    for (const auto* bounds :
         {R"({"retry_ratio": 0.9})", R"({"retry_ratio": 0.9, "retry_slack": -1})",
          R"({"retry_ratio": 0.9, "retry_slack": 2000000})", R"({"retry_ratio": 0.9, "retry_slack": "50"})"})
        CHECK(fault_of(bounds).find("$.bounds.retry_slack") != std::string::npos);
    for (const auto* bounds : {R"({"retry_slack": 50})", R"({"retry_slack": 50, "retry_ratio": -0.1})",
                               R"({"retry_slack": 50, "retry_ratio": 11})"})
        CHECK(fault_of(bounds).find("$.bounds.retry_ratio") != std::string::npos);
    CHECK(fault_of(R"({"retry_slack": 50, "retry_ratio": 1, "retry_window_s": 0.5})")
              .find("$.bounds.retry_window_s") != std::string::npos);
}

TEST_CASE("load tracking is off unless the settings switch it on")
{
    REQUIRE(parse_gateway_settings(settings_text));
    CHECK(parse_gateway_settings(settings_text).value().load == load::load_options{});
    const auto with = [](const std::string& block)
    {
        auto text = std::string{settings_text};
        text.insert(text.find('{') + 1, "\"load\": " + block + ", ");
        return parse_gateway_settings(text);
    };
    const auto on = with(R"({"engine_load": "scarce", "model_choice": "scarce", "plain_load": "on",
                             "scarce_tokens_per_slot": 6000, "forecast": "counts"})");
    REQUIRE(on);
    CHECK(on.value().load.engine_load == load::load_switch::scarce);
    CHECK(on.value().load.plain_load == load::load_switch::on);
    CHECK(on.value().load.scarce_tokens_per_slot == 6000);
    CHECK(on.value().load.forecast == load::forecast_kind::counts);
    const auto wrong = with(R"({"engine_load": "yes", "forecast": "guess", "scarce_tokens_per_slot": -1,
                                "model_choice": "on", "other": 1})");
    REQUIRE_FALSE(wrong);
    for (const auto* path : {"$.load.engine_load", "$.load.forecast", "$.load.scarce_tokens_per_slot",
                             "$.load.model_choice", "$.load.other"})
        CHECK(wrong.error().detail.find(path) != std::string::npos);
}

TEST_CASE("regions of failure domains are read, and invalid ones are reported")
{
    auto text = std::string{settings_text};
    text.insert(text.find('{') + 1, R"("regions": {"n": "here"}, )");
    const auto good = parse_gateway_settings(text);
    REQUIRE(good);
    const auto& regions = good.value().regions;
    CHECK(regions.allows(core::failure_domain_id{"n"}, {core::region_id{"here"}}));
    CHECK_FALSE(regions.allows(core::failure_domain_id{"m"}, {core::region_id{"here"}}));
    for (const auto* odd : {R"("regions": 7, )", R"("regions": {"n": 7}, )"})
    {
        auto wrong = std::string{settings_text};
        wrong.insert(wrong.find('{') + 1, odd);
        const auto bad = parse_gateway_settings(wrong);
        REQUIRE_FALSE(bad);
        CHECK(bad.error().detail.find("$.regions") != std::string::npos);
    }
}

TEST_CASE("settings of duties are read, and invalid ones are reported")
{
    auto text = std::string{settings_text};
    CHECK(parse_gateway_settings(text).value().duties.address.port == 0);
    text.insert(text.find('{') + 1, R"("duties": {"address": "10.0.0.3:80", "names": ["usage_report"],
        "lease_ms": 4000, "report_window_s": 5, "report_lateness_s": 10}, )");
    const auto good = parse_gateway_settings(text);
    REQUIRE(good);
    const auto& duties = good.value().duties;
    CHECK(duties.address.port == 80);
    CHECK(duties.reports_usage);
    CHECK_FALSE(duties.orders_endpoints);
    CHECK(duties.lease == core::milliseconds{4000});
    CHECK(duties.report_lateness == core::milliseconds{10'000});
    auto wrong = std::string{settings_text};
    wrong.insert(wrong.find('{') + 1,
                 R"("duties": {"address": "here", "names": ["other"], "report_window_s": 0}, )");
    const auto bad = parse_gateway_settings(wrong);
    REQUIRE_FALSE(bad);
    for (const auto* path : {"$.duties.address", "$.duties.names", "$.duties.report_window_s"})
        CHECK(bad.error().detail.find(path) != std::string::npos);
}

TEST_CASE("counts for usage reports keep their contents when encoded and decoded")
{
    const duties::usage_report it{core::instance_id{"a"},
                                  core::incarnation_id{"a/1"},
                                  {{duties::window_number{7}, {{core::account_id{"acme"}, 3}}}},
                                  {{core::service_id{"pool"}, 4}}};
    const auto out = std::get<duties::usage_report>(proto::decode_datagram(proto::encode(it)));
    CHECK(out.sender == it.sender);
    CHECK(out.process == it.process);
    CHECK(out.windows == it.windows);
    CHECK(out.loads == it.loads);
}

TEST_CASE("a datagram with a number out of range is rejected")
{
    // Guards against a port that wraps, and against a proof of the future.
    const auto is_rejected = [](const std::string& bytes)
    { return std::holds_alternative<std::monostate>(proto::decode_datagram(bytes)); };
    // The numbers 20,000 and 70,000 as varints.
    const std::string good_port{"\xa0\x9c\x01"};
    const std::string bad_port{"\xf0\xa2\x04"};
    control::sync_request request;
    request.sender = {core::instance_id{"a"}, core::failure_domain_id{"n"}, "10.0.0.1", 20'000, 200};
    paths::reach_reply reach;
    reach.port = 20'000;
    for (auto bytes : {proto::encode(request), proto::encode(reach)})
    {
        CHECK_FALSE(is_rejected(bytes));
        REQUIRE(bytes.find(good_port) != std::string::npos);
        CHECK(is_rejected(bytes.replace(bytes.find(good_port), good_port.size(), bad_port)));
    }
    control::sync_reply reply;
    for (const auto age : {core::milliseconds{-1}, core::milliseconds::min(), core::milliseconds::max()})
    {
        reply.proof_age = age;
        CHECK(is_rejected(proto::encode(reply)));
    }
    reply.proof_age = core::milliseconds{60'000};
    CHECK_FALSE(is_rejected(proto::encode(reply)));
}

TEST_CASE("datagrams keep their contents when encoded and decoded; invalid bytes are rejected")
{
    routing::gossip_message it;
    it.sender = core::instance_id{"a"};
    it.runs = {{routing::session_hash{77}, core::version_id{"v1"}}};
    it.evidence = {{core::service_id{"s"},
                    40,
                    {"r", core::model_id{"m"}},
                    {5, {2, 1, 0, 0}},
                    {9, {0, 3, 2, 1}},
                    {routing::endpoint_hash{1}, routing::endpoint_hash{9}},
                    {routing::endpoint_hash{4}}}};
    const auto gossip = std::get<routing::gossip_message>(proto::decode_datagram(proto::encode(it)));
    CHECK(gossip.sender == it.sender);
    CHECK(gossip.runs.at(0).session.value() == 77);
    const auto& evidence = gossip.evidence.at(0);
    CHECK(evidence.order_revision == 40);
    CHECK(evidence.group == it.evidence[0].group);
    CHECK(evidence.fresh == it.evidence[0].fresh);
    CHECK(evidence.old == it.evidence[0].old);
    CHECK(evidence.flawed == it.evidence[0].flawed);
    CHECK(evidence.sound == it.evidence[0].sound);
    control::sync_request request;
    request.sender = {core::instance_id{"a"}, core::failure_domain_id{"n"}, "10.0.0.1", 7100, 200};
    request.number = 3;
    request.store_revision = 99;
    request.is_joining = true;
    request.configuration_version = 20;
    const auto asked = std::get<control::sync_request>(proto::decode_datagram(proto::encode(request)));
    CHECK(asked.sender == request.sender);
    CHECK(asked.number == 3);
    CHECK(asked.store_revision == 99);
    CHECK(asked.is_joining);
    CHECK(asked.configuration_version == 20);
    control::sync_reply reply;
    reply.proof_age = core::milliseconds{0};
    reply.events = {{{"k", std::string{"v\0w", 3}, 7}, true}};
    reply.omitted = {{"big", 5}};
    reply.complete_since = 4;
    const auto back = std::get<control::sync_reply>(proto::decode_datagram(proto::encode(reply)));
    CHECK(back.proof_age == core::milliseconds{0});
    CHECK(back.events.at(0).item.value.size() == 3);
    CHECK(back.events.at(0).is_deleted);
    CHECK(back.omitted == reply.omitted);
    CHECK(back.complete_since == 4);
    const load::load_digest load{core::failure_domain_id{"n"},
                                 {{routing::endpoint_hash{7}, core::milliseconds{90}}}};
    const auto digest = std::get<load::load_digest>(proto::decode_datagram(proto::encode(load)));
    CHECK(digest.domain == load.domain);
    CHECK(digest.loads.at(0).endpoint.value() == 7);
    CHECK(digest.loads.at(0).left == core::milliseconds{90});
    CHECK(digest.loads.at(0).running == 0);
    auto tracked = load;
    tracked.loads.push_back({routing::endpoint_hash{8}, core::milliseconds{0}, 5, 70'000, 900});
    const auto streams = std::get<load::load_digest>(proto::decode_datagram(proto::encode(tracked)));
    REQUIRE(streams.loads.size() == 2);
    CHECK(streams.loads[1].running == 5);
    CHECK(streams.loads[1].held_tokens == 70'000);
    CHECK(streams.loads[1].tokens_left == 900);
    routing::gossip_message streamed;
    streamed.sender = core::instance_id{"a"};
    streamed.prompts.push_back({routing::endpoint_hash{7}, routing::prompt_hash{9}, core::milliseconds{30},
                                load::stream_hash{11}, 12'000, 380, core::milliseconds{5000}});
    streamed.ended.push_back({routing::endpoint_hash{7}, load::stream_hash{11}});
    streamed.counts.push_back({routing::endpoint_hash{7}, 4, true, 2500, 31'000});
    const auto changes = std::get<routing::gossip_message>(proto::decode_datagram(proto::encode(streamed)));
    CHECK(changes.prompts.at(0).stream.value() == 11);
    CHECK(changes.prompts.at(0).held_tokens == 12'000);
    CHECK(changes.prompts.at(0).made_tokens == 380);
    CHECK(changes.prompts.at(0).run_time == core::milliseconds{5000});
    CHECK(changes.ended.at(0).stream.value() == 11);
    CHECK(changes.counts.at(0).in_flight == 4);
    CHECK(changes.counts.at(0).is_full);
    CHECK(changes.counts.at(0) == streamed.counts.at(0));
    tracked.counts = streamed.counts;
    CHECK(std::get<load::load_digest>(proto::decode_datagram(proto::encode(tracked))).counts ==
          streamed.counts);
    const auto leaving = std::get<routing::leaving_notices>(proto::decode_datagram(
        proto::encode(routing::leaving_notices{{{core::endpoint_id{"e1@5"}, core::milliseconds{70}}}})));
    REQUIRE(leaving.notices.size() == 1);
    CHECK(leaving.notices[0].endpoint == core::endpoint_id{"e1@5"});
    CHECK(leaving.notices[0].age == core::milliseconds{70});
    const places::limit_reports limits{
        core::instance_id{"a"},
        {{core::endpoint_id{"e1"}, 2.5, core::milliseconds{40}, 7},
         {core::endpoint_id{"e2"}, std::nullopt, core::milliseconds{9}, 3},
         {core::endpoint_id{"e3"}, std::numeric_limits<double>::quiet_NaN(), core::milliseconds{9}, 3}}};
    const auto heard = std::get<places::limit_reports>(proto::decode_datagram(proto::encode(limits)));
    CHECK(heard.sender == limits.sender);
    REQUIRE(heard.reports.size() == 2);
    CHECK(heard.reports[0].requests_per_s == 2.5);
    CHECK(heard.reports[0].age == core::milliseconds{40});
    CHECK(heard.reports[0].sends == 7);
    CHECK_FALSE(heard.reports[1].requests_per_s);
    CHECK(std::holds_alternative<std::monostate>(proto::decode_datagram("\xff\xff")));
    CHECK(std::holds_alternative<std::monostate>(proto::decode_datagram("")));
}

TEST_CASE("in a large fleet, prompts go to the own failure domain and rollout evidence to all instances")
{
    struct heard
    {
        int prompts = 0;
        int runs = 0;
        int evidence = 0;
        int ended = 0;
    };
    heard near_one;
    heard far_one;
    const auto counting = [](heard& to)
    {
        return [&to](const proto::datagram& it)
        {
            const auto& message = std::get<routing::gossip_message>(it);
            to.prompts += static_cast<int>(message.prompts.size());
            to.runs += static_cast<int>(message.runs.size());
            to.evidence += static_cast<int>(message.evidence.size());
            to.ended += static_cast<int>(message.ended.size());
        };
    };
    const core::failure_domain_id n{"n"};
    const core::failure_domain_id s{"s"};
    gossip_link it{core::instance_id{"a"}, n, [](const auto&) {}};
    gossip_link near_link{core::instance_id{"b"}, n, counting(near_one)};
    gossip_link far_link{core::instance_id{"c"}, s, counting(far_one)};
    REQUIRE(it.bind("127.0.0.1", 0));
    it.put_peer({core::instance_id{"b"}, n, "127.0.0.1", near_link.bind("127.0.0.1", 0).value(), 0});
    it.put_peer({core::instance_id{"c"}, s, "127.0.0.1", far_link.bind("127.0.0.1", 0).value(), 0});
    it.broadcast(routing::prompt_sent{});
    REQUIRE(tests::wait_for([&] { return near_one.prompts == 1 && far_one.prompts == 1; }));
    it.set_max_peers_for_all_domains(1); // a fleet too large to send prompts to every instance
    CHECK_FALSE(it.sends_prompts_to_all_domains());
    near_one = far_one = {};
    it.broadcast(routing::prompt_sent{});
    it.broadcast(load::stream_ended{});
    it.broadcast(routing::session_run{});
    REQUIRE(tests::wait_for([&] { return near_one.prompts == 1 && far_one.runs == 1; }));
    CHECK(far_one.prompts == 0);
    CHECK(near_one.ended == 1); // in the datagram of the prompt
    CHECK(far_one.ended == 0);
    it.broadcast(std::vector<routing::version_evidence>(1)); // without a session run
    REQUIRE(tests::wait_for([&] { return near_one.evidence == 1 && far_one.evidence == 1; }));
    it.set_max_peers_for_all_domains(2);
    CHECK(it.sends_prompts_to_all_domains());
    it.broadcast(routing::prompt_sent{});
    CHECK(tests::wait_for([&] { return far_one.prompts == 1; }));
}

TEST_CASE("a turn long after its timer was due follows a pause; a slightly late turn does not")
{
    const core::time_point start{core::seconds{100}};
    const auto at = [&](int ms) { return start + core::milliseconds{ms}; };
    loop_watch it;
    CHECK_FALSE(it.turn(at(0)));
    it.expect(at(500));
    CHECK_FALSE(it.turn(at(100)));
    CHECK_FALSE(it.turn(at(1400))); // a busy processor
    it.expect(at(2000));
    const auto since = it.turn(at(5000));
    REQUIRE(since);
    CHECK(*since == at(1400));
    CHECK_FALSE(it.turn(at(5001)));
}

TEST_CASE("crash reports reach instances of every failure domain unchanged")
{
    std::optional<crashes::crash_message> heard;
    const core::failure_domain_id n{"n"};
    const core::failure_domain_id s{"s"};
    gossip_link it{core::instance_id{"a"}, n, [](const auto&) {}};
    gossip_link far_link{core::instance_id{"c"}, s,
                         [&](const proto::datagram& e) { heard = std::get<crashes::crash_message>(e); }};
    REQUIRE(it.bind("127.0.0.1", 0));
    it.put_peer({core::instance_id{"c"}, s, "127.0.0.1", far_link.bind("127.0.0.1", 0).value(), 0});
    it.set_max_peers_for_all_domains(0);
    const crashes::element_fingerprint request{1};
    const crashes::endpoint_id_hash endpoint{2};
    it.broadcast({{{endpoint, {{request, core::milliseconds{300}}}}},
                  {{request, endpoint, true, false}},
                  {{request, crashes::element_effect::harmful}}});
    REQUIRE(tests::wait_for([&] { return heard.has_value(); }));
    REQUIRE(heard->reports.size() == 1);
    CHECK(heard->reports[0].endpoint == endpoint);
    REQUIRE(heard->reports[0].running.size() == 1);
    CHECK(heard->reports[0].running[0].element == request);
    CHECK(heard->reports[0].running[0].run_duration == core::milliseconds{300});
    REQUIRE(heard->trials.size() == 1);
    CHECK(heard->trials[0].is_over);
    CHECK_FALSE(heard->trials[0].has_reached);
    REQUIRE(heard->findings.size() == 1);
    CHECK(heard->findings[0].what == crashes::element_effect::harmful);
}
