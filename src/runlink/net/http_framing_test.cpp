#include <catch2/catch.hpp>

#include "runlink/net/http_framing.hpp"

using namespace runlink::net;

namespace
{

http_bounds small_bounds()
{
    http_bounds it;
    it.max_header_bytes = 1024;
    it.max_body_bytes = 100;
    return it;
}

/// Feeds the request at once and byte by byte. Returns the status of the refusal, or 0 if it is accepted.
int status_of(const std::string& bytes)
{
    http_framing whole{small_bounds()};
    const auto a = whole.on_bytes(bytes);
    http_framing split{small_bounds()};
    std::optional<framing_refusal> b;
    for (std::size_t n = 0; n < bytes.size() && !b; ++n)
        b = split.on_bytes(bytes.substr(n, 1));
    CHECK(a.has_value() == b.has_value());
    if (a && b)
        CHECK(a->status == b->status);
    return a ? a->status : 0;
}

std::string post(const std::string& fields, const std::string& body = "")
{
    return "POST / HTTP/1.1\r\n" + fields + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("well-formed requests are accepted one after another")
{
    CHECK(status_of("GET / HTTP/1.1\r\n\r\n") == 0);
    CHECK(status_of(post("Content-Length: 3", "abc")) == 0);
    http_framing it{small_bounds()};
    CHECK_FALSE(it.on_bytes(post("Content-Length: 3", "abc")));
    CHECK(it.current_state() == http_framing::state::running);
    it.on_answered();
    CHECK_FALSE(it.on_bytes("GET / HTTP/1.1\r\n\r\n"));
}

TEST_CASE("conflicting, negative, overlong and malformed lengths are refused")
{
    CHECK(status_of(post("Content-Length: -5")) == 400);
    CHECK(status_of(post("Content-Length: 18446744073709551617")) == 400);
    CHECK(status_of(post("Content-Length: 3\r\nContent-Length: 3", "abc")) == 400);
    CHECK(status_of(post("Content-Length: 3, 3", "abc")) == 400);
    CHECK(status_of(post("Content-Length:")) == 400);
    CHECK(status_of(post("Content-Length: 0x3")) == 400);
    CHECK(status_of(post("Content-Length : 3")) == 400);
    CHECK(status_of(post("X: a\r\n folded")) == 400);
    CHECK(status_of(post("Transfer-Encoding: chunked")) == 411);
    CHECK(status_of(post("content-length: 3\r\nTRANSFER-ENCODING: chunked")) == 411);
}

TEST_CASE("oversized bodies and headers and pipelined requests are refused")
{
    CHECK(status_of(post("Content-Length: 101")) == 413);
    CHECK(status_of(post("X: " + std::string(2000, 'x'))) == 431);
    CHECK(status_of("GET /" + std::string(5000, 'x')) == 431);
    CHECK(status_of(post("Content-Length: 3", "abcGET / HTTP/1.1\r\n\r\n")) == 400);
}
