// Calls to a store whose answers take long to arrive.

#include <catch2/catch.hpp>

#include <algorithm>

#include <QElapsedTimer>
#include <QTimer>

#include "runlink/gateway/kv_http_store.hpp"
#include "support/cut_answers.hpp"
#include "support/endless_peer.hpp"
#include "support/event_loop.hpp"
#include "support/raw_peer.hpp"

using namespace runlink;
using namespace runlink::gateway;

namespace
{

constexpr std::size_t value_bytes = 400'000;
constexpr int chunks = 20;
constexpr std::chrono::milliseconds chunk_interval{120};

/// Items are sent as plain bytes, since the calls are what is tested here.
control::kv_wire plain_wire()
{
    const auto item = [](const control::http_answer& it) { return control::kv_item{"conf", it.body, {}}; };
    control::kv_wire out;
    out.list = [](const std::string&) { return control::http_call{"GET", "/list", {}, {}}; };
    out.watch = [](std::uint64_t, core::milliseconds) { return control::http_call{"GET", "/watch", {}, {}}; };
    out.commit = [](const control::kv_transaction&) {
        return control::http_call{"POST", "/commit", "{}", {}};
    };
    out.read_era = [](const control::http_answer&) { return core::store_era{}; };
    out.read_page = [item](const control::http_answer& it) -> control::kv_result<control::kv_page>
    {
        if (it.status == 0)
            return control::kv_error::unavailable;
        return control::kv_page{{item(it)}, false, {}};
    };
    out.read_changes = [item](const control::http_answer& it) -> control::kv_result<control::kv_changes>
    {
        if (it.status == 0)
            return control::kv_error::unavailable;
        return control::kv_changes{{{item(it)}}, {}};
    };
    out.read_commit = [item](const control::http_answer& it) -> control::kv_commit_result
    {
        if (it.status == 0)
            return control::kv_error::unavailable;
        return control::kv_conflict{{item(it)}};
    };
    return out;
}

/// A store that sends its answer in small parts, and stops after some of them.
class slow_store
{
public:
    explicit slow_store(int sent_chunks = chunks) : left_{sent_chunks}
    {
        peer_.on_bytes = [this]
        {
            if (timer_.isActive())
                return;
            peer_.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(value_bytes) + "\r\n\r\n");
            timer_.start(chunk_interval);
        };
        QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { send_chunk(); });
    }

    net::peer_address address() const { return peer_.address(); }
    int connections() const { return peer_.connections; }

private:
    void send_chunk()
    {
        if (left_-- > 0 && peer_.socket->state() == QAbstractSocket::ConnectedState)
            peer_.send(std::string(value_bytes / chunks, 'x'));
        else
            timer_.stop();
    }

    int left_;
    tests::raw_peer peer_;
    QTimer timer_;
};

std::size_t bytes_of(const control::kv_commit_result& it)
{
    const auto* found = std::get_if<control::kv_conflict>(&it);
    return found == nullptr ? 0 : found->items.at(0).value.size();
}

} // namespace

TEST_CASE("a proof whose answer carries a configuration larger than the link sends within the call timeout")
{
    slow_store peer;
    kv_http_store store{{}, peer.address(), plain_wire()};
    std::optional<control::kv_commit_result> result;
    store.port().commit({}, [&](const auto& it) { result = it; });
    net::run_until([&] { return result.has_value(); });
    REQUIRE(result);
    CHECK(bytes_of(*result) == value_bytes);
}

TEST_CASE("a page of a list that is larger than the link sends within the call timeout")
{
    slow_store peer;
    kv_http_store store{{}, peer.address(), plain_wire()};
    std::optional<control::kv_result<control::kv_page>> result;
    store.port().list({}, [&](const auto& it) { result = it; });
    net::run_until([&] { return result.has_value(); });
    REQUIRE(result);
    REQUIRE(std::holds_alternative<control::kv_page>(*result));
    CHECK(std::get<control::kv_page>(*result).items.at(0).value.size() == value_bytes);
}

TEST_CASE("a change that is larger than the link sends within the slack of its watch")
{
    slow_store peer;
    kv_http_store store{{}, peer.address(), plain_wire()};
    std::optional<control::kv_result<control::kv_changes>> result;
    store.port().watch(1, core::milliseconds{100}, [&](const auto& it) { result = it; });
    net::run_until([&] { return result.has_value(); });
    REQUIRE(result);
    REQUIRE(std::holds_alternative<control::kv_changes>(*result));
    CHECK(std::get<control::kv_changes>(*result).events.at(0).item.value.size() == value_bytes);
}

TEST_CASE("a store that falls silent within its answer is noticed about a second after its last byte")
{
    constexpr int sent_chunks = 10;
    slow_store peer{sent_chunks};
    kv_http_store store{{}, peer.address(), plain_wire()};
    std::optional<control::kv_commit_result> result;
    QElapsedTimer timer;
    timer.start();
    store.port().commit({}, [&](const auto& it) { result = it; });
    net::run_until([&] { return result.has_value(); });
    REQUIRE(result);
    CHECK(std::holds_alternative<control::kv_error>(*result));
    constexpr auto sending = chunk_interval * sent_chunks;
    constexpr std::chrono::milliseconds noticed_within{1500};
    CHECK(timer.elapsed() >= sending.count());
    CHECK(timer.elapsed() < (sending + noticed_within).count());
}

TEST_CASE("an answer of the store that is cut at any byte of its head is none")
{
    // Guards against a store that seems to be empty, or to have written, because its answer was cut.
    for (const auto& answer : tests::framed_answers())
        for (std::size_t n = 0; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n);
            tests::raw_peer peer;
            peer.on_bytes = [&]
            {
                peer.send(answer.head.substr(0, n));
                peer.socket->disconnectFromHost();
            };
            kv_http_store store{{}, peer.address(), plain_wire()};
            std::optional<control::kv_result<control::kv_page>> page;
            std::optional<control::kv_result<control::kv_changes>> changes;
            std::optional<control::kv_commit_result> written;
            store.port().list({}, [&](const auto& it) { page = it; });
            net::run_until([&] { return page.has_value(); });
            store.port().watch(1, core::milliseconds{100}, [&](const auto& it) { changes = it; });
            net::run_until([&] { return changes.has_value(); });
            store.port().commit({}, [&](const auto& it) { written = it; });
            net::run_until([&] { return written.has_value(); });
            REQUIRE((page && changes && written));
            CHECK(std::holds_alternative<control::kv_error>(*page));
            CHECK(std::holds_alternative<control::kv_error>(*changes));
            CHECK(std::holds_alternative<control::kv_error>(*written));
        }
}

TEST_CASE("an answer of the store without end is given up at its limit, and the connection is closed")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string piece(64 * 1024, 'x');
    const auto [first, repeated] = GENERATE_COPY(table<std::string, std::string>(
        {{head + "\r\n", piece},
         {head + "Content-Length: 99999999999\r\n\r\n", piece},
         {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + piece + "\r\n"}}));
    tests::endless_peer peer{first, repeated};
    kv_http_store store{{}, peer.address(), plain_wire()};
    std::optional<control::kv_result<control::kv_page>> result;
    QElapsedTimer timer;
    timer.start();
    store.port().list({}, [&](const auto& it) { result = it; });
    net::run_until([&] { return result.has_value() && !peer.is_open(); });
    CHECK(timer.elapsed() < 2000);
    CHECK(peer.sent < 2 * http_caller_options{}.max_answer_bytes);
    REQUIRE(result);
    CHECK(std::holds_alternative<control::kv_error>(*result));
}
