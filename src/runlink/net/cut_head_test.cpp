#include <catch2/catch.hpp>

#include <memory>

#include "runlink/net/connection_carrier.hpp"
#include "runlink/net/http_codec.hpp"
#include "support/cut_answers.hpp"
#include "support/raw_peer.hpp"
#include "support/wait_for.hpp"

using namespace runlink;
using namespace runlink::net;
using tests::framed_answer;
using tests::framed_answers;
using tests::outcome;
using tests::raw_peer;
using tests::wait_for;

namespace
{

/// How a peer ends its connection after a part of an answer.
enum class cut_manner
{
    close,
    reset,
    half_close, ///< ends the sending direction only
    in_pieces,  ///< closes after it has sent the part in two pieces
};

void cut(raw_peer& peer, const std::string& part, cut_manner how)
{
    const auto first = how == cut_manner::in_pieces ? part.size() / 2 : part.size();
    peer.send(part.substr(0, first));
    if (how == cut_manner::close)
        return peer.socket->disconnectFromHost();
    if (how == cut_manner::reset)
        return QTimer::singleShot(1, peer.socket, [&] { peer.reset(); });
    if (how == cut_manner::half_close)
    {
        peer.socket->flush();
        shutdown(static_cast<int>(peer.socket->socketDescriptor()), SHUT_WR);
        return;
    }
    QTimer::singleShot(1, peer.socket,
                       [&peer, rest = part.substr(first)]
                       {
                           peer.send(rest);
                           peer.socket->disconnectFromHost();
                       });
}

outcome exchange_with(connection_pool& pool, const endpoint_path& to)
{
    outcome out;
    pool.send(to, tests::request, {}, out.hooks());
    REQUIRE(wait_for([&] { return out.over(); }));
    return out;
}

void check_lost(const outcome& it)
{
    CHECK(it.failure.has_value());
    CHECK_FALSE(it.ended);
    CHECK(it.status == 0);
    CHECK(it.body.empty());
}

} // namespace

TEST_CASE("a response that is cut at any byte of its head has neither a head nor an end")
{
    // Guards against an answer cut in its head that reaches a caller as a whole one without a body.
    for (const auto& answer : framed_answers())
        for (std::size_t n = 0; n <= answer.head.size(); ++n)
            for (const auto piece : {std::size_t{1}, answer.head.size()})
            {
                INFO(answer.head << "cut after " << n);
                int heads = 0;
                int ends = 0;
                std::string body;
                http_response_reader reader{{[&](const http_response_head&) { ++heads; },
                                             [&](std::string_view it) { body.append(it); }, [&] { ++ends; }}};
                const auto part = answer.head.substr(0, n);
                for (std::size_t at = 0; at < part.size(); at += piece)
                    REQUIRE(reader.feed(std::string_view{part}.substr(at, piece)) == codec_error::none);
                reader.finish_input();
                const bool is_whole = n == answer.head.size();
                REQUIRE(heads == (is_whole ? 1 : 0));
                REQUIRE(body.empty());
                if (!is_whole)
                    REQUIRE(ends == 0);
            }
}

TEST_CASE("an answer that is cut at any byte of its head is lost, on new and on kept connections")
{
    const auto how =
        GENERATE(cut_manner::close, cut_manner::reset, cut_manner::half_close, cut_manner::in_pieces);
    const auto is_kept = GENERATE(false, true);
    for (const auto& answer : framed_answers())
        for (std::size_t n = 0; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n << ", manner " << static_cast<int>(how));
            raw_peer peer;
            connection_pool pool;
            if (is_kept)
            {
                peer.on_bytes = [&] { peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); };
                CHECK(exchange_with(pool, peer.address()).ended);
            }
            peer.on_bytes = [&] { cut(peer, answer.head.substr(0, n), how); };
            check_lost(exchange_with(pool, peer.address()));
            CHECK(peer.connections == 1);
        }
}

TEST_CASE("an answer that is cut at any byte of its head is lost when another instance carries it")
{
    const auto how = GENERATE(cut_manner::close, cut_manner::reset);
    for (const auto& answer : framed_answers())
        for (std::size_t n = 0; n < answer.head.size(); ++n)
        {
            INFO(answer.head << "cut after " << n);
            raw_peer endpoint;
            connection_carrier carrier{
                {}, [&](const carry_opening&) { return std::optional{endpoint.address()}; }};
            const auto port = carrier.listen("127.0.0.1", 0).value();
            connection_pool pool;
            endpoint.on_bytes = [&] { cut(endpoint, answer.head.substr(0, n), how); };
            const endpoint_path path{peer_address{"127.0.0.1", 1},
                                     carrier_address{{"127.0.0.1", port}, "t", "e"}};
            check_lost(exchange_with(pool, path));
        }
}

TEST_CASE("a carried answer without a length is complete only with the whole frame that ends it")
{
    for (const auto& answer : framed_answers())
    {
        const auto frames = write_frame(carry_frame::connected) +
                            write_frame(carry_frame::data, answer.whole()) + write_frame(carry_frame::closed);
        const bool has_own_end = answer.head.find("Content-Length") != std::string::npos ||
                                 answer.head.find("chunked") != std::string::npos;
        const auto end =
            has_own_end ? frames.size() - write_frame(carry_frame::closed).size() : frames.size();
        for (std::size_t n = 0; n < end; ++n)
        {
            INFO(answer.head << "frames cut after " << n);
            raw_peer carrier;
            connection_pool pool;
            carrier.on_bytes = [&] { cut(carrier, frames.substr(0, n), cut_manner::close); };
            const endpoint_path path{peer_address{"127.0.0.1", 1},
                                     carrier_address{carrier.address(), "t", "e"}};
            const auto out = exchange_with(pool, path);
            CHECK_FALSE(out.ended);
            CHECK(out.failure.has_value());
        }
    }
}
