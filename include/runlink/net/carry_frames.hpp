/// \file
/// The protocol of a carried connection.
///
/// The instance that opens it sends one line, `TICKET ENDPOINT\n`, and after the frame `connected` the bytes
/// for the endpoint as they are. In the other direction go frames: a type in one byte, a length in four (big
/// endian) and that many bytes. The instance closes the connection after the frame that reports its end; an
/// end without such a frame means that the connection was broken. An answer without a length is complete only
/// if the endpoint itself closed its connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace runlink::net
{

enum class carry_frame : std::uint8_t
{
    connected = 1, ///< the endpoint accepted the connection
    refused = 2,   ///< the endpoint refused the connection
    silent = 3,    ///< the endpoint did not answer
    /// The connection is not carried: wrong ticket, unknown endpoint, or no room. After `connected`: the
    /// connection to the endpoint was broken.
    rejected = 4,
    data = 5,   ///< bytes of the endpoint
    closed = 6, ///< the endpoint closed the connection in order
};

/// What the instance that opens a connection sends first.
struct carry_opening
{
    std::string ticket;
    std::string endpoint;

    friend bool operator==(const carry_opening&, const carry_opening&) = default;
};

/// Longest opening line in bytes.
inline constexpr std::size_t max_opening_bytes = 512;

std::string write_opening(const carry_opening& it);
/// Reads the line without its end; nothing if it is malformed.
std::optional<carry_opening> read_opening(std::string_view line);
std::string write_frame(carry_frame type, std::string_view bytes = {});

/// Whether the two are equal. The time taken depends on their lengths only.
bool is_same_ticket(std::string_view a, std::string_view b);

/// Splits received bytes into frames.
class carry_frame_reader
{
public:
    /// Adds received bytes.
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    struct frame
    {
        carry_frame type{};
        std::string bytes;
    };
    /// Removes and returns the next frame; of a `data` frame as much as has arrived. Nothing if more bytes
    /// are needed, or after a malformed frame.
    std::optional<frame> next();
    bool is_malformed() const { return is_malformed_; }

private:
    std::string buffer_;
    std::size_t data_left_ = 0; ///< bytes of the current `data` frame that have not been returned
    bool is_malformed_ = false;
};

} // namespace runlink::net
