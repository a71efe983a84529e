#include <catch2/catch.hpp>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "runlink/net/http_client.hpp"
#include "runlink/net/http_server.hpp"
#include "support/cut_answers.hpp"
#include "support/event_loop.hpp"

using namespace runlink::net;

namespace
{

constexpr const char* local = "127.0.0.1";

http_call call_to(std::uint16_t port, const std::string& method = "POST")
{
    http_call it;
    it.method = method;
    it.host = local;
    it.port = port;
    it.path = "/x?a=b%20c";
    it.body = method == "POST" ? "body" : "";
    return it;
}

struct collected
{
    bool done = false;
    http_result result;
    std::string body;

    std::function<void(const http_result&, std::string)> handler()
    {
        return [this](const http_result& r, std::string b)
        {
            result = r;
            body = std::move(b);
            done = true;
        };
    }
};

/// A server that counts complete requests and passes each to a function given by the test.
class raw_server
{
public:
    explicit raw_server(std::function<void(QTcpSocket*)> on_request) : on_request_{std::move(on_request)}
    {
        server_.listen(QHostAddress{local});
        QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept(); });
    }
    std::uint16_t port() const { return server_.serverPort(); }
    int runs = 0;

private:
    void accept()
    {
        auto* socket = server_.nextPendingConnection();
        auto buf = std::make_shared<QByteArray>();
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, socket, buf]
                         {
                             *buf += socket->readAll();
                             if (!buf->endsWith("body"))
                                 return;
                             buf->clear();
                             ++runs;
                             on_request_(socket);
                         });
    }

    std::function<void(QTcpSocket*)> on_request_;
    QTcpServer server_;
};

std::string exchange_raw(std::uint16_t port, const QByteArray& bytes)
{
    QTcpSocket socket;
    socket.connectToHost(local, port);
    socket.write(bytes);
    REQUIRE(run_until([&] { return socket.state() == QTcpSocket::UnconnectedState; }));
    return socket.readAll().toStdString();
}

} // namespace

TEST_CASE("a call to a server that closes without a response is sent once, on new and on reused connections")
{
    int answers = 1;
    raw_server server{[&](QTcpSocket* socket)
                      {
                          if (answers-- > 0)
                              socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                          else
                              socket->disconnectFromHost();
                      }};
    http_client client;
    for (int n = 0; n < 4; ++n)
    {
        collected it;
        fetch(client, call_to(server.port()), it.handler());
        REQUIRE(run_until([&] { return it.done; }));
        CHECK(it.result.complete == (n == 0));
        CHECK(it.result.body_sent);
    }
    CHECK(server.runs == 4);
}

TEST_CASE("a call to a port without a listener does not send its body")
{
    std::uint16_t port = 0;
    {
        QTcpServer closed;
        closed.listen(QHostAddress{local});
        port = closed.serverPort();
    }
    http_client client;
    collected it;
    fetch(client, call_to(port), it.handler());
    REQUIRE(run_until([&] { return it.done; }));
    CHECK_FALSE(it.result.complete);
    CHECK_FALSE(it.result.body_sent);
}

TEST_CASE("truncated responses are not complete")
{
    for (const char* answer : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"})
    {
        raw_server server{[&](QTcpSocket* socket)
                          {
                              socket->write(answer);
                              socket->disconnectFromHost();
                          }};
        http_client client;
        collected it;
        fetch(client, call_to(server.port()), it.handler());
        REQUIRE(run_until([&] { return it.done; }));
        CHECK_FALSE(it.result.complete);
        CHECK(it.body == "half");
    }
}

TEST_CASE("a response that is cut at any byte of its head is not complete, and its head is not reported")
{
    // Guards against an answer cut in its head that reaches a caller as a whole one without a body.
    for (const auto& answer : runlink::tests::framed_answers())
        for (std::size_t n = 0; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n);
            raw_server server{[&](QTcpSocket* socket)
                              {
                                  socket->write(answer.head.substr(0, n).c_str());
                                  socket->disconnectFromHost();
                              }};
            http_client client;
            int heads = 0;
            std::string body;
            std::optional<http_result> result;
            http_call_hooks hooks;
            hooks.head = [&](const http_answer_head&) { ++heads; };
            hooks.bytes = [&](const std::string& it) { body += it; };
            hooks.done = [&](const http_result& it) { result = it; };
            client.start(call_to(server.port()), std::move(hooks));
            REQUIRE(run_until([&] { return result.has_value(); }));
            CHECK_FALSE(result->complete);
            CHECK(heads == 0);
            CHECK(body.empty());
        }
}

TEST_CASE("a response whose number is no status is not complete and reports no bytes")
{
    // Guards against answers without a valid status that count as answers of an endpoint.
    const auto status = GENERATE("000", "001", "042", "099", "101", "600", "666", "999");
    const auto rest = GENERATE("\r\nother", "Content-Length: 5\r\n\r\nother");
    INFO(status << " " << rest);
    raw_server server{[&](QTcpSocket* socket)
                      {
                          socket->write(("HTTP/1.1 " + std::string{status} + " OK\r\n" + rest).c_str());
                          socket->disconnectFromHost();
                      }};
    http_client client;
    collected it;
    fetch(client, call_to(server.port()), it.handler());
    REQUIRE(run_until([&] { return it.done; }));
    CHECK_FALSE(it.result.complete);
    CHECK(it.body.empty());
}

TEST_CASE("more than six calls to a host run concurrently")
{
    std::vector<std::shared_ptr<http_exchange>> held;
    http_server server{{}, [&](const std::shared_ptr<http_exchange>& it) { held.push_back(it); }};
    const auto port = server.listen(local, 0).value();
    http_client client;
    std::vector<collected> results(40);
    for (auto& it : results)
        fetch(client, call_to(port), it.handler());
    REQUIRE(run_until([&] { return held.size() == results.size(); }));
    for (auto& it : held)
        it->send(200, {}, "ok");
    CHECK(run_until([&]
                    { return std::all_of(results.begin(), results.end(), [](auto& e) { return e.done; }); }));
    CHECK(client.manager_count() == 7);
    CHECK(client.running() == 0);
}

TEST_CASE("requests and streamed responses arrive complete, and the server detects cancellation")
{
    std::shared_ptr<http_exchange> last;
    bool left = false;
    http_server server{{},
                       [&](const std::shared_ptr<http_exchange>& it)
                       {
                           last = it;
                           it->on_left([&] { left = true; });
                       }};
    const auto port = server.listen(local, 0).value();
    http_client client;
    std::string bytes;
    http_result result;
    bool done = false;
    auto call = call_to(port);
    call.body = std::string(900'000, 'b');
    http_call_hooks hooks;
    hooks.bytes = [&](const std::string& b) { bytes += b; };
    hooks.done = [&](const http_result& r)
    {
        result = r;
        done = true;
    };
    client.start(call, hooks);
    REQUIRE(run_until([&] { return last != nullptr; }));
    CHECK(last->request().body.size() == 900'000);
    CHECK(last->request().query_value("a") == "b c");
    last->begin(200, {{"Content-Type", "text/event-stream"}});
    last->chunk("one");
    REQUIRE(run_until([&] { return bytes == "one"; }));
    last->chunk("two");
    last->end();
    REQUIRE(run_until([&] { return done; }));
    CHECK(result.complete);
    CHECK(bytes == "onetwo");
    CHECK_FALSE(left);

    last.reset();
    const auto handle = client.start(call, hooks);
    REQUIRE(run_until([&] { return last != nullptr; }));
    client.cancel(handle);
    CHECK(run_until([&] { return left; }));
    last->send(200, {}, "late");
}

TEST_CASE("an aborted response can be distinguished from a complete one")
{
    http_server server{{},
                       [&](const std::shared_ptr<http_exchange>& it)
                       {
                           it->begin(200, {});
                           it->chunk("half");
                           it->abort();
                       }};
    const auto port = server.listen(local, 0).value();
    http_client client;
    collected it;
    fetch(client, call_to(port), it.handler());
    REQUIRE(run_until([&] { return it.done; }));
    CHECK_FALSE(it.result.complete);
}

TEST_CASE("the server refuses bad framing before calling its handler, and disconnects slow senders")
{
    http_bounds bounds;
    bounds.max_body_bytes = 1000;
    bounds.header_timeout_ms = 50;
    bounds.body_timeout_ms = 50;
    bounds.idle_timeout_ms = 50;
    int handled = 0;
    http_server server{bounds, [&](const std::shared_ptr<http_exchange>& it)
                       {
                           ++handled;
                           it->send(200, {}, "ok");
                       }};
    const auto port = server.listen(local, 0).value();
    CHECK(exchange_raw(port, "POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n").find(" 400 ") !=
          std::string::npos);
    CHECK(exchange_raw(port, "POST / HTTP/1.1\r\nContent-Length: 400000000\r\n\r\n").find(" 413 ") !=
          std::string::npos);
    CHECK(exchange_raw(port, "GET / HTTP/1.1\r\nX: " + QByteArray(20'000'000, 'x')).find(" 431 ") !=
          std::string::npos);
    CHECK(exchange_raw(port, "GET / HT").find(" 408 ") != std::string::npos);
    CHECK(exchange_raw(port, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").find(" 408 ") !=
          std::string::npos);
    CHECK(exchange_raw(port, "").empty());
    CHECK(handled == 0);
    CHECK(server.refused_count() == 5);
    CHECK(exchange_raw(port, "GET / HTTP/1.1\r\n\r\n").find(" 200 ") != std::string::npos);
    CHECK(handled == 1);
    CHECK(run_until([&] { return server.connection_count() == 0; }));
}

TEST_CASE("a second request before the response is not handled and leaves the first intact")
{
    std::shared_ptr<http_exchange> first;
    int handled = 0;
    http_server server{{},
                       [&](const std::shared_ptr<http_exchange>& it)
                       {
                           ++handled;
                           first = it;
                       }};
    const auto port = server.listen(local, 0).value();
    QTcpSocket socket;
    socket.connectToHost(local, port);
    socket.write("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(run_until([&] { return first != nullptr; }));
    socket.write("GET /2 HTTP/1.1\r\n\r\n");
    QTimer::singleShot(50, [&] { first->send(200, {}, "whole"); });
    REQUIRE(run_until([&] { return socket.state() == QTcpSocket::UnconnectedState; }));
    CHECK(socket.readAll().endsWith("whole"));
    CHECK(handled == 1);
}

TEST_CASE("connections beyond the limit are refused")
{
    http_bounds bounds;
    bounds.max_connections = 1;
    http_server server{bounds, [&](const std::shared_ptr<http_exchange>&) {}};
    const auto port = server.listen(local, 0).value();
    QTcpSocket first;
    first.connectToHost(local, port);
    REQUIRE(run_until([&] { return server.connection_count() == 1; }));
    CHECK(exchange_raw(port, "").find(" 503 ") != std::string::npos);
}

// Guards against a process that ends while the end of a response is still in its own buffer, which cuts the
// response.
TEST_CASE("a server knows that response bytes have not been sent yet")
{
    constexpr std::size_t more_than_kernel_buffers = 32 * 1024 * 1024;
    http_bounds bounds;
    bounds.max_unsent_bytes = 2 * more_than_kernel_buffers;
    http_server server{bounds, [](const std::shared_ptr<http_exchange>& it)
                       { it->send(200, {}, std::string(more_than_kernel_buffers, 'x')); }};
    const auto port = server.listen(local, 0);
    REQUIRE(port);
    CHECK_FALSE(server.has_unsent_bytes());
    QTcpSocket caller;
    caller.setReadBufferSize(1024);
    caller.connectToHost(local, port.value());
    REQUIRE(run_until([&] { return caller.state() == QTcpSocket::ConnectedState; }));
    caller.write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(run_until([&] { return caller.bytesAvailable() > 0; }));
    CHECK(server.has_unsent_bytes());
    std::size_t read = 0;
    caller.setReadBufferSize(0);
    const auto drain = [&] { read += static_cast<std::size_t>(caller.readAll().size()); };
    QObject::connect(&caller, &QTcpSocket::readyRead, &caller, drain);
    drain();
    CHECK(run_until([&] { return read > more_than_kernel_buffers; }));
    CHECK(run_until([&] { return !server.has_unsent_bytes(); }));
}
