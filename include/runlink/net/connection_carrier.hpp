/// \file
/// Carries connections of other instances to endpoints. See `carry_frames.hpp` for the protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "runlink/core/failure.hpp"
#include "runlink/core/units.hpp"
#include "runlink/net/carry_frames.hpp"
#include "runlink/net/endpoint_path.hpp"
#include "runlink/net/tcp_stream.hpp"

namespace runlink::net
{

/// Timeouts and limits of a `connection_carrier`.
struct carrier_limits
{
    std::size_t max_connections = 512;
    /// Bytes of an endpoint that wait for a slow instance; its connection is reset above that.
    std::size_t max_unsent_bytes = 4 * 1024 * 1024;
    core::milliseconds opening_timeout{1000};
    core::milliseconds connect_timeout{250};
    /// After its last frame a connection is closed when the instance has taken no bytes for this long.
    core::milliseconds closing_timeout{3000};
    /// The kernel drops a connection when the peer acknowledges nothing for this long.
    core::milliseconds silence_timeout{3000};
};

/// Event counters of a `connection_carrier`.
struct carrier_counters
{
    std::uint64_t carried = 0;  ///< connections that an endpoint accepted
    std::uint64_t rejected = 0; ///< connections that were not carried
    std::uint64_t unreached = 0;
    std::uint64_t bytes = 0; ///< from endpoints
};

/// Accepts connections of other instances and connects each to the endpoint that it names. When one side
/// ends, the other one is closed, so that an endpoint learns at once that the caller has left.
class connection_carrier
{
public:
    /// Returns the address to connect to, or nothing if the connection is not to be carried.
    using admission = std::function<std::optional<peer_address>(const carry_opening&)>;

    connection_carrier(carrier_limits limits, admission admit);
    ~connection_carrier();
    connection_carrier(const connection_carrier&) = delete;
    connection_carrier& operator=(const connection_carrier&) = delete;

    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);
    std::size_t connection_count() const { return connections_.size(); }
    bool has_room() const { return connections_.size() < limits_.max_connections; }
    const carrier_counters& counters() const { return counters_; }

private:
    struct connection
    {
        std::unique_ptr<QTcpSocket> instance;
        std::unique_ptr<tcp_stream> endpoint;
        std::unique_ptr<QTimer> timer; ///< bounds the opening, the attempt to connect, and the closing
        std::string opening;
        bool is_open = false;     ///< the endpoint has accepted the connection
        bool is_finished = false; ///< the last frame has been written
    };
    using connection_ptr = std::shared_ptr<connection>;

    void accept_all();
    void on_instance_bytes(const connection_ptr& it);
    /// Connects to the endpoint once the opening line is complete.
    void read_opening_line(const connection_ptr& it);
    void connect_to(const connection_ptr& it, const peer_address& address);
    void on_endpoint_connected(const connection_ptr& it);
    void on_endpoint_bytes(const connection_ptr& it, std::string_view bytes);
    void on_endpoint_ended(const connection_ptr& it, stream_end how);
    /// Sends a last frame. The instance then closes the connection, if it was established: a close with
    /// received bytes unread resets it, and the bytes that wait would be lost.
    void finish(const connection_ptr& it, carry_frame type);
    void on_timeout(const connection_ptr& it);
    void reject(const connection_ptr& it);
    /// Closes both sides. The event loop destroys them later, because one of them may be emitting a signal.
    void drop(const connection_ptr& it);

    carrier_limits limits_;
    admission admit_;
    QTcpServer server_;
    std::map<const connection*, connection_ptr> connections_;
    std::vector<connection_ptr> retired_;
    QTimer sweep_timer_;
    carrier_counters counters_;
};

} // namespace runlink::net
