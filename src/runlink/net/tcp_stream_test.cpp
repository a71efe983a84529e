#include <catch2/catch.hpp>

#include "runlink/net/http_exchange.hpp"
#include "runlink/net/tcp_stream.hpp"
#include "support/blocking_peer.hpp"
#include "support/raw_peer.hpp"
#include "support/wait_for.hpp"

using runlink::tests::blocking_peer;
using runlink::tests::outcome;
using runlink::tests::wait_for;
using namespace runlink;
using namespace runlink::net;

namespace
{

/// More than the socket buffers of both ends hold.
constexpr std::size_t long_request_bytes = 8 * 1024 * 1024;

const std::string long_body(long_request_bytes, 'x');
const std::string long_request =
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(long_body.size()) + "\r\n\r\n" +
    long_body;

/// A stream to a peer, with the record of its handlers.
struct recorded_stream
{
    explicit recorded_stream(blocking_peer& to) : peer{to}
    {
        REQUIRE(stream.connect(peer.address().host, peer.address().port));
        peer.accept();
    }

    void wait_until_connected()
    {
        REQUIRE(wait_for([&] { return is_connected; }));
    }
    stream_end wait_for_end()
    {
        REQUIRE(wait_for([&] { return ends > 0; }));
        QCoreApplication::processEvents();
        CHECK(ends == 1);
        return how;
    }

    blocking_peer& peer;
    bool is_connected = false;
    std::string received;
    int ends = 0;
    stream_end how{};
    std::function<void()> on_bytes = [] {};
    tcp_stream stream{{[this] { is_connected = true; },
                       [this](std::string_view it)
                       {
                           received.append(it);
                           on_bytes();
                       },
                       [this](stream_end it)
                       {
                           ++ends;
                           how = it;
                       }}};
};

/// One exchange over a new connection whose peer runs `script` once it has accepted the connection and part
/// of the request has been sent.
outcome exchange_with(const std::string& request, const std::function<void(blocking_peer&)>& script,
                      const exchange_options& options = {})
{
    blocking_peer peer;
    connection_pool pool;
    outcome out;
    pool.send(peer.address(), request, options, out.hooks());
    peer.accept();
    REQUIRE(wait_for([&] { return out.sent; }));
    script(peer);
    REQUIRE(wait_for([&] { return out.over(); }));
    return out;
}

} // namespace

TEST_CASE("a reset that a failed send meets first is not taken for an orderly end")
{
    // The kernel reports a pending error once, to whichever call comes first.
    blocking_peer peer;
    recorded_stream it{peer};
    SECTION("a read meets it")
    {
        it.wait_until_connected();
        peer.send("part");
        REQUIRE(wait_for([&] { return !it.received.empty(); }));
        peer.reset();
    }
    SECTION("a send of buffered bytes meets it")
    {
        it.wait_until_connected();
        it.stream.write(long_body);
        REQUIRE(it.stream.unsent_bytes() > 0);
        peer.send("part");
        peer.reset();
    }
    SECTION("a write meets it before any byte is read")
    {
        it.wait_until_connected();
        peer.send("part");
        peer.reset();
        it.stream.write("more");
        CHECK(it.ends == 0);
        it.stream.write("and more");
    }
    SECTION("a write from the handler of received bytes meets it")
    {
        it.wait_until_connected();
        it.on_bytes = [&]
        {
            peer.reset();
            it.stream.write("more");
            CHECK(it.ends == 0);
        };
        peer.send("part");
    }
    CHECK(it.wait_for_end() == stream_end::reset);
    CHECK(it.received == "part");
    CHECK(it.stream.error() == std::errc::connection_reset);
    CHECK_FALSE(it.stream.is_open());
}

TEST_CASE("a connection that is reset before its establishment is noticed was not connected")
{
    blocking_peer peer;
    recorded_stream it{peer};
    peer.send("part");
    peer.reset();
    CHECK(it.wait_for_end() == stream_end::not_connected);
    CHECK_FALSE(it.is_connected);
}

TEST_CASE("an orderly end before a reset counts, whichever call meets the error")
{
    blocking_peer peer;
    recorded_stream it{peer};
    it.wait_until_connected();
    SECTION("a send of buffered bytes meets it")
    {
        it.stream.write(long_body);
        REQUIRE(it.stream.unsent_bytes() > 0);
        peer.send("all");
        peer.finish();
        peer.close();
    }
    SECTION("a write meets it before any byte is read")
    {
        it.stream.write("request");
        peer.send("all");
        peer.finish();
        peer.close();
        it.stream.write("more");
    }
    SECTION("no call meets it")
    {
        peer.send("all");
        peer.finish();
    }
    CHECK(it.wait_for_end() == stream_end::closed);
    CHECK(it.received == "all");
}

TEST_CASE("a connection that times out with unsent bytes did not end in order")
{
    blocking_peer peer;
    recorded_stream it{peer};
    it.wait_until_connected();
    it.stream.set_silence_timeout(core::milliseconds{300});
    it.stream.write(long_body);
    REQUIRE(it.stream.unsent_bytes() > 0);
    peer.send("part");
    SECTION("a read meets the error")
    {
        REQUIRE(wait_for([&] { return !it.received.empty(); }));
    }
    SECTION("a send meets the error before all bytes are read")
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{900});
    }
    CHECK(it.wait_for_end() == stream_end::reset);
    CHECK(it.received == "part");
    CHECK(it.stream.error() == std::errc::timed_out);
}

TEST_CASE("a response without a length that is reset while its request is being sent is not complete")
{
    const auto it = exchange_with(long_request,
                                  [](blocking_peer& peer)
                                  {
                                      peer.send("HTTP/1.1 200 OK\r\n\r\npart");
                                      peer.reset();
                                  });
    CHECK_FALSE(it.ended);
    CHECK(it.failure == exchange_failure::reset);
    CHECK(it.body == "part");
}

TEST_CASE("a response without a length that ends in order before a reset is complete")
{
    const auto it = exchange_with(long_request,
                                  [](blocking_peer& peer)
                                  {
                                      peer.send("HTTP/1.1 200 OK\r\n\r\nall");
                                      peer.finish();
                                      peer.close();
                                  });
    CHECK(it.ended);
    CHECK(it.body == "all");
}

TEST_CASE("a response that was whole when its connection was reset is delivered")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto response = GENERATE_COPY(head + "Content-Length: 3\r\n\r\nall",
                                        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n");
    const auto it = exchange_with(long_request,
                                  [&](blocking_peer& peer)
                                  {
                                      peer.send(response);
                                      peer.reset();
                                  });
    CHECK(it.ended);
    CHECK(it.body == "all");
}
