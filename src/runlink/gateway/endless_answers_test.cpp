// Answers of endpoints, and requests of callers, that go on without end until the gateway closes the
// connection.

#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>

#include "support/served_gateway.hpp"

using namespace runlink;
using namespace runlink::tests;
using routing::route_kind;

namespace
{

constexpr std::size_t piece_bytes = 64 * 1024;
/// What an instance may need beyond its idle state: the answers that it holds, and as much again for copies.
constexpr std::size_t max_memory_growth = 2 * gateway::answer_limits{}.max_total_bytes;

/// Resident memory of this process.
std::size_t memory_bytes()
{
    std::ifstream in{"/proc/self/statm"};
    std::size_t pages = 0;
    in >> pages >> pages;
    return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Sends `first`, then `repeated` for as long as the connection is open.
struct pourer
{
    scripted_endpoint::script script()
    {
        return [this](QTcpSocket& to)
        {
            to.write(first.data(), static_cast<qint64>(first.size()));
            ++open;
            const auto pour = [this, &to]
            {
                if (to.bytesToWrite() < static_cast<qint64>(piece_bytes))
                    to.write(repeated.data(), static_cast<qint64>(repeated.size()));
            };
            QObject::connect(&to, &QTcpSocket::bytesWritten, &to, pour);
            QObject::connect(&to, &QTcpSocket::disconnected, &to, [this] { --open; });
            pour();
        };
    }

    std::string first;
    std::string repeated;
    int open = 0;
};

struct place
{
    const char* name;
    std::string first;
    std::string repeated;
};

std::vector<place> all_places()
{
    const auto head = answer_head("r1");
    const std::string piece(piece_bytes, 'x');
    const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"status line", "HTTP/1.1 200 ", piece},
        {"a field's line", head + "X: ", piece},
        {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"a body of an absurd length", head + "Content-Length: 99999999999\r\n\r\n", piece},
        {"a body until the connection ends", head + "\r\n", piece},
        {"a body in chunks", chunked, "10000\r\n" + piece + "\r\n"},
        {"an extension of a chunk", chunked + "1;", piece},
        {"trailers", chunked + "0\r\nX: ", piece},
        {"an event of a stream", head + "Content-Type: text/event-stream\r\n\r\ndata: ", piece},
        {"an answer to another request", answer_head("r0") + "\r\n", piece},
    };
}

} // namespace

TEST_CASE("an answer without end is given up at its limit, its caller is told at once, others are served")
{
    for (const auto& at : all_places())
    {
        INFO(at.name);
        served_gateway it{route_of(route_kind::unsafe, 1)};
        pourer pour{at.first, at.repeated};
        scripted_endpoint endpoint{pour.script()};
        it.add_endpoint("e1", endpoint.port());
        const auto memory = memory_bytes();
        const auto began = std::chrono::steady_clock::now();
        std::vector<std::unique_ptr<outcome>> calls;
        for (int n = 0; n < 4; ++n)
            calls.push_back(it.send("r1", 100));
        CHECK(wait_for([&]
                       { return std::all_of(calls.begin(), calls.end(), [](auto& e) { return e->over(); }); },
                       std::chrono::seconds{4}));
        CHECK(std::chrono::steady_clock::now() - began < std::chrono::seconds{2});
        for (const auto& e : calls)
            CHECK((e->status == 502 || !e->ended));
        CHECK(wait_for([&] { return pour.open == 0; }, std::chrono::seconds{1}));
        CHECK(memory_bytes() < memory + max_memory_growth);
        CHECK(it.log().find("response_ended") != std::string::npos);
    }
}

TEST_CASE("a repeatable request is tried again after an answer without end")
{
    served_gateway it{route_of(route_kind::safe, 2)};
    pourer pour{answer_head("r1") + "\r\n", std::string(piece_bytes, 'x')};
    int runs = 0;
    const auto answer = [&](QTcpSocket& to)
    {
        if (++runs == 1)
            return pour.script()(to);
        to.write((answer_head("r1") + "Content-Length: 3\r\n\r\nall").c_str());
    };
    scripted_endpoint one{answer};
    scripted_endpoint two{answer};
    it.add_endpoint("e1", one.port());
    it.add_endpoint("e2", two.port());
    const auto out = it.call("r1", 100);
    CHECK(out.status == 200);
    CHECK(out.body == "all");
}

TEST_CASE("an answer of a length below the limit is delivered, whatever its framing")
{
    const std::string body(9'000'000, 'x');
    const auto head = answer_head("r1");
    const auto answer = GENERATE_COPY(head + "Content-Length: 9000000\r\n\r\n" + body,
                                      head + "Transfer-Encoding: chunked\r\n\r\n" + net::write_chunk(body) +
                                          net::write_chunk({}),
                                      head + "Connection: close\r\n\r\n" + body);
    served_gateway it{route_of(route_kind::unsafe, 1)};
    scripted_endpoint endpoint{[&](QTcpSocket& to)
                               {
                                   to.write(answer.data(), static_cast<qint64>(answer.size()));
                                   to.disconnectFromHost();
                               }};
    it.add_endpoint("e1", endpoint.port());
    const auto out = it.call("r1", 100);
    CHECK(out.status == 200);
    CHECK((out.body == body));
}

TEST_CASE(
    "many answers that are held at once are bounded in sum, and small ones are not given up for large ones")
{
    // Each one stays below the limit of one answer and then waits.
    const std::string large(gateway::answer_limits{}.max_answer_bytes - piece_bytes, 'x');
    served_gateway it{route_of(route_kind::safe, 1)};
    std::vector<QTcpSocket*> waiting;
    scripted_endpoint endpoint{[&](QTcpSocket& to)
                               {
                                   const bool is_small = to.peek(1000).contains("small");
                                   const auto bytes = answer_head(is_small ? "small" : "large") +
                                                      "Transfer-Encoding: chunked\r\n\r\n" +
                                                      net::write_chunk(is_small ? "ok" : large);
                                   to.write(bytes.data(), static_cast<qint64>(bytes.size()));
                                   if (is_small)
                                       waiting.push_back(&to);
                               }};
    it.add_endpoint("e1", endpoint.port());
    const auto small = it.send("small", 100);
    REQUIRE(wait_for([&] { return waiting.size() == 1; }));
    const auto memory = memory_bytes();
    std::vector<std::unique_ptr<outcome>> calls;
    const auto count = 2 * gateway::answer_limits{}.max_total_bytes / large.size();
    for (std::size_t n = 0; n < count; ++n)
        calls.push_back(it.send("large", 100));
    const auto given_up = [&]
    { return std::count_if(calls.begin(), calls.end(), [](auto& e) { return e->status == 502; }); };
    CHECK(wait_for([&] { return given_up() >= static_cast<std::ptrdiff_t>(count / 2); },
                   std::chrono::seconds{4}));
    CHECK_FALSE(small->over());
    waiting.at(0)->write(net::write_chunk({}).c_str());
    CHECK(wait_for([&] { return small->over(); }));
    CHECK(small->body == "ok");
    CHECK(it.log().find("answers_too_large") != std::string::npos);
}

TEST_CASE("a caller's request without end is rejected at its limit, and the connection is closed")
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string piece(piece_bytes, 'x');
    const auto [first, repeated] = GENERATE_COPY(
        table<std::string, std::string>({{"", piece},
                                         {head + "X: ", piece},
                                         {chunked + "1;", piece},
                                         {chunked + "0\r\nX: ", piece},
                                         {chunked, "10000\r\n" + piece + "\r\n"},
                                         {head + "Content-Length: 99999999999\r\n\r\n", piece}}));
    served_gateway it{route_of(route_kind::unsafe, 1)};
    const auto memory = memory_bytes();
    pourer pour{first, repeated};
    QTcpSocket caller;
    caller.connectToHost(QHostAddress::LocalHost, it.port());
    REQUIRE(wait_for([&] { return caller.state() == QTcpSocket::ConnectedState; }));
    pour.script()(caller);
    CHECK(wait_for([&] { return pour.open == 0; }, std::chrono::seconds{2}));
    CHECK(memory_bytes() < memory + max_memory_growth);
    CHECK(it.log().find(R"("event":"refused")") != std::string::npos);
}
