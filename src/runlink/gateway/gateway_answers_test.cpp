#include <catch2/catch.hpp>

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
