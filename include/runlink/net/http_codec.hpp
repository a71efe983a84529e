/// \file
/// Incremental HTTP/1.1 request and response readers, and functions that serialize messages.
///
/// The readers wrap Boost.Beast's parser in callbacks and pass body bytes on as they arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/http_status.hpp"

namespace runlink::net
{

/// One header field. Name and value keep the spelling in which they were received.
struct http_field
{
    std::string name;
    std::string value;
};

/// Whether two header field names are equal, ignoring case.
bool same_name(std::string_view a, std::string_view b);

/// The header fields of one message, in the order in which they were added.
class http_fields
{
public:
    void add(std::string name, std::string value);
    /// Returns the value of the first field with this name, or null.
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether any field with this name contains `token` in its comma-separated list, ignoring case.
    bool has_token(std::string_view name, std::string_view token) const;

    auto begin() const { return all_.begin(); }
    auto end() const { return all_.end(); }
    /// Memory that the fields need, at most.
    std::size_t held_bytes() const { return held_bytes_; }

private:
    std::vector<http_field> all_;
    std::size_t held_bytes_ = 0;
};

/// Request line and header fields of a request.
struct http_request_head
{
    std::string method;
    std::string target;
    http_fields fields;
    bool keep_alive = true;
};

/// How the end of a response body is determined.
enum class body_framing
{
    length,
    chunked,
    until_close, ///< the body ends when the peer closes the connection without a reset
};

/// Status line and header fields of a response.
struct http_response_head
{
    core::http_status status = 500; ///< at the receiver, not interim
    std::string reason;
    http_fields fields;
    bool keep_alive = true;
    body_framing framing = body_framing::length;
};

/// The length of the body that `Content-Length` states; nothing without it.
std::optional<std::uint64_t> announced_length(const http_fields& it);

/// Why a reader rejected its input.
enum class codec_error
{
    none,
    malformed,
    invalid_status,   ///< the number in the status line is no status, or none that answers the request
    header_too_large, ///< all bytes of the message that are not its body; see `framing_limit`
    body_too_large,
};

/// Bounds what a message may hold besides its body: interim heads, its head, sizes and extensions of chunks,
/// and trailers. Chunks of one byte need five bytes more each, so the limit grows with the body.
class framing_limit
{
public:
    explicit framing_limit(std::size_t max_bytes) : max_bytes_{max_bytes} {}

    /// `consumed` bytes of the message were parsed, `body` of them as its body.
    void add(std::size_t consumed, std::uint64_t body);
    /// Whether the limit is exceeded if `unparsed` further bytes belong to the message's framing.
    bool is_exceeded(std::size_t unparsed) const;

private:
    std::size_t max_bytes_;
    std::uint64_t framing_bytes_ = 0;
    std::uint64_t body_bytes_ = 0;
};

/// What a response may hold besides its body, not counting the allowance for chunks.
inline constexpr std::size_t max_response_framing_bytes = 64 * 1024;

/// Size limits of one message.
struct codec_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
};

/// Parses the requests of one connection in sequence. After the end of a request, further bytes are buffered
/// and not parsed until `next` is called, so that pipelined requests are handled one at a time.
class http_request_reader
{
public:
    struct handlers
    {
        /// Called when the header is complete, before the body. Not called for malformed headers.
        std::function<void(const http_request_head&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> end;
    };

    explicit http_request_reader(handlers to);
    ~http_request_reader();

    void set_limits(const codec_limits& limits) { limits_ = limits; }
    /// Parses `bytes` and calls the handlers.
    codec_error feed(std::string_view bytes);
    /// Starts the next request, beginning with the bytes that are already buffered.
    codec_error next();
    /// Whether a request has been received in part.
    bool in_message() const;
    /// Memory of what is buffered and of the fields read so far.
    std::size_t held_bytes() const;
    /// Forgets what is buffered. The connection cannot be read on. Not to be called from a handler.
    void drop();

private:
    struct parser;
    codec_error run();

    handlers handlers_;
    codec_limits limits_;
    std::unique_ptr<parser> parser_;
    framing_limit framing_{limits_.max_header_bytes};
    std::string rest_;
    bool complete_ = false;
};

/// Parses the responses that arrive on one connection. Interim (1xx) responses are skipped. For each
/// response, `head` is called once, then `body` for each part of the body, then `end`; nothing is called
/// after an error.
class http_response_reader
{
public:
    struct handlers
    {
        std::function<void(const http_response_head&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> end;
    };

    explicit http_response_reader(handlers to);
    ~http_response_reader();

    /// An error is final: each later call returns it.
    codec_error feed(std::string_view bytes);
    /// Call when the peer has closed the connection without a reset. Completes a response whose body extends
    /// until the close.
    void finish_input();
    /// Whether a response has been received in part.
    bool in_message() const;

private:
    struct parser;
    codec_error run();

    handlers handlers_;
    std::unique_ptr<parser> parser_;
    framing_limit framing_{max_response_framing_bytes};
    std::string rest_;
    codec_error error_ = codec_error::none;
};

/// Serializes a request with its body. Line ends in its fields and its target become spaces. Adds
/// `Content-Length` when the body is not empty or the method is POST, PUT or PATCH.
std::string write_request(const http_request_head& head, std::string_view body);

/// Serializes the head of a response. `fields` must include the framing fields (`Content-Length` or
/// `Transfer-Encoding`).
std::string write_response_head(core::http_status status, std::string_view reason, const http_fields& fields);

/// Serializes a complete response and adds `Content-Length`.
std::string write_response(core::http_status status, http_fields fields, std::string_view body);

/// Serializes one chunk of a chunked body. Empty `bytes` give the final chunk.
std::string write_chunk(std::string_view bytes);

/// The standard reason phrase of a status code.
std::string_view reason_of(core::http_status status);

/// Whether a proxy must not forward this field, because it is hop-by-hop or sets the body length.
bool is_hop_by_hop(std::string_view name, const http_fields& fields);

} // namespace runlink::net
