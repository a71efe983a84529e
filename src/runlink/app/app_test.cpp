#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>

#include <QTcpServer>
#include <QTcpSocket>

#include "runlink/app/attempt_runner.hpp"
#include "runlink/app/caller_request_reader.hpp"
#include "runlink/app/error_answer.hpp"
#include "runlink/app/operator_client.hpp"
#include "runlink/app/settings.hpp"
#include "runlink/app/sse_splitter.hpp"
#include "runlink/app/tables.hpp"
#include "runlink/observe/metrics.hpp"
#include "support/cut_answers.hpp"
#include "support/wait_for.hpp"

using namespace runlink;
using namespace runlink::app;

namespace
{

const std::string good_settings = R"({
    "deployment": "d", "instance": {"id": "i", "failure_domain": "f"},
    "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
    "store": {"host": "127.0.0.1", "port": 3}, "secrets_environment": "S"})";

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string fault_of(const std::string& text)
{
    const auto it = parse_settings(text);
    return it ? "" : it.error().detail;
}

net::http_request completion_request(const std::string& body,
                                     QList<QPair<QByteArray, QByteArray>> headers = {})
{
    net::http_request it;
    it.method = "POST";
    it.path = "/v1/chat/completions";
    it.body = QByteArray::fromStdString(body);
    it.headers = std::move(headers);
    return it;
}

std::string detail_of_refusal(const net::http_request& it)
{
    const auto read = read_completion(it, {}, core::request_id{"r"});
    return read ? "" : read.error().detail;
}

const std::string good_body =
    R"({"model":"m/v","stream":true,"messages":[{"role":"user","content":"x"}],"top_p":1})";

} // namespace

TEST_CASE("settings with unknown, missing or invalid fields are rejected")
{
    CHECK(fault_of(good_settings).empty());
    CHECK(fault_of(replaced(good_settings, "\"port\": 3", "\"port\": 70000")) ==
          "$.store.port: must be a whole number from 1 to 65535");
    CHECK(fault_of(replaced(good_settings, "127.0.0.1:2", "peer.local:2"))
              .starts_with("$.listen.peers: must be"));
    CHECK(fault_of(replaced(good_settings, "\"id\"", "\"idd\"")) ==
          "$.instance.id: is missing\n$.instance.idd: unknown field");
    CHECK(fault_of(replaced(good_settings, "\"store\"", "\"shop\"")) ==
          "$.store: is missing\n$.shop: unknown field");
    CHECK(fault_of("{") == "$: malformed JSON at byte 2");
    CHECK(load_settings("/nowhere/x.json").error().code == core::errc::settings_invalid);
}

TEST_CASE("server-sent events are complete however the stream is split")
{
    const std::string stream = "data: {\"a\":1}\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t piece_bytes = 1; piece_bytes <= stream.size(); ++piece_bytes)
    {
        sse_splitter it{100};
        std::vector<std::string> events;
        for (std::size_t n = 0; n < stream.size(); n += piece_bytes)
            CHECK(it.add(stream.substr(n, piece_bytes),
                         [&](std::string e) { events.push_back(std::move(e)); }));
        REQUIRE(events.size() == 2);
        CHECK(data_of(events[0]) == "{\"a\":1}");
        CHECK(is_done_event(events[1]));
        CHECK(it.incomplete().empty());
    }
    sse_splitter it{100};
    CHECK_FALSE(it.add(std::string(200, 'x'), [](std::string) {}));
}

TEST_CASE("a completion is parsed with its headers, and unknown members reach the endpoint")
{
    const auto it = read_completion(completion_request(good_body, {{"idempotency-key", "k1"},
                                                                   {"Runlink-Repeatable", "false"},
                                                                   {"Runlink-Deadline-Ms", "250"},
                                                                   {"Runlink-Priority", "quick"}}),
                                    {}, core::request_id{"r"})
                        .value();
    CHECK(it.request.key->str() == "k1");
    CHECK_FALSE(it.request.repeatable);
    CHECK(it.request.deadline == core::milliseconds{250});
    CHECK(it.request.quick);
    CHECK(it.request.stream);
    CHECK(it.request.version->str() == "v");
    const auto body =
        nlohmann::json::parse(body_for_endpoint(it.body, {core::model_id{"m"}, core::version_id{"v2"}}));
    CHECK(body["model"] == "m/v2");
    CHECK(body["top_p"] == 1);
    CHECK(body["stream_options"]["include_usage"] == true);
}

TEST_CASE("malformed requests are refused with the JSON path or the header at fault")
{
    CHECK(detail_of_refusal(completion_request("{")) == "$: malformed JSON at byte 2");
    CHECK(detail_of_refusal(completion_request("[]")) == "$: must be an object");
    CHECK(detail_of_refusal(completion_request(R"({"model":1})")).starts_with("$.model"));
    CHECK(detail_of_refusal(completion_request(R"({"model":"m","messages":[]})")).starts_with("$.messages"));
    CHECK(detail_of_refusal(completion_request(R"({"model":"m","messages":[7]})"))
              .starts_with("$.messages[0]"));
    CHECK(detail_of_refusal(completion_request(R"({"model":"m","model":"n","messages":[{"role":"u"}]})"))
              .find("stands twice") != std::string::npos);
    CHECK(detail_of_refusal(completion_request(R"({"model":"m","stream":"yes","messages":[{"role":"u"}]})"))
              .starts_with("$.stream"));
    CHECK(detail_of_refusal(completion_request(good_body, {{"Idempotency-Key", ""}}))
              .starts_with("Idempotency-Key"));
    CHECK(detail_of_refusal(completion_request(good_body, {{"Idempotency-Key", QByteArray(200, 'x')}}))
              .starts_with("Idempotency-Key"));
    CHECK(detail_of_refusal(completion_request(good_body, {{"Runlink-Deadline-Ms", "-1"}}))
              .starts_with("Runlink-Deadline-Ms"));
    CHECK(
        detail_of_refusal(completion_request(good_body, {{"Runlink-Deadline-Ms", "9999999999999999999999"}}))
            .starts_with("Runlink-Deadline-Ms"));
    CHECK(detail_of_refusal(completion_request(good_body, {{"Runlink-Repeatable", "maybe"}}))
              .starts_with("Runlink-Repeatable"));
    CHECK(detail_of_refusal(completion_request(good_body, {{"Runlink-Priority", "9"}}))
              .starts_with("Runlink-Priority"));
}

TEST_CASE("equal bodies have equal fingerprints, different bodies different ones")
{
    const auto fingerprint_of = [](const std::string& body) {
        return read_completion(completion_request(body), {}, core::request_id{"r"})
            .value()
            .request.fingerprint;
    };
    CHECK(fingerprint_of(good_body) == fingerprint_of(good_body));
    CHECK(fingerprint_of(good_body) != fingerprint_of(replaced(good_body, "\"x\"", "\"y\"")));
}

TEST_CASE("every error code has a unique public name and an HTTP error status")
{
    std::set<std::string> names;
    for (int n = 0; n <= static_cast<int>(core::errc::internal); ++n)
    {
        const auto code = static_cast<core::errc>(n);
        CHECK(names.insert(std::string{to_string(code)}).second);
        CHECK(code_of(to_string(code)) == code);
        CHECK(status_of(code) >= 400);
    }
}

TEST_CASE("SHA-256, HMAC-SHA-256 and bearer keys match known values")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(hmac_sha256_hex("key", "The quick brown fox jumps over the lazy dog") ==
          "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
    CHECK(bearer_key(completion_request("", {{"Authorization", "Bearer x y"}})) == "x y");
    CHECK(bearer_key(completion_request("", {{"Authorization", "Basic x"}})).empty());
}

TEST_CASE("histograms are kept per client account and class")
{
    observe::metrics it;
    it.first_byte(core::account_id{"a"}, core::request_class{"quick"}, core::milliseconds{3});
    it.ended(core::account_id{"a"}, core::request_class{"quick"}, core::milliseconds{40},
             core::run_outcome::ran);
    it.ended(core::account_id{"b"}, core::request_class{"standard"}, core::seconds{100},
             core::run_outcome::unknown);
    const auto text = it.text({{"runlink_x_total", "Help.", true, 5}});
    CHECK(text.find("runlink_x_total 5") != std::string::npos);
    CHECK(text.find(R"(runlink_first_byte_seconds_bucket{account="a",class="quick",le="0.002"} 0)") !=
          std::string::npos);
    CHECK(text.find(R"(runlink_first_byte_seconds_bucket{account="a",class="quick",le="0.005"} 1)") !=
          std::string::npos);
    CHECK(text.find(R"(runlink_request_seconds_bucket{account="b",class="standard",le="+Inf"} 1)") !=
          std::string::npos);
    CHECK(text.find(R"(runlink_requests_total{account="b",class="standard",outcome="unknown"} 1)") !=
          std::string::npos);
}

TEST_CASE("table columns are aligned")
{
    CHECK(format_table({{"A", "B"}, {"long", "x"}}) == "A     B\nlong  x\n");
}

TEST_CASE("the example configurations and settings are valid")
{
    int settings_files = 0;
    for (const char* user : {"bonifici-padani", "thepcuon-trace"})
    {
        const std::filesystem::path directory = std::filesystem::path{RUNLINK_EXAMPLES_DIR} / user;
        std::ifstream in{directory / "configuration.json"};
        const std::string text{std::istreambuf_iterator<char>{in}, {}};
        const auto configuration = core::parse_configuration(text);
        CHECK(configuration);
        for (int n = 1; n <= 7; ++n)
        {
            const auto it = load_settings(directory / ("settings-" + std::to_string(n) + ".json"));
            REQUIRE(it);
            CHECK(it.value().deployment == configuration.value().deployment);
            ++settings_files;
        }
    }
    CHECK(settings_files == 14);
}

TEST_CASE("an endpoint that announces in the head of a stream that it is leaving is reported before the "
          "stream ends")
{
    QTcpServer endpoint;
    REQUIRE(endpoint.listen(QHostAddress::LocalHost, 0));
    QObject::connect(
        &endpoint, &QTcpServer::newConnection, &endpoint,
        [&]
        {
            endpoint.nextPendingConnection()->write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Endpoint-Incarnation: 7\r\n"
                "X-Endpoint-Leaving: true\r\nTransfer-Encoding: chunked\r\n\r\n"
                "9\r\ndata: x\n\n\r\n");
        });
    net::http_client client;
    bool is_leaving = false;
    bool has_ended = false;
    attempt_hooks hooks;
    hooks.head = [](core::attempt_id, int, const std::string&) {};
    hooks.bytes = [](core::attempt_id, const std::string&) {};
    hooks.answered = [&](core::attempt_id, const core::endpoint_answer&) { has_ended = true; };
    hooks.refused = [&](core::attempt_id) { has_ended = true; };
    hooks.lost = [&](core::attempt_id, const core::attempt_loss&) { has_ended = true; };
    hooks.endpoint_state = [&](const core::endpoint_id&, core::endpoint_incarnation incarnation, bool leaving)
    { is_leaving = leaving && incarnation == core::endpoint_incarnation{7}; };
    attempt_runner runner{client, hooks};
    core::attempt_start start;
    start.attempt = core::attempt_id{1};
    start.endpoint.id = core::endpoint_id{"e"};
    start.endpoint.host = "127.0.0.1";
    start.endpoint.port = endpoint.serverPort();
    start.time_left = core::milliseconds{1000};
    runner.start(start, {503}, {"/v1/x", "application/json", "{}", true});
    CHECK(tests::wait_for([&] { return is_leaving; }));
    CHECK_FALSE(has_ended);
    runner.cancel(start.attempt);
}

TEST_CASE("an attempt whose answer is cut at any byte of its head is lost")
{
    // Guards against an answer cut in its head that reaches a caller as a whole one without a body.
    for (const auto& answer : tests::framed_answers())
        for (std::size_t n = 0; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n);
            QTcpServer endpoint;
            REQUIRE(endpoint.listen(QHostAddress::LocalHost, 0));
            QObject::connect(&endpoint, &QTcpServer::newConnection, &endpoint,
                             [&]
                             {
                                 auto* to = endpoint.nextPendingConnection();
                                 to->write(answer.head.substr(0, n).c_str());
                                 to->disconnectFromHost();
                             });
            net::http_client client;
            int heads = 0;
            std::string outcome;
            attempt_hooks hooks;
            hooks.head = [&](core::attempt_id, int, const std::string&) { ++heads; };
            hooks.bytes = [](core::attempt_id, const std::string&) {};
            hooks.answered = [&](core::attempt_id, const core::endpoint_answer&) { outcome = "answered"; };
            hooks.refused = [&](core::attempt_id) { outcome = "refused"; };
            hooks.lost = [&](core::attempt_id, const core::attempt_loss&) { outcome = "lost"; };
            hooks.endpoint_state = [](const auto&, auto, bool) {};
            attempt_runner runner{client, hooks};
            core::attempt_start start;
            start.attempt = core::attempt_id{1};
            start.endpoint.host = "127.0.0.1";
            start.endpoint.port = endpoint.serverPort();
            start.time_left = core::milliseconds{1000};
            runner.start(start, {503}, {"/v1/x", "application/json", "{}", true});
            REQUIRE(tests::wait_for([&] { return !outcome.empty(); }));
            CHECK(outcome == "lost");
            CHECK(heads == 0);
        }
}
