#include <catch2/catch.hpp>

#include <memory>

#include "runlink/net/connection_carrier.hpp"
#include "support/blocking_peer.hpp"
#include "support/raw_peer.hpp"
#include "support/wait_for.hpp"

using runlink::tests::blocking_peer;
using runlink::tests::outcome;
using runlink::tests::raw_peer;
using runlink::tests::request;
using runlink::tests::wait_for;
using namespace runlink;
using namespace runlink::net;

namespace
{

/// An endpoint that is reached only over the carrier.
struct carried_endpoint
{
    raw_peer endpoint;
    std::optional<peer_address> address = endpoint.address();
    std::unique_ptr<connection_carrier> carrier = std::make_unique<connection_carrier>(
        carrier_limits{},
        [this](const carry_opening& it) -> std::optional<peer_address> {
            return it == carry_opening{"t", "e1"} ? address : std::nullopt;
        });
    std::uint16_t port = carrier->listen("127.0.0.1", 0).value();
    connection_pool pool;

    endpoint_path path(const std::string& ticket = "t", const std::string& id = "e1") const
    {
        // The direct address leads nowhere.
        return {peer_address{"127.0.0.1", 1}, carrier_address{{"127.0.0.1", port}, ticket, id}};
    }
    outcome send(const endpoint_path& to)
    {
        outcome out;
        pool.send(to, request, {}, out.hooks());
        REQUIRE(wait_for([&] { return out.over(); }));
        return out;
    }
};

} // namespace

TEST_CASE("frames are read whatever the pieces in which they arrive")
{
    const auto bytes = write_frame(carry_frame::connected) + write_frame(carry_frame::data, "abc") +
                       write_frame(carry_frame::data) + write_frame(carry_frame::closed);
    for (std::size_t n = 1; n <= bytes.size(); ++n)
    {
        carry_frame_reader it;
        std::string data;
        std::vector<carry_frame> types;
        for (std::size_t at = 0; at < bytes.size(); at += n)
        {
            it.feed(std::string_view{bytes}.substr(at, n));
            while (const auto frame = it.next())
            {
                data += frame->bytes;
                if (frame->type != carry_frame::data)
                    types.push_back(frame->type);
            }
        }
        CHECK(data == "abc");
        CHECK(types == std::vector{carry_frame::connected, carry_frame::closed});
    }
}

TEST_CASE("unknown frames and frames with surplus bytes are malformed")
{
    for (const auto* bytes : {"\0\0\0\0\0", "\7\0\0\0\0", "\1\0\0\0\1"})
    {
        carry_frame_reader it;
        it.feed({bytes, 5});
        CHECK_FALSE(it.next());
        CHECK(it.is_malformed());
    }
}

TEST_CASE("an opening names a ticket and an endpoint")
{
    CHECK(read_opening("t e1") == carry_opening{"t", "e1"});
    for (const auto* line : {"", " ", "t", "t ", " e1"})
        CHECK_FALSE(read_opening(line));
    CHECK(is_same_ticket("abc", "abc"));
    CHECK_FALSE(is_same_ticket("abc", "abd"));
    CHECK_FALSE(is_same_ticket("abc", "ab"));
    CHECK_FALSE(is_same_ticket("", "abc"));
}

TEST_CASE("a request and its response are carried unchanged, and the connection is used again")
{
    carried_endpoint it;
    it.endpoint.on_bytes = [&] { it.endpoint.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"); };
    for (int n = 0; n < 2; ++n)
    {
        const auto out = it.send(it.path());
        CHECK(out.ended);
        CHECK(out.body == "body");
    }
    CHECK(it.endpoint.received == request + request);
    CHECK(it.endpoint.connections == 1);
    CHECK(it.pool.totals().reused == 1);
}

TEST_CASE("a connection with a wrong ticket or to an unknown endpoint is not carried")
{
    carried_endpoint it;
    CHECK(it.send(it.path("wrong")).failure == exchange_failure::not_carried);
    CHECK(it.send(it.path("t", "e2")).failure == exchange_failure::not_carried);
    CHECK(it.endpoint.connections == 0);
    CHECK(it.carrier->counters().rejected == 2);
}

TEST_CASE("an unreachable endpoint is told from an unreachable carrier")
{
    carried_endpoint it;
    it.address = peer_address{"127.0.0.1", 1};
    const auto refused = it.send(it.path());
    CHECK(refused.failure == exchange_failure::not_connected);
    CHECK_FALSE(refused.sent);
    it.carrier.reset();
    const auto not_carried = it.send(it.path());
    CHECK(not_carried.failure == exchange_failure::not_carried);
    CHECK_FALSE(not_carried.sent);
}

TEST_CASE("a response without a length is complete only if the endpoint closed its connection")
{
    carried_endpoint it;
    SECTION("closed by the endpoint")
    {
        it.endpoint.on_bytes = [&]
        {
            it.endpoint.send("HTTP/1.1 200 OK\r\n\r\nall");
            it.endpoint.socket->disconnectFromHost();
        };
        const auto out = it.send(it.path());
        CHECK(out.ended);
        CHECK(out.body == "all");
    }
    SECTION("reset by the endpoint")
    {
        it.endpoint.on_bytes = [&]
        {
            it.endpoint.send("HTTP/1.1 200 OK\r\n\r\npart");
            QTimer::singleShot(20, it.endpoint.socket, [&] { it.endpoint.reset(); });
        };
        CHECK(it.send(it.path()).failure == exchange_failure::reset);
    }
    SECTION("the carrier ends")
    {
        it.endpoint.on_bytes = [&]
        {
            it.endpoint.send("HTTP/1.1 200 OK\r\n\r\npart");
            QTimer::singleShot(20, it.endpoint.socket, [&] { it.carrier.reset(); });
        };
        CHECK(it.send(it.path()).failure == exchange_failure::reset);
    }
}

TEST_CASE("the endpoint's connection is closed when the exchange is abandoned")
{
    carried_endpoint it;
    outcome out;
    const auto exchange = it.pool.send(it.path(), request, {}, out.hooks());
    REQUIRE(wait_for([&] { return !it.endpoint.received.empty(); }));
    exchange.lock()->abandon();
    CHECK(wait_for([&] { return it.endpoint.socket->state() == QTcpSocket::UnconnectedState; },
                   std::chrono::milliseconds{500}));
    CHECK(wait_for([&] { return it.carrier->connection_count() == 0; }));
}

TEST_CASE("a carried connection that an endpoint does not accept reports whether it was refused")
{
    carried_endpoint it;
    std::optional<core::contact> result;
    it.pool.ask(it.path(), core::milliseconds{600}, [&](core::contact what) { result = what; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(result == core::contact::answered);
    result.reset();
    it.address = peer_address{"127.0.0.1", 1};
    it.pool.ask(it.path(), core::milliseconds{600}, [&](core::contact what) { result = what; });
    REQUIRE(wait_for([&] { return result.has_value(); }));
    CHECK(result == core::contact::refused);
}

TEST_CASE("what an endpoint sent before its connection was reset arrives over the carrier")
{
    // More than the socket buffers of the endpoint hold, so that the carrier has bytes left to send.
    const std::string body(3 * 1024 * 1024, 'x');
    const auto long_request =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    // Longer than the socket buffers between the carrier and the instance hold.
    const std::string text(3 * 1024 * 1024, 'a');
    carried_endpoint it;
    blocking_peer endpoint;
    it.address = endpoint.address();
    outcome out;
    it.pool.send(it.path(), long_request, {}, out.hooks());
    REQUIRE(wait_for([&] { return out.sent; }));
    endpoint.accept();
    std::thread sender;
    const auto script = [&](const std::string& response, bool is_in_order)
    {
        sender = std::thread{[&endpoint, response, is_in_order]
                             {
                                 endpoint.send(response);
                                 if (is_in_order)
                                     endpoint.finish();
                                 endpoint.reset();
                             }};
        CHECK(wait_for([&] { return out.over(); }));
        sender.join();
    };
    SECTION("a part of a response without a length")
    {
        script(head + "\r\n" + text, false);
        CHECK(out.failure == exchange_failure::reset);
    }
    SECTION("a whole response with a length")
    {
        script(head + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text, false);
        CHECK(out.ended);
    }
    SECTION("a whole response without a length")
    {
        script(head + "\r\n" + text, true);
        CHECK(out.ended);
    }
    CHECK((out.body == text));
    CHECK(wait_for([&] { return it.carrier->connection_count() == 0; }));
}

TEST_CASE("an instance that reads late gets all that an endpoint sent before a reset, then the way it ended")
{
    const auto is_in_order = GENERATE(false, true);
    const std::string text(3 * 1024 * 1024, 'a');
    carried_endpoint it;
    blocking_peer endpoint;
    it.address = endpoint.address();
    QTcpSocket instance;
    instance.setReadBufferSize(1);
    instance.connectToHost(QHostAddress::LocalHost, it.port);
    const auto opening = write_opening({"t", "e1"}) + "a request that the endpoint does not read";
    instance.write(opening.data(), static_cast<qint64>(opening.size()));
    REQUIRE(wait_for([&] { return it.carrier->counters().carried == 1; }));
    endpoint.accept();
    std::thread sender{[&]
                       {
                           endpoint.send(text);
                           if (is_in_order)
                               endpoint.finish();
                           endpoint.reset();
                       }};
    const bool is_sent = wait_for([&] { return it.carrier->counters().bytes == text.size(); });
    sender.join();
    REQUIRE(is_sent);
    wait_for([] { return false; }, std::chrono::milliseconds{100});
    instance.setReadBufferSize(0);
    carry_frame_reader reader;
    std::string received;
    std::vector<carry_frame> types;
    const auto read_all = [&]
    {
        const auto bytes = instance.readAll();
        reader.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
        while (const auto frame = reader.next())
        {
            received += frame->bytes;
            if (frame->type != carry_frame::data)
                types.push_back(frame->type);
        }
        return types.size() == 2;
    };
    CHECK(wait_for(read_all));
    CHECK((received == text));
    CHECK(types ==
          std::vector{carry_frame::connected, is_in_order ? carry_frame::closed : carry_frame::rejected});
}
