/// \file
/// An outgoing connection to an endpoint, directly or carried by another instance.
#pragma once

#include <optional>
#include <string_view>

#include "runlink/net/carry_frames.hpp"
#include "runlink/net/endpoint_path.hpp"
#include "runlink/net/tcp_stream.hpp"

namespace runlink::net
{

/// Reports the endpoint's bytes and its end to the handlers, whichever way the connection takes.
class path_stream
{
public:
    explicit path_stream(tcp_stream::handlers to);

    /// See `tcp_stream::connect`. A carried connection counts as connected once the endpoint has accepted it.
    bool connect(const endpoint_path& to);
    bool finish_connect();
    void write(std::string_view bytes) { stream_.write(bytes); }
    void abort();
    bool is_open() const { return is_open_ && stream_.is_open(); }
    /// Whether the endpoint refused the last attempt to connect.
    bool was_refused() const { return was_refused_ || (!is_carried_ && stream_.was_refused()); }
    /// Whether the last attempt to connect ended at the carrier: the endpoint may be reachable.
    bool has_carrier_failed() const { return is_carried_ && !is_verdict_known_; }
    std::optional<core::milliseconds> silence_timeout() const { return stream_.silence_timeout(); }
    /// See `tcp_stream::error`. Of a carried connection, the error on the way to its carrier.
    std::error_code error() const { return stream_.error(); }
    void set_silence_timeout(core::milliseconds timeout) { stream_.set_silence_timeout(timeout); }

private:
    void on_connected();
    void on_bytes(std::string_view bytes);
    void on_ended(stream_end how);
    void on_frame(const carry_frame_reader::frame& it);
    /// Closes the connection and reports its end.
    void end(stream_end how);

    tcp_stream::handlers handlers_;
    tcp_stream stream_;
    carry_frame_reader reader_;
    carry_opening opening_;
    bool is_carried_ = false;
    bool is_open_ = false;
    bool is_verdict_known_ = false; ///< the carrier has told whether the endpoint accepts the connection
    bool was_refused_ = false;
    unsigned connection_ = 0; ///< counts the attempts to connect and their ends
};

} // namespace runlink::net
