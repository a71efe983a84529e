// Connections of callers that are slow, refused, or without room.

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <QTcpSocket>

#include "runlink/net/http_listener.hpp"
#include "support/wait_for.hpp"

using namespace runlink;
using namespace runlink::net;
using tests::wait_for;

namespace
{

/// A listener that answers each request with the size of its body, and each fault with status 400 and its
/// number.
struct listener_fixture
{
    explicit listener_fixture(core::caller_budget_limits budget = {})
        : listener{[](const auto& from, const auto&, const std::string& body)
                   {
                       from->write(write_response(200, {}, std::to_string(body.size())));
                       from->finish(false);
                   },
                   [this](const auto& from, request_fault why)
                   {
                       faults.push_back(why);
                       from->write(write_response(400, {}, ""));
                       from->refuse_rest();
                   },
                   budget}
    {
        set_limits();
        port = listener.listen("127.0.0.1", 0).value();
    }

    void set_limits()
    {
        limits.header_timeout = core::milliseconds{200};
        limits.linger = core::milliseconds{200};
        limits.message.max_body_bytes = 1'000'000;
        limits.max_lingering_bytes = 4'000'000;
        listener.set_limits(limits);
    }

    listener_limits limits;
    std::vector<request_fault> faults;
    http_listener listener;
    std::uint16_t port = 0;
};

struct client
{
    explicit client(std::uint16_t port)
    {
        socket.connectToHost(QHostAddress::LocalHost, port);
        wait_for([this] { return socket.state() == QAbstractSocket::ConnectedState; });
    }

    void send(const std::string& bytes) { socket.write(bytes.data(), static_cast<qint64>(bytes.size())); }
    bool has_received(const std::string& text)
    {
        return wait_for(
            [&]
            {
                received += socket.readAll().toStdString();
                return received.find(text) != std::string::npos;
            },
            std::chrono::seconds{3});
    }
    bool is_closed()
    {
        return wait_for([this] { return socket.state() == QAbstractSocket::UnconnectedState; },
                        std::chrono::seconds{3});
    }

    QTcpSocket socket;
    std::string received;
};

const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a refused caller that goes on sending reads its refusal")
{
    listener_fixture it;
    const auto head = GENERATE_COPY(post + "Content-Length: 3000000\r\n\r\n", chunked + "2dc6c0\r\n");
    client from{it.port};
    from.send(head + std::string(3'000'000, 'x'));
    CHECK(from.has_received("400 Bad Request"));
    CHECK(from.is_closed());
    CHECK(it.faults == std::vector{request_fault::body_too_large});
    CHECK(wait_for([&] { return it.listener.connection_count() == 0; }));
}

TEST_CASE("a refused caller that neither closes nor stops is closed after a bounded time and number of bytes")
{
    listener_fixture it;
    client silent{it.port};
    silent.send(post + "Content-Length: 3000000\r\n\r\n");
    CHECK(silent.has_received("400 Bad Request"));
    CHECK(wait_for(
        [&]
        {
            it.listener.check_timeouts();
            return it.listener.connection_count() == 0;
        },
        std::chrono::seconds{3}));

    client pouring{it.port};
    const auto pour = [&] { pouring.send(std::string(100'000, 'x')); };
    QObject::connect(&pouring.socket, &QTcpSocket::bytesWritten, &pouring.socket, pour);
    pouring.send(post + "Content-Length: 3000000\r\n\r\n");
    CHECK(pouring.is_closed());
}

TEST_CASE("a request that arrives a byte at a time is rejected, and its bytes do not renew the timeout")
{
    listener_fixture it;
    const auto begin = GENERATE_COPY(std::string{"POST / HTTP/1.1\r\nX: "},
                                     post + "Content-Length: 1000\r\n\r\n", chunked + "1000\r\n");
    client from{it.port};
    from.send(begin);
    QTimer timer;
    QObject::connect(&timer, &QTimer::timeout, &timer, [&] { from.send("x"); });
    timer.start(20);
    CHECK(wait_for(
        [&]
        {
            it.listener.check_timeouts();
            return !it.faults.empty();
        },
        std::chrono::seconds{3}));
    CHECK(it.faults == std::vector{request_fault::timed_out});
    CHECK(from.has_received("400 Bad Request"));
}

TEST_CASE("a caller that reads nothing of a whole answer is closed after the idle timeout")
{
    listener_fixture it;
    it.limits.idle_timeout = core::milliseconds{300};
    it.listener.set_limits(it.limits);
    http_listener large{[](const auto& from, const auto&, const std::string&)
                        {
                            from->write(write_response(200, {}, std::string(30'000'000, 'a')));
                            from->finish(false);
                        },
                        [](const auto& from, request_fault) { from->reset(); }};
    large.set_limits(it.limits);
    client from{large.listen("127.0.0.1", 0).value()};
    from.socket.setReadBufferSize(1);
    from.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for([&] { return large.budget().held_bytes() > 20'000'000; }));
    CHECK(wait_for(
        [&]
        {
            large.check_timeouts();
            return large.connection_count() == 0;
        },
        std::chrono::seconds{5}));
    CHECK(large.budget().held_bytes() == 0);
}

TEST_CASE("what a connection holds is counted, and is given back after each request")
{
    listener_fixture it;
    const auto per_connection = core::caller_budget_limits{}.connection_bytes;
    client from{it.port};
    from.send(post + "Content-Length: 500000\r\n\r\n" + std::string(400'000, 'x'));
    REQUIRE(wait_for([&] { return it.listener.budget().held_bytes() >= 3 * 500'000; }));
    from.send(std::string(100'000, 'x'));
    CHECK(from.has_received("500000"));
    CHECK(wait_for([&] { return it.listener.budget().held_bytes() == per_connection; }));

    from.send(chunked + "7a120\r\n" + std::string(500'000, 'x') + "\r\n");
    REQUIRE(wait_for([&] { return it.listener.budget().held_bytes() >= 3 * 500'000; }));
    from.send("0\r\n\r\n");
    CHECK(wait_for([&] { return it.listener.budget().held_bytes() == per_connection; }));

    std::string fields;
    for (int n = 0; n < 3000; ++n)
        fields += "a:\r\n";
    from.send(post + fields + "Content-Length: 1\r\n\r\n");
    CHECK(wait_for([&] { return it.listener.budget().held_bytes() > 3 * 3000 * sizeof(http_field); }));
    from.socket.abort();
    CHECK(wait_for([&] { return it.listener.budget().held_bytes() == 0; }));
}

TEST_CASE("a request without room is refused at its head, and one that gives way gets its refusal")
{
    core::caller_budget_limits budget;
    budget.max_bytes = 4'000'000;
    budget.stall_time = core::milliseconds{100};
    listener_fixture it{budget};
    client first{it.port};
    first.send(post + "Content-Length: 900000\r\n\r\nx");
    REQUIRE(wait_for([&] { return it.listener.budget().held_bytes() > 2'700'000; }));
    client second{it.port};
    second.send(post + "Content-Length: 900000\r\n\r\n");
    CHECK(second.has_received("400 Bad Request"));
    wait_for([] { return false; }, budget.stall_time);
    client third{it.port};
    third.send(post + "Content-Length: 900000\r\n\r\n" + std::string(900'000, 'x'));
    CHECK(third.has_received("900000"));
    CHECK(first.has_received("400 Bad Request"));
    CHECK(it.faults == std::vector{request_fault::no_room, request_fault::no_room});
}

TEST_CASE("a listener accepts again after it had no descriptor left")
{
    listener_fixture it;
    client before{it.port};
    QTcpSocket waiting;
    waiting.connectToHost(QHostAddress::LocalHost, it.port);
    rlimit own{};
    getrlimit(RLIMIT_NOFILE, &own);
    constexpr rlim_t few = 128;
    const rlimit lowered{few, own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    std::vector<int> taken;
    for (int fd = dup(0); fd >= 0; fd = dup(0))
        taken.push_back(fd);
    wait_for([] { return false; }, std::chrono::milliseconds{300});
    CHECK(it.listener.connection_count() == 1);
    for (const int fd : taken)
        close(fd);
    setrlimit(RLIMIT_NOFILE, &own);
    CHECK(wait_for([&] { return it.listener.connection_count() == 2; }, std::chrono::seconds{3}));
}
