#include <catch2/catch.hpp>

#include "runlink/net/event_reader.hpp"
#include "runlink/net/http_codec.hpp"

using namespace runlink::net;

namespace
{

struct read_request
{
    std::vector<http_request_head> heads;
    std::string body;
    int ends = 0;
    http_request_reader reader{{[this](const http_request_head& it) { heads.push_back(it); },
                                [this](std::string_view it) { body.append(it); }, [this] { ++ends; }}};
};

struct read_response
{
    std::vector<http_response_head> heads;
    std::string body;
    int ends = 0;
    http_response_reader reader{{[this](const http_response_head& it) { heads.push_back(it); },
                                 [this](std::string_view it) { body.append(it); }, [this] { ++ends; }}};
};

codec_error feed_request(const std::string& bytes)
{
    read_request it;
    return it.reader.feed(bytes);
}

} // namespace

TEST_CASE("a request is parsed the same however its bytes are split")
{
    const std::string bytes =
        "POST /a?b=c HTTP/1.1\r\nHost: h\r\nX-Mixed: v\r\nContent-Length: 5\r\n\r\nhello";
    for (std::size_t cut = 1; cut < bytes.size(); ++cut)
    {
        read_request it;
        REQUIRE(it.reader.feed(bytes.substr(0, cut)) == codec_error::none);
        REQUIRE(it.reader.feed(bytes.substr(cut)) == codec_error::none);
        REQUIRE(it.ends == 1);
        CHECK(it.body == "hello");
        CHECK(it.heads[0].target == "/a?b=c");
        CHECK(*it.heads[0].fields.find("x-mixed") == "v");
    }
}

TEST_CASE("a pipelined request waits until the previous one is answered")
{
    read_request it;
    REQUIRE(it.reader.feed("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n") ==
            codec_error::none);
    CHECK(it.ends == 1);
    REQUIRE(it.reader.next() == codec_error::none);
    CHECK(it.ends == 2);
    CHECK(it.heads[1].target == "/2");
}

TEST_CASE("requests that parsers could interpret differently are refused")
{
    const std::string line = "POST / HTTP/1.1\r\nHost: h\r\n";
    CHECK(feed_request(line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na") == codec_error::malformed);
    CHECK(feed_request(line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\na") == codec_error::malformed);
    CHECK(feed_request(line + "Content-Length: +1\r\n\r\na") == codec_error::malformed);
    CHECK(feed_request(line + "Content-Length: -1\r\n\r\na") == codec_error::malformed);
    CHECK(feed_request(line + "Content-Length: 1, 1\r\n\r\na") == codec_error::malformed);
    CHECK(feed_request(line + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          codec_error::malformed);
    CHECK(feed_request(line + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n") ==
          codec_error::malformed);
    CHECK(feed_request(line + "Transfer-Encoding: xchunked\r\n\r\n") == codec_error::malformed);
    CHECK(feed_request(line + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") == codec_error::malformed);
    CHECK(feed_request(line + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n") == codec_error::malformed);
    CHECK(feed_request(line + "X: a\r\n b\r\n\r\n") == codec_error::malformed);
    CHECK(feed_request(line + "X: a\r\n\tb\r\n\r\n") == codec_error::malformed);
    CHECK(feed_request("POST / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n") == codec_error::malformed);
    CHECK(feed_request("GET / HTTP/1.1\nHost: h\n\n") == codec_error::malformed);
    CHECK(feed_request(line + "Content-Length: 2\r\n\r\nab") == codec_error::none);
}

TEST_CASE("size limits of header and body are enforced")
{
    read_request it;
    it.reader.set_limits({64, 8});
    CHECK(it.reader.feed("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(100, 'a') + "\r\n\r\n") ==
          codec_error::header_too_large);
    read_request body;
    body.reader.set_limits({1024, 8});
    CHECK(body.reader.feed("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n") ==
          codec_error::body_too_large);
}

TEST_CASE("a response without a length is complete only after a close without reset")
{
    read_response it;
    REQUIRE(it.reader.feed("HTTP/1.1 200 OK\r\n\r\nabc") == codec_error::none);
    REQUIRE(it.heads.size() == 1);
    CHECK(it.heads[0].framing == body_framing::until_close);
    CHECK(it.ends == 0);
    it.reader.finish_input();
    CHECK(it.ends == 1);
    CHECK(it.body == "abc");
}

TEST_CASE("a truncated response with a length does not end")
{
    read_response it;
    REQUIRE(it.reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") == codec_error::none);
    it.reader.finish_input();
    CHECK(it.ends == 0);
}

TEST_CASE("interim responses are skipped")
{
    read_response it;
    REQUIRE(it.reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n") ==
            codec_error::none);
    REQUIRE(it.heads.size() == 1);
    CHECK(it.heads[0].status == 204);
    CHECK(it.ends == 1);
}

TEST_CASE("the reader does not limit the size of a response")
{
    read_response it;
    const std::string body(9 * 1024 * 1024, 'x');
    REQUIRE(it.reader.feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body) == codec_error::none);
    CHECK(it.ends == 1);
}

TEST_CASE("hop-by-hop fields are not forwarded")
{
    http_fields fields;
    fields.add("Connection", "close, X-Hop");
    fields.add("X-Hop", "1");
    CHECK(is_hop_by_hop("x-hop", fields));
    CHECK(is_hop_by_hop("Transfer-Encoding", fields));
    CHECK_FALSE(is_hop_by_hop("X-Other", fields));
}

TEST_CASE("events are split without changing a byte, and a partial event is held back")
{
    const std::string bytes = "id: 1\r\ndata: a\r\n\r\nx-versions: 2\nid: 12\ndata: b\n\nid: 13\ndata: part";
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
    {
        std::vector<std::pair<std::string, std::optional<std::uint64_t>>> seen;
        event_reader it{[&](std::string_view event, std::optional<std::uint64_t> id)
                        { seen.emplace_back(event, id); }};
        REQUIRE(it.feed(bytes.substr(0, cut)));
        REQUIRE(it.feed(bytes.substr(cut)));
        REQUIRE(seen.size() == 2);
        CHECK(seen[0].first == "id: 1\r\ndata: a\r\n\r\n");
        CHECK(seen[0].second == 1U);
        CHECK(seen[1].second == 12U);
        CHECK(it.rest() == "id: 13\ndata: part");
    }
}

TEST_CASE("chunks are written with their size in hexadecimal")
{
    CHECK(write_chunk("hello") == "5\r\nhello\r\n");
    CHECK(write_chunk(std::string(26, 'a')).starts_with("1a\r\n"));
    CHECK(write_chunk("") == "0\r\n\r\n");
}
