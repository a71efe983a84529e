/// \file
/// Checks the framing and the size of HTTP/1.1 requests as their bytes arrive.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace runlink::net
{

/// Limits on sizes, connections and timeouts of an HTTP server.
struct http_bounds
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    std::size_t max_unsent_bytes =
        8 * 1024 * 1024; ///< response bytes buffered for a client that reads slowly
    int max_connections = 4096;
    int header_timeout_ms = 10000;
    int body_timeout_ms = 30000;
    int idle_timeout_ms = 75000;
};

/// HTTP status and reason with which a request is refused.
struct framing_refusal
{
    int status = 400;
    const char* reason = "";
};

/// Tracks the request framing of one connection. Buffers no more than the header.
class http_framing
{
public:
    enum class state
    {
        idle,
        header,
        body,
        running,
    };

    explicit http_framing(const http_bounds& bounds) : bounds_{bounds} {}

    /// Processes received bytes. Refuses bytes that follow a request whose response has not ended.
    std::optional<framing_refusal> on_bytes(std::string_view bytes);
    /// Call when the response has ended, to accept the next request.
    void on_answered();
    state current_state() const { return state_; }

private:
    std::optional<framing_refusal> on_header_end();

    http_bounds bounds_;
    state state_ = state::idle;
    std::string header_;
    std::uint64_t body_bytes_left_ = 0;
};

} // namespace runlink::net
