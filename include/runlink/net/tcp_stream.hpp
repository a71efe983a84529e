/// \file
/// An outgoing TCP connection on Qt's event loop.
///
/// QTcpSocket does not distinguish a reset connection from one that the peer closed in order, but a response
/// without a length is complete only in the second case. This class reports the two separately.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include <QSocketNotifier>

#include "runlink/core/units.hpp"

namespace runlink::net
{

/// How a connection ended.
enum class stream_end
{
    not_connected,
    closed, ///< the peer closed the connection in order (FIN)
    reset,  ///< any other end of an established connection
};

/// Makes the kernel drop a connection when the peer acknowledges neither sent bytes nor keep-alive probes for
/// this long.
void set_silence_timeout(int fd, core::milliseconds timeout);

/// Owns one socket. Handlers are called from the event loop; only `finish_connect` may call them directly.
class tcp_stream
{
public:
    struct handlers
    {
        std::function<void()> connected;
        std::function<void(std::string_view)> bytes;
        /// Called once; never after `abort`.
        std::function<void(stream_end)> ended;
    };

    explicit tcp_stream(handlers to) : handlers_{std::move(to)} {}
    ~tcp_stream() { abort(); }
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Starts to connect to an IPv4 address. Returns false if this fails at once; no handler is called then.
    bool connect(const std::string& host, std::uint16_t port);
    /// Completes a pending attempt to connect without waiting for the event loop, which may be late in a
    /// stalled process. Returns false if the attempt failed or is still pending.
    bool finish_connect();
    /// Sends bytes at once, or buffers them until the socket is writable.
    void write(std::string_view bytes);
    /// Closes the connection at once; no handler is called any more.
    void abort();
    /// Whether the last attempt to connect was refused: the host is reachable, but nothing listens on the
    /// port.
    bool was_refused() const { return was_refused_; }
    /// Whether the connection is established and no call on the socket has failed.
    bool is_open() const { return fd_ >= 0 && connected_ && error_ == 0; }
    /// Bytes that the socket has not taken yet.
    std::size_t unsent_bytes() const { return unsent_.size(); }
    /// The first error that a call on the socket returned since `connect`. The kernel reports an error only
    /// once, to whichever call comes first.
    std::error_code error() const { return {error_, std::generic_category()}; }
    /// See the function of this name. A connection may die without a reset, also while this side only waits
    /// for a response.
    void set_silence_timeout(core::milliseconds timeout) { net::set_silence_timeout(fd_, timeout); }
    /// The timeout set in the kernel; nothing if keep-alive probes are off.
    std::optional<core::milliseconds> silence_timeout() const;

private:
    void on_writable();
    /// Reads and clears the pending socket error; returns whether the attempt to connect succeeded.
    bool read_connect_result();
    void on_readable();
    void flush();
    /// Whether the peer had closed the connection in order, once no received bytes are left to read.
    bool ended_in_order() const;
    /// Keeps the first error of a connection.
    void note_error(int error);
    void end(stream_end how);

    handlers handlers_;
    int fd_ = -1;
    int error_ = 0; ///< an `errno` value
    bool connected_ = false;
    bool was_refused_ = false;
    std::string unsent_;
    std::unique_ptr<QSocketNotifier> readable_;
    std::unique_ptr<QSocketNotifier> writable_;
    /// Set to true when the object is destroyed or aborted while a handler runs.
    std::shared_ptr<bool> invalidated_ = std::make_shared<bool>(false);
};

} // namespace runlink::net
