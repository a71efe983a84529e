/// \file
/// HTTP/1.1 messages as bytes: incremental readers for both directions, and writers.
///
/// The readers are Boost.Beast's parser behind plain callbacks. Bytes of a body are handed on as they arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace runlink::net
{

/// One header field, spelled as it was received.
struct http_field
{
    std::string name;
    std::string value;
};

/// Whether two header names are the same; case does not count.
bool same_name(std::string_view a, std::string_view b);

/// The header fields of one message, in order.
class http_fields
{
public:
    void add(std::string name, std::string value) { all_.push_back({std::move(name), std::move(value)}); }
    /// The first field of that name, or null.
    const std::string* find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether a comma-separated field holds the token; case does not count.
    bool has_token(std::string_view name, std::string_view token) const;

    auto begin() const { return all_.begin(); }
    auto end() const { return all_.end(); }

private:
    std::vector<http_field> all_;
};

/// The head of a request.
struct http_request_head
{
    std::string method;
    std::string target;
    http_fields fields;
    bool keep_alive = true;
};

/// How the end of a body is told.
enum class body_framing
{
    length,
    chunked,
    until_close, ///< it ends when the connection is closed in order
};

/// The head of an answer.
struct http_response_head
{
    int status = 0;
    std::string reason;
    http_fields fields;
    bool keep_alive = true;
    body_framing framing = body_framing::length;
};

/// Why bytes were refused.
enum class codec_error
{
    none,
    malformed,
    header_too_large,
    body_too_large,
};

/// Bounds on one message.
struct codec_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
};

/// Reads requests, one after another. After a request's end it takes no more bytes until `next`, so that a
/// caller that pipelines waits.
class http_request_reader
{
public:
    struct handlers
    {
        /// The head is whole; the body follows. Not called for malformed heads.
        std::function<void(const http_request_head&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> end;
    };

    explicit http_request_reader(handlers to);
    ~http_request_reader();

    void set_limits(const codec_limits& limits) { limits_ = limits; }
    /// Takes bytes and calls the handlers.
    codec_error feed(std::string_view bytes);
    /// Begins the next request with the bytes that are left over.
    codec_error next();
    /// Whether bytes of a request have arrived that is not whole yet.
    bool in_message() const;

private:
    struct parser;
    codec_error run();

    handlers handlers_;
    codec_limits limits_;
    std::unique_ptr<parser> parser_;
    std::string rest_;
    bool complete_ = false;
};

/// Reads the answers that arrive on one connection. Interim (1xx) answers are passed over.
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

    codec_error feed(std::string_view bytes);
    /// The peer closed the connection in order: an answer without a length is whole now.
    void finish_input();
    /// Whether a part of an answer has arrived.
    bool in_message() const;

private:
    struct parser;
    codec_error run();

    handlers handlers_;
    codec_limits limits_;
    std::unique_ptr<parser> parser_;
    std::string rest_;
};

/// The head of a request as bytes, with a length when there is a body.
std::string write_request(const http_request_head& head, std::string_view body);

/// The head of an answer as bytes; framing fields must be among the fields.
std::string write_response_head(int status, std::string_view reason, const http_fields& fields);

/// A whole answer with its length.
std::string write_response(int status, http_fields fields, std::string_view body);

/// One chunk of a chunked body; the last one is empty.
std::string write_chunk(std::string_view bytes);

/// The standard reason phrase of a status.
std::string_view reason_of(int status);

/// Whether a field concerns one connection only and is not forwarded.
bool is_hop_by_hop(std::string_view name, const http_fields& fields);

} // namespace runlink::net
