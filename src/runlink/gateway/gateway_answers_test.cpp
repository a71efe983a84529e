#include <catch2/catch.hpp>

#include "support/cut_answers.hpp"
#include "support/served_gateway.hpp"

using namespace runlink;
using namespace runlink::tests;
using routing::route_kind;

namespace
{

/// More than the socket buffers between the gateway and an endpoint hold.
constexpr std::size_t long_body_bytes = 4'000'000;
const std::string part(50'000, 'a');

/// Sends a part of an answer without a length and resets the connection.
scripted_endpoint::script resets_in_the_middle(const std::string& fields = {})
{
    return [fields](QTcpSocket& it)
    {
        it.write((answer_head("r1") + fields + "\r\n" + part).c_str());
        reset(it);
    };
}

} // namespace

TEST_CASE("a caller gets no part of an answer that was reset as a whole one")
{
    const auto body_bytes = GENERATE(std::size_t{100}, long_body_bytes);
    served_gateway it{route_of(route_kind::unsafe, 1)};
    scripted_endpoint endpoint{resets_in_the_middle()};
    it.add_endpoint("e1", endpoint.port());
    const auto out = it.call("r1", body_bytes);
    CHECK(out.status == 502);
    CHECK(endpoint.requests == 1);
    CHECK(it.log().find(R"("reason":"reset")") != std::string::npos);
    CHECK(it.log().find("Connection reset by peer") != std::string::npos);
}

TEST_CASE("a repeatable request whose answer was reset is tried at another endpoint")
{
    served_gateway it{route_of(route_kind::safe, 2)};
    int runs = 0;
    const auto answer = [&](QTcpSocket& to)
    {
        if (++runs == 1)
            return resets_in_the_middle()(to);
        to.write((answer_head("r1") + "Content-Length: 3\r\n\r\nall").c_str());
    };
    scripted_endpoint one{answer};
    scripted_endpoint two{answer};
    it.add_endpoint("e1", one.port());
    it.add_endpoint("e2", two.port());
    const auto out = it.call("r1", long_body_bytes);
    CHECK(out.status == 200);
    CHECK(out.body == "all");
    CHECK(runs == 2);
}

TEST_CASE("a stream that is reset between two events does not end as complete")
{
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    served_gateway it{route_of(route_kind::streaming, 1)};
    scripted_endpoint endpoint{
        [&](QTcpSocket& to)
        {
            to.write((answer_head("r1") + "Content-Type: text/event-stream\r\n\r\n" + events).c_str());
            reset(to);
        }};
    it.add_endpoint("e1", endpoint.port());
    const auto out = it.call("r1", long_body_bytes);
    CHECK_FALSE(out.ended);
    CHECK(out.body == events);
}

TEST_CASE("an answer that ended in order before a reset is delivered whole")
{
    served_gateway it{route_of(route_kind::unsafe, 1)};
    scripted_endpoint endpoint{[&](QTcpSocket& to)
                               {
                                   to.write((answer_head("r1") + "\r\n" + part).c_str());
                                   to.flush();
                                   shutdown(static_cast<int>(to.socketDescriptor()), SHUT_WR);
                                   to.abort();
                               }};
    it.add_endpoint("e1", endpoint.port());
    const auto out = it.call("r1", long_body_bytes);
    CHECK(out.status == 200);
    CHECK((out.body == part));
}

namespace
{

/// A sealed answer to `request` with this number in the place of its status.
std::string answer_with(const std::string& status, const std::string& request, const std::string& rest)
{
    auto out = answer_head(request) + rest;
    return out.replace(out.find("200"), status.size(), status);
}

const std::string until_close = "\r\nother";
const std::string with_length = "Content-Length: 5\r\n\r\nother";
const std::string as_stream = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: other\n\n";
const std::vector<std::string> numbers_that_are_no_status{"000", "001", "042", "099", "101", "600", "999"};

} // namespace

TEST_CASE("a request that may run once fails at once if the number of its answer is no status")
{
    // Guards against answers without a valid status that reach the caller.
    const auto status = GENERATE(from_range(numbers_that_are_no_status));
    const auto rest = GENERATE(until_close, with_length, as_stream);
    const auto kind = GENERATE(route_kind::unsafe, route_kind::streaming);
    INFO(status << " " << rest);
    auto declared = route_of(kind, 2);
    declared.resumable = false;
    served_gateway it{declared};
    scripted_endpoint endpoint{[&](QTcpSocket& to)
                               {
                                   to.write(answer_with(status, "r1", rest).c_str());
                                   to.disconnectFromHost();
                               }};
    it.add_endpoint("e1", endpoint.port());
    const auto started = core::runtime_clock::now();
    const auto out = it.call("r1", 100);
    CHECK(out.status == 502);
    CHECK(out.body.find("other") == std::string::npos);
    CHECK(endpoint.requests == 1);
    CHECK(core::runtime_clock::now() - started < core::seconds{2});
    CHECK(it.log().find(R"("reason":"invalid_status")") != std::string::npos);
}

TEST_CASE("a repeatable request whose answer has no valid status runs at another endpoint")
{
    const auto status = GENERATE(from_range(numbers_that_are_no_status));
    const auto rest = GENERATE(until_close, with_length, as_stream);
    const auto kind = GENERATE(route_kind::safe, route_kind::streaming);
    INFO(status << " " << rest);
    served_gateway it{route_of(kind, 2)};
    int runs = 0;
    const auto answer = [&](QTcpSocket& to)
    {
        const bool is_stream = kind == route_kind::streaming;
        to.write(++runs == 1 ? answer_with(status, "r1", rest).c_str()
                             : (answer_head("r1") +
                                (is_stream ? "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: due\n\n"
                                           : "\r\ndue"))
                                   .c_str());
        to.disconnectFromHost();
    };
    scripted_endpoint one{answer};
    scripted_endpoint two{answer};
    it.add_endpoint("e1", one.port());
    it.add_endpoint("e2", two.port());
    const auto out = it.call("r1", 100);
    CHECK(out.status == 200);
    CHECK(out.ended);
    CHECK(out.body.find("due") != std::string::npos);
    CHECK(out.body.find("other") == std::string::npos);
    CHECK(one.requests == 1);
    CHECK(two.requests == 1);
}

TEST_CASE("a stream whose event ids fall goes on behind the last event before that, or breaks off")
{
    // Guards against an event that is dropped from a stream that ends as complete.
    const auto event = [](int id, int n)
    { return "id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(n) + "\n\n"; };
    const std::string head = answer_head("r1") + "Content-Type: text/event-stream\r\n\r\n";
    const auto wrong_id = GENERATE(1, 2);
    served_gateway it{route_of(route_kind::streaming, 2)};
    int runs = 0;
    const auto answer = [&](QTcpSocket& to)
    {
        const bool is_first = ++runs == 1;
        to.write((head +
                  (is_first ? event(1, 1) + event(2, 2) + event(wrong_id, 3) : event(2, 2) + event(3, 3)) +
                  event(4, 4))
                     .c_str());
        to.disconnectFromHost();
    };
    scripted_endpoint one{answer};
    it.add_endpoint("e1", one.port());
    SECTION("another endpoint goes on")
    {
        scripted_endpoint two{answer};
        it.add_endpoint("e2", two.port());
        const auto out = it.call("r1", 100);
        CHECK(out.ended);
        CHECK(out.body == event(1, 1) + event(2, 2) + event(3, 3) + event(4, 4));
        CHECK(runs == 2);
    }
    SECTION("there is no other endpoint")
    {
        const auto out = it.call("r1", 100);
        CHECK_FALSE(out.ended);
        CHECK(out.body == event(1, 1) + event(2, 2));
    }
    CHECK(it.log().find("event_out_of_order") != std::string::npos);
}

TEST_CASE(
    "an answer that is cut at any byte of its head reaches no caller, also while the request is being sent")
{
    // Guards against an answer cut in its head that reaches a caller as a whole one without a body.
    const auto body_bytes = GENERATE(std::size_t{100}, std::size_t{1'000'000});
    const auto kind = GENERATE(route_kind::safe, route_kind::unsafe, route_kind::streaming);
    const gateway::header_names names;
    for (const auto& answer : framed_answers(names.request_id + ": r1\r\n" + names.digest + ": d\r\n"))
    {
        // With a long body each byte is cut only behind the status line, where a status is known.
        const std::size_t first = body_bytes > 100 ? answer.head.size() - 60 : 0;
        for (std::size_t n = first; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n << ", body " << body_bytes);
            served_gateway it{route_of(kind, 1)};
            scripted_endpoint endpoint{[&](QTcpSocket& to)
                                       {
                                           to.write(answer.head.substr(0, n).c_str());
                                           to.disconnectFromHost();
                                       }};
            it.add_endpoint("e1", endpoint.port());
            const auto out = it.call("r1", body_bytes);
            CHECK(out.status == 502);
            CHECK(out.body.find("error") != std::string::npos);
            CHECK(endpoint.requests == 1);
        }
    }
}

TEST_CASE(
    "a stream whose second run is cut at any byte of its head goes on at a third endpoint, or breaks off")
{
    // Guards against a cut head that ends a resumed stream as complete.
    const gateway::header_names names;
    const auto max_attempts = GENERATE(2U, 3U);
    for (const auto& answer : framed_answers(names.request_id + ": r1\r\n" + names.digest + ": d\r\n"))
    {
        for (std::size_t n = 0; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n);
            served_gateway it{route_of(route_kind::streaming, max_attempts)};
            int runs = 0;
            const auto script = [&](QTcpSocket& to)
            {
                const auto events =
                    answer_head("r1") + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
                switch (++runs)
                {
                case 1: to.write(events.c_str()); return reset(to);
                case 2: to.write(answer.head.substr(0, n).c_str()); break;
                default: to.write((events + "id: 2\ndata: b\n\n").c_str());
                }
                to.disconnectFromHost();
            };
            scripted_endpoint one{script};
            scripted_endpoint two{script};
            scripted_endpoint three{script};
            it.add_endpoint("e1", one.port());
            it.add_endpoint("e2", two.port());
            it.add_endpoint("e3", three.port());
            const auto out = it.call("r1", 100);
            CHECK(out.ended == (max_attempts == 3));
            CHECK(out.body ==
                  (max_attempts == 3 ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "id: 1\ndata: a\n\n"));
        }
    }
}
