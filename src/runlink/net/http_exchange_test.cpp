#include <catch2/catch.hpp>

#include <QCoreApplication>

#include "runlink/net/http_listener.hpp"
#include "support/endless_peer.hpp"
#include "support/raw_peer.hpp"
#include "support/wait_for.hpp"

using runlink::tests::endless_peer;
using runlink::tests::outcome;
using runlink::tests::raw_peer;
using runlink::tests::request;
using runlink::tests::wait_for;
using namespace runlink;
using namespace runlink::net;

TEST_CASE("a request that is cancelled when its connection is established sends no byte")
{
    raw_peer peer;
    connection_pool pool;
    outcome it;
    auto hooks = it.hooks();
    hooks.may_send = [] { return false; };
    pool.send(peer.address(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n", {}, std::move(hooks));
    REQUIRE(wait_for([&] { return it.failure.has_value(); }));
    CHECK(it.failure == exchange_failure::withheld);
    CHECK_FALSE(it.sent);
    REQUIRE(wait_for([&] { return peer.connections == 1; }));
    CHECK(peer.received.empty());
    CHECK(pool.busy_count() == 0);
}

TEST_CASE("a response without a length fails on a reset and is complete on a close")
{
    raw_peer peer;
    connection_pool pool;
    outcome cut;
    peer.on_bytes = [&]
    {
        peer.send("HTTP/1.1 200 OK\r\n\r\npart");
        QTimer::singleShot(20, peer.socket, [&] { peer.reset(); });
    };
    pool.send(peer.address(), request, {}, cut.hooks());
    REQUIRE(wait_for([&] { return cut.over(); }));
    CHECK(cut.failure == exchange_failure::reset);
    outcome whole;
    peer.on_bytes = [&]
    {
        peer.send("HTTP/1.1 200 OK\r\n\r\nall");
        peer.socket->disconnectFromHost();
    };
    pool.send(peer.address(), request, {}, whole.hooks());
    REQUIRE(wait_for([&] { return whole.over(); }));
    CHECK(whole.ended);
    CHECK(whole.body == "all");
}

TEST_CASE("a request is not sent when its connection is not established")
{
    QTcpServer closed;
    closed.listen(QHostAddress::LocalHost, 0);
    const peer_address address{"127.0.0.1", closed.serverPort()};
    closed.close();
    connection_pool pool;
    outcome it;
    pool.send(address, request, {}, it.hooks());
    CHECK_FALSE(it.over());
    REQUIRE(wait_for([&] { return it.over(); }));
    CHECK(it.failure == exchange_failure::not_connected);
    CHECK_FALSE(it.sent);
    outcome bad;
    pool.send({"not an address", 1}, request, {}, bad.hooks());
    REQUIRE(wait_for([&] { return bad.over(); }));
    CHECK(bad.failure == exchange_failure::not_connected);
}

TEST_CASE("a connection is reused, but not after surplus bytes behind a response")
{
    raw_peer peer;
    connection_pool pool;
    peer.on_bytes = [&] { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"); };
    for (int n = 0; n < 2; ++n)
    {
        outcome it;
        pool.send(peer.address(), request, {}, it.hooks());
        REQUIRE(wait_for([&] { return it.over(); }));
        CHECK(it.body == "a");
    }
    CHECK(peer.connections == 1);
    peer.on_bytes = [&] {
        peer.send(
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
    };
    outcome surplus;
    pool.send(peer.address(), request, {}, surplus.hooks());
    REQUIRE(wait_for([&] { return surplus.over(); }));
    CHECK(surplus.body == "a");
    peer.on_bytes = [&] { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nc"); };
    outcome next;
    pool.send(peer.address(), request, {}, next.hooks());
    REQUIRE(wait_for([&] { return next.over(); }));
    CHECK(next.body == "c");
    CHECK(peer.connections == 2);
}

TEST_CASE("a late response whose number is no status does not add its body to the response that is due")
{
    // Guards against a body that is reported although the head before it was not.
    const auto status = GENERATE("000", "099", "101", "600", "999");
    raw_peer peer;
    connection_pool pool;
    peer.on_bytes = [&]
    {
        peer.send("HTTP/1.1 " + std::string{status} +
                  " OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold"
                  "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
    };
    outcome it;
    auto hooks = it.hooks();
    hooks.is_due = [](const http_response_head& head) { return *head.fields.find("Id") == "new"; };
    pool.send(peer.address(), request, {}, hooks);
    REQUIRE(wait_for([&] { return it.over(); }));
    CHECK(it.failure == exchange_failure::invalid_status);
    CHECK(it.body.empty());
    outcome next;
    peer.on_bytes = [&] { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"); };
    pool.send(peer.address(), request, {}, next.hooks());
    REQUIRE(wait_for([&] { return next.over(); }));
    CHECK(next.body == "a");
    CHECK(peer.connections == 2);
}

TEST_CASE("a connection whose peer names a very long keep-alive time is reused")
{
    // Guards against a time that overflows and counts as over.
    raw_peer peer;
    connection_pool pool;
    peer.on_bytes = [&] {
        peer.send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 1\r\n\r\na");
    };
    for (int n = 0; n < 2; ++n)
    {
        outcome it;
        pool.send(peer.address(), request, {}, it.hooks());
        REQUIRE(wait_for([&] { return it.over(); }));
        CHECK(it.ended);
    }
    CHECK(peer.connections == 1);
}

TEST_CASE("a late response to an earlier request is skipped")
{
    raw_peer peer;
    connection_pool pool;
    peer.on_bytes = [&]
    {
        peer.send("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nId: new\r\n"
                  "Content-Length: 3\r\n\r\nnew");
    };
    outcome it;
    auto hooks = it.hooks();
    hooks.is_due = [](const http_response_head& head) { return *head.fields.find("Id") == "new"; };
    pool.send(peer.address(), request, {}, hooks);
    REQUIRE(wait_for([&] { return it.over(); }));
    CHECK(it.ended);
    CHECK(it.body == "new");
}

TEST_CASE("bytes that are not a valid response are a failure")
{
    raw_peer peer;
    connection_pool pool;
    peer.on_bytes = [&] { peer.send("what?\r\n\r\n"); };
    outcome it;
    pool.send(peer.address(), request, {}, it.hooks());
    REQUIRE(wait_for([&] { return it.over(); }));
    CHECK(it.failure == exchange_failure::malformed);
}

TEST_CASE("an abandoned exchange closes its connection and calls no hook, also when abandoned from a hook")
{
    raw_peer peer;
    connection_pool pool;
    peer.on_bytes = [&] { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nab"); };
    outcome it;
    auto hooks = it.hooks();
    exchange handle;
    hooks.body = [&](std::string_view) { handle.lock()->abandon(); };
    handle = pool.send(peer.address(), request, {}, hooks);
    REQUIRE(wait_for(
        [&] { return peer.socket != nullptr && peer.socket->state() == QTcpSocket::UnconnectedState; }));
    CHECK_FALSE(it.over());
    CHECK(pool.busy_count() == 0);
}

TEST_CASE("a client that disconnects is reported, and pipelined requests are answered in order")
{
    std::vector<std::string> targets;
    std::shared_ptr<caller_connection> last;
    http_listener listener{[&](const auto& from, const http_request_head& head, const std::string&)
                           {
                               targets.push_back(head.target);
                               last = from;
                           },
                           [](const auto& from, request_fault) { from->reset(); }};
    const auto port = listener.listen("127.0.0.1", 0).value();
    QTcpSocket caller;
    caller.connectToHost(QHostAddress::LocalHost, port);
    REQUIRE(wait_for([&] { return caller.state() == QTcpSocket::ConnectedState; }));
    caller.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for([&] { return !targets.empty(); }));
    CHECK(targets.size() == 1);
    last->write(write_response(200, {}, "one"));
    last->finish(false);
    REQUIRE(wait_for([&] { return targets.size() == 2; }));
    bool left = false;
    last->on_left = [&] { left = true; };
    caller.abort();
    REQUIRE(wait_for([&] { return left; }));
    CHECK(wait_for([&] { return listener.connection_count() == 0; }));
}

TEST_CASE("a connection that outlives its listener is reset and calls no handler")
{
    std::shared_ptr<caller_connection> kept;
    auto listener = std::make_unique<http_listener>([&](const auto& from, const auto&, const std::string&)
                                                    { kept = from; },
                                                    [](const auto&, request_fault) {});
    const auto port = listener->listen("127.0.0.1", 0).value();
    QTcpSocket caller;
    caller.connectToHost("127.0.0.1", port);
    REQUIRE(wait_for([&] { return caller.state() == QTcpSocket::ConnectedState; }));
    caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(wait_for([&] { return kept != nullptr; }));
    listener.reset();
    CHECK(wait_for([&] { return caller.state() == QTcpSocket::UnconnectedState; }));
    CHECK_FALSE(kept->is_open());
}

TEST_CASE("closing idle connections spares those with an unread request")
{
    int requests = 0;
    http_listener listener{[&](const auto&, const auto&, const auto&) { ++requests; },
                           [](const auto&, request_fault) {}};
    QTcpSocket caller;
    caller.connectToHost(QHostAddress::LocalHost, listener.listen("127.0.0.1", 0).value());
    REQUIRE(wait_for([&] { return listener.connection_count() == 1; }));
    caller.write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(caller.waitForBytesWritten());
    listener.close_idle();
    CHECK(wait_for([&] { return requests == 1; }));
}

TEST_CASE("setting the silence timeout enables keep-alive probes on the socket and stores the timeout")
{
    raw_peer peer;
    tcp_stream it{{}};
    REQUIRE(it.connect("127.0.0.1", peer.address().port));
    CHECK_FALSE(it.silence_timeout());
    it.set_silence_timeout(core::milliseconds{1700});
    CHECK(it.silence_timeout() == core::milliseconds{1700});
}

TEST_CASE("a connection that was opened as a probe has the same silence timeout as others")
{
    raw_peer peer;
    const auto it = std::make_shared<client_connection>(peer.address());
    bool is_open = false;
    it->open(core::milliseconds{500}, [&](core::contact) { is_open = true; });
    REQUIRE(wait_for([&] { return is_open; }));
    CHECK(it->silence_timeout() == exchange_options{}.silence_timeout);
    it->detach();
}

TEST_CASE("responses to other requests that come without end are given up, and the connection is closed")
{
    const std::string other = "HTTP/1.1 200 OK\r\nId: old\r\n";
    const std::string piece(64 * 1024, 'x');
    const auto size = std::to_string(piece.size());
    const auto [first, repeated] = GENERATE_COPY(table<std::string, std::string>(
        {{other + "\r\n", piece},
         {other + "Content-Length: 99999999999\r\n\r\n", piece},
         {other + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + piece + "\r\n"},
         {"", other + "Content-Length: " + size + "\r\n\r\n" + piece}}));
    endless_peer peer{first, repeated};
    connection_pool pool;
    outcome it;
    auto hooks = it.hooks();
    hooks.is_due = [](const http_response_head& head) { return *head.fields.find("Id") == "new"; };
    pool.send(peer.address(), request, {}, hooks);
    CHECK(wait_for([&] { return it.over(); }, std::chrono::seconds{2}));
    CHECK(it.failure == exchange_failure::surplus_too_large);
    CHECK(wait_for([&] { return !peer.is_open(); }, std::chrono::seconds{1}));
    CHECK(pool.busy_count() == 0);
}

TEST_CASE("a surplus response of a length that answers have is skipped")
{
    raw_peer peer;
    connection_pool pool;
    const std::string old(500'000, 'x');
    peer.on_bytes = [&]
    {
        peer.send("HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: " + std::to_string(old.size()) + "\r\n\r\n" +
                  old + "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 3\r\n\r\nnew");
    };
    outcome it;
    auto hooks = it.hooks();
    hooks.is_due = [](const http_response_head& head) { return *head.fields.find("Id") == "new"; };
    pool.send(peer.address(), request, {}, hooks);
    REQUIRE(wait_for([&] { return it.over(); }));
    CHECK(it.body == "new");
}
