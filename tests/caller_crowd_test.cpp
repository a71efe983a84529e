// Crowds of callers that hold what they can of an instance: it stays alive within its memory and its
// descriptors, and answers another caller while they are all there.

#include <catch2/catch.hpp>

#include "runlink/net/http_codec.hpp"
#include "support/caller_crowd.hpp"

using namespace runlink;
using namespace runlink::tests;

namespace
{

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t full_body = crowded_instance::max_body_bytes;

/// Callers with large requests: twice the memory of the instance.
constexpr std::size_t many = 48;
/// Callers that need more descriptors than the instance has.
constexpr std::size_t more_than_descriptors = 400;

std::string length_field(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes);
}

const std::string chunked_field = "Transfer-Encoding: chunked";

/// A script of a request with `framing_field`.
crowd_script request_script(const crowded_instance& to, const std::string& path,
                            const std::string& framing_field)
{
    crowd_script out;
    out.head = [&to, path, framing_field] { return to.head(path) + framing_field + "\r\n\r\n"; };
    return out;
}

/// Adds pieces of this size whose sum is `bytes` at most.
crowd_script with_pieces(crowd_script it, std::size_t piece, std::size_t bytes)
{
    it.piece = std::string(piece, 'x');
    it.total_bytes = bytes / piece * piece;
    return it;
}

/// Adds chunks of this size that hold `body_bytes` together, without the last chunk.
crowd_script with_chunks(crowd_script it, std::size_t chunk, std::size_t body_bytes)
{
    it.piece = net::write_chunk(std::string(chunk, 'x'));
    it.total_bytes = body_bytes / chunk * it.piece.size();
    return it;
}

void check_bounds(crowded_instance& it)
{
    constexpr std::size_t bytes_per_mb = 1'000'000;
    /// For endpoints, the store and other instances.
    const std::size_t own_descriptors = it.limits().descriptors / 8;
    CHECK(it.is_running());
    CHECK(it.call_ordinary() == 200);
    CHECK(it.is_running());
    CHECK(it.peak().memory_bytes + it.peak().unread_bytes < it.limits().memory_mb * bytes_per_mb);
    CHECK(it.peak().descriptors <= it.limits().descriptors - own_descriptors);
}

} // namespace

TEST_CASE("whole bodies at an endpoint that does not answer")
{
    crowded_instance it;
    it.crowd(many, with_pieces(request_script(it, "/pay/hang/x", length_field(full_body)), 64 * kilobyte,
                               full_body));
    check_bounds(it);
}

TEST_CASE("bodies of an announced length that stop one byte short")
{
    const std::size_t piece = GENERATE(as<std::size_t>{}, full_body, 4 * kilobyte);
    crowded_instance it;
    it.crowd(many,
             with_pieces(request_script(it, "/pay/x", length_field(full_body)), piece - 1, full_body - 1));
    check_bounds(it);
}

TEST_CASE("bodies in large chunks that stop before the last chunk")
{
    crowded_instance it;
    it.crowd(many, with_chunks(request_script(it, "/pay/x", chunked_field), 64 * kilobyte, full_body));
    check_bounds(it);
}

TEST_CASE("bodies in very small chunks that stop before the last chunk")
{
    crowded_instance it;
    it.crowd(many, with_chunks(request_script(it, "/pay/x", chunked_field), 8, full_body));
    check_bounds(it);
}

TEST_CASE("bodies far over the limit, announced and sent")
{
    crowded_instance it;
    it.crowd(many, with_pieces(request_script(it, "/pay/x", length_field(1024 * megabyte)), 64 * kilobyte,
                               16 * megabyte));
    check_bounds(it);
}

TEST_CASE("bodies far over the limit, sent in chunks")
{
    const std::size_t chunk = GENERATE(as<std::size_t>{}, 8, 64 * kilobyte);
    crowded_instance it;
    it.crowd(many, with_chunks(request_script(it, "/pay/x", chunked_field), chunk, 8 * megabyte));
    check_bounds(it);
}

TEST_CASE("bytes after requests that wait for their answers")
{
    crowded_instance it;
    it.crowd(many,
             with_pieces(request_script(it, "/pay/hang/x", length_field(0)), 64 * kilobyte, 16 * megabyte));
    check_bounds(it);
}

TEST_CASE("large answers that are not read")
{
    crowded_instance it;
    it.crowd(many, request_script(it, "/pay/large/x", length_field(0)));
    check_bounds(it);
}

TEST_CASE("requests in a row that are refused at once, by one caller that reads nothing")
{
    constexpr std::size_t requests = 20'000;
    const std::string request = "GET / HTTP/1.1\r\nHost: none\r\n\r\n";
    crowded_instance it;
    it.crowd(1, {[] { return std::string{}; }, request, requests * request.size()});
    check_bounds(it);
}

TEST_CASE("more connections than descriptors")
{
    const std::size_t bytes = GENERATE(as<std::size_t>{}, 0, 15 * kilobyte);
    crowded_instance it;
    crowd_script script;
    if (bytes > 0)
        script = {[&] { return it.head("/pay/x") + "X: "; }, std::string(kilobyte, 'x'), bytes - kilobyte};
    it.crowd(more_than_descriptors, script);
    check_bounds(it);
}

TEST_CASE("a crowd of all kinds that leaves and comes again")
{
    constexpr std::size_t of_each = 12;
    crowded_instance it;
    for (int time = 0; time < 3; ++time)
    {
        const auto whole = request_script(it, "/pay/hang/x", length_field(full_body));
        it.crowd(of_each, with_pieces(whole, 64 * kilobyte, full_body));
        const auto by_length = request_script(it, "/pay/x", length_field(full_body));
        it.crowd(of_each, with_pieces(by_length, full_body - 1, full_body - 1));
        const auto in_chunks = request_script(it, "/pay/x", chunked_field);
        it.crowd(of_each, with_chunks(in_chunks, 8, full_body));
        it.crowd(of_each, with_chunks(in_chunks, 64 * kilobyte, 2 * full_body));
        it.crowd(of_each, request_script(it, "/pay/large/x", length_field(0)));
        it.crowd(more_than_descriptors, {});
        check_bounds(it);
        it.leave();
    }
    CHECK(it.call("/pay/x", length_field(full_body), std::string(full_body, 'x')) == 200);
}

TEST_CASE("a single request of the largest allowed size is served in calm")
{
    crowded_instance it;
    const std::string body(full_body, 'x');
    CHECK(it.call("/pay/x", length_field(full_body), body) == 200);
    const std::size_t chunk = GENERATE(as<std::size_t>{}, 8, 64 * kilobyte);
    std::string chunks;
    for (std::size_t n = 0; n < full_body; n += chunk)
        chunks += net::write_chunk(std::string(chunk, 'x'));
    CHECK(it.call("/pay/x", chunked_field, chunks + net::write_chunk({})) == 200);
    check_bounds(it);
}
