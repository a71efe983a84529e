#include <catch2/catch.hpp>

#include <random>

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

TEST_CASE("the id of an event is the whole value of its only id field, or none")
{
    // Guards against a damaged id that reads as that of another event.
    CHECK(event_id_of("id: 7\ndata: a\n\n") == 7U);
    CHECK(event_id_of("id:7\r\n\r\n") == 7U);
    CHECK(event_id_of("data: a\nid: 18446744073709551615\n\n") == 18446744073709551615U);
    for (const auto* line :
         {"id: 7x", "id: 7 ", "id:  7", "id: -1", "id: +1", "id: ", "id:", "id", "id: x", "id: 7\rx",
          "id: 18446744073709551616", "ie: 7", "Id: 7", "idx: 7", " id: 7", "id: 7\nid: 7", "id: 7\nid: x"})
    {
        INFO(line);
        CHECK_FALSE(event_id_of(line + std::string{"\ndata: a\n\n"}));
    }
}

TEST_CASE("a comment carries neither data nor an id")
{
    for (const auto* bytes :
         {": keep-alive\n\n", "\n", "retry: 3000\n\n", "event: ping\r\n\r\n", "idx: 7\n\n"})
        CHECK(is_comment(bytes));
    for (const auto* bytes : {"data: a\n\n", "id: 7\n\n", "id\n\n", ": a\ndata\n\n", "ie: 7\ndata:a\r\n\r\n"})
        CHECK_FALSE(is_comment(bytes));
}

TEST_CASE("chunks are written with their size in hexadecimal")
{
    CHECK(write_chunk("hello") == "5\r\nhello\r\n");
    CHECK(write_chunk(std::string(26, 'a')).starts_with("1a\r\n"));
    CHECK(write_chunk("") == "0\r\n\r\n");
}

namespace
{

/// Bytes that begin as a message and never end: `first`, then `repeated` again and again.
struct endless_bytes
{
    const char* place;
    std::string first;
    std::string repeated;
};

const std::string chunked_response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunked_request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<endless_bytes> endless_parts_of(const std::string& start_line, const std::string& chunked)
{
    return {
        {"start line", start_line, "a"},
        {"a field's line", start_line + "\r\nX: ", "a"},
        {"fields", start_line + "\r\n", "X: a\r\n"},
        {"size of a chunk", chunked, "0"},
        {"extension of a chunk", chunked + "1;", "a"},
        {"extensions of many chunks", chunked, "1;" + std::string(2000, 'a') + "\r\nx\r\n"},
        {"a trailer's line", chunked + "0\r\nX: ", "a"},
        {"trailers", chunked + "0\r\n", "X: a\r\n"},
    };
}

/// The bytes of a body, and 16 bytes of framing for each.
std::size_t allowance_of(const std::string& body)
{
    return 17 * body.size();
}

/// Feeds endless bytes in pieces of random sizes until the reader rejects them, at most up to `limit`.
/// Returns how many bytes it took.
template <class Reader>
std::size_t bytes_until_rejected(Reader& reader, const endless_bytes& it, std::mt19937& random,
                                 std::size_t limit)
{
    std::string bytes = it.first;
    std::size_t fed = 0;
    const std::size_t max_piece = std::uniform_int_distribution<std::size_t>{0, 1}(random) == 0 ? 40 : 40'000;
    while (fed < limit)
    {
        const auto n = std::uniform_int_distribution<std::size_t>{1, max_piece}(random);
        while (bytes.size() < n)
            bytes += it.repeated;
        fed += n;
        if (reader.feed(std::string_view{bytes}.substr(0, n)) != codec_error::none)
            return fed - n; // the bytes before the last piece were accepted
        bytes.erase(0, n);
    }
    return fed;
}

} // namespace

TEST_CASE("responses that go on without end in any place but the body are rejected at their limit")
{
    auto places = endless_parts_of("HTTP/1.1 200 OK", chunked_response);
    places.push_back({"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"});
    places.push_back({"interim heads with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"});
    for (unsigned seed = 1; seed <= 20; ++seed)
        for (const auto& place : places)
        {
            INFO(place.place << ", seed " << seed);
            std::mt19937 random{seed};
            read_response it;
            const auto n = bytes_until_rejected(it.reader, place, random, 1'000'000);
            CHECK(n <= max_response_framing_bytes + allowance_of(it.body));
            CHECK(it.ends == 0);
        }
}

TEST_CASE("requests that go on without end in any place but the body are rejected at their limit")
{
    const codec_limits limits;
    for (unsigned seed = 1; seed <= 20; ++seed)
        for (const auto& place : endless_parts_of("POST / HTTP/1.1", chunked_request))
        {
            INFO(place.place << ", seed " << seed);
            std::mt19937 random{seed};
            read_request it;
            const auto n = bytes_until_rejected(it.reader, place, random, 1'000'000);
            CHECK(n <= limits.max_header_bytes + allowance_of(it.body));
            CHECK(it.ends == 0);
        }
}

TEST_CASE("chunks of one byte, with extensions and trailers, are read however their bytes are split")
{
    std::string bytes;
    std::string body;
    for (int n = 0; n < 20'000; ++n)
    {
        bytes += n % 100 == 0 ? "1;name=value\r\nx\r\n" : "1\r\nx\r\n";
        body += 'x';
    }
    bytes += "0\r\nX-Sum: 1\r\nX-Time: 2\r\n\r\n";
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        std::mt19937 random{seed};
        read_response response;
        read_request request;
        const auto feed = [&](auto& to, std::string rest)
        {
            while (!rest.empty())
            {
                const auto n =
                    std::min(rest.size(), std::uniform_int_distribution<std::size_t>{1, 3000}(random));
                REQUIRE(to.reader.feed(std::string_view{rest}.substr(0, n)) == codec_error::none);
                rest.erase(0, n);
            }
            CHECK(to.ends == 1);
            CHECK((to.body == body));
        };
        feed(response, chunked_response + bytes);
        feed(request, chunked_request + bytes);
    }
}

namespace
{

/// The first line of a response with a three-digit status.
std::string status_line(int status)
{
    auto digits = std::to_string(status);
    digits.insert(0, 3 - digits.size(), '0');
    return "HTTP/1.1 " + digits + " OK\r\n";
}

/// Fields and body of a response, for each way in which the end of a body is determined.
const std::vector<std::string> framings{
    "\r\nbody",
    "\r\n",
    "Content-Length: 4\r\n\r\nbody",
    "Content-Length: 0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
};

bool is_final_status(int n)
{
    return n >= 200 && n <= 599;
}

/// Interim responses have no body; 101 answers a request to upgrade, which the client never sends.
bool is_skipped_status(int n)
{
    return n >= 100 && n <= 199 && n != 101;
}

} // namespace

TEST_CASE("a response with a number that is no status is rejected however its body is framed")
{
    // Guards against a status of 000 that reaches a caller as a response without a head.
    for (int status = 0; status <= 999; ++status)
        for (const auto& framing : framings)
        {
            if (is_final_status(status) || is_skipped_status(status))
                continue;
            const auto bytes = status_line(status) + framing;
            INFO(bytes);
            for (const auto piece : {std::size_t{1}, bytes.size()})
            {
                read_response it;
                auto ec = codec_error::none;
                for (std::size_t at = 0; at < bytes.size(); at += piece)
                    if (const auto e = it.reader.feed(std::string_view{bytes}.substr(at, piece));
                        ec == codec_error::none)
                        ec = e;
                it.reader.finish_input();
                REQUIRE(ec == codec_error::invalid_status);
                REQUIRE(it.heads.empty());
                REQUIRE(it.body.empty());
                REQUIRE(it.ends == 0);
            }
        }
}

TEST_CASE("the head, body and end of a response are reported only in this order")
{
    // Guards against a body or an end of a response whose head was not reported.
    for (unsigned seed = 1; seed <= 2000; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937 random{seed};
        const auto pick = [&](std::size_t n) {
            return std::uniform_int_distribution<std::size_t>{0, n - 1}(random);
        };
        std::string bytes;
        for (auto n = 1 + pick(4); n > 0; --n)
            bytes += status_line(static_cast<int>(pick(2) == 0 ? pick(1000) : 100 + pick(500))) +
                     framings[pick(framings.size())];
        for (auto n = pick(3); n > 0; --n)
            bytes[pick(bytes.size())] = static_cast<char>(pick(256));
        bytes.resize(pick(3) == 0 ? pick(bytes.size()) : bytes.size());
        bool in_response = false;
        bool is_rejected = false;
        http_response_reader reader{{[&](const http_response_head& it)
                                     {
                                         REQUIRE_FALSE((in_response || is_rejected));
                                         REQUIRE(is_final_status(it.status.value()));
                                         in_response = true;
                                     },
                                     [&](std::string_view) { REQUIRE((in_response && !is_rejected)); },
                                     [&]
                                     {
                                         REQUIRE((in_response && !is_rejected));
                                         in_response = false;
                                     }}};
        while (!bytes.empty())
        {
            const auto n = 1 + pick(bytes.size());
            is_rejected = reader.feed(std::string_view{bytes}.substr(0, n)) != codec_error::none;
            bytes.erase(0, n);
        }
        reader.finish_input();
    }
}

TEST_CASE("a line end in a written value ends neither its field nor the message")
{
    // Guards against values that add fields, or a second request, to a message.
    const std::string forged =
        std::string{"a\r\nX-Other: 1\r\n\r\nGET /other HTTP/1.1\r\nHost: h\r\n\r\n"} + std::string("\0\n", 2);
    http_request_head head;
    head.method = "GET";
    head.target = "/x";
    head.fields.add("Host", "h");
    head.fields.add("X-Name", forged);
    head.fields.add("X-Last", "1");
    read_request request;
    REQUIRE(request.reader.feed(write_request(head, {})) == codec_error::none);
    REQUIRE(request.ends == 1);
    CHECK(request.heads[0].fields.count("X-Other") == 0);
    CHECK(request.heads[0].fields.count("X-Last") == 1);
    REQUIRE(request.reader.next() == codec_error::none);
    CHECK(request.heads.size() == 1);
    head.target += forged;
    read_request target;
    CHECK(target.reader.feed(write_request(head, {})) != codec_error::none);
    CHECK(target.heads.empty());
    read_response response;
    REQUIRE(response.reader.feed(write_response_head(200, forged, head.fields)) == codec_error::none);
    REQUIRE(response.heads.size() == 1);
    CHECK(response.heads[0].fields.count("X-Other") == 0);
    CHECK(response.body.empty());
}
