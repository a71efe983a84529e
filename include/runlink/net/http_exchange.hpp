/// \file
/// Calls over kept connections: one request at a time on each, and a pool of them for each peer.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QTimer>

#include "runlink/core/contact.hpp"
#include "runlink/core/units.hpp"
#include "runlink/net/http_codec.hpp"
#include "runlink/net/tcp_stream.hpp"

namespace runlink::net
{

/// An IP number and a port.
struct peer_address
{
    std::string host;
    std::uint16_t port = 0;

    std::string str() const { return host + ":" + std::to_string(port); }
    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

/// Why an exchange ended without a whole answer.
enum class exchange_failure
{
    not_connected, ///< the connection did not come up; no byte of the request was sent
    withheld,      ///< `may_send` said no; no byte of the request was sent
    reset,         ///< the connection broke after bytes may have been sent
    closed,        ///< the peer closed in order before its answer was whole
    malformed,     ///< the peer sent bytes that are no answer
};

/// The public name of a failure, for logs.
std::string_view to_string(exchange_failure it);

/// What happens to an exchange. After `end` or `failed` nothing more is called.
struct exchange_hooks
{
    /// The connection has come up: whether the request may still leave. Optional.
    std::function<bool()> may_send;
    std::function<void()> sent; ///< the connection is up; bytes leave from now on
    std::function<void(const http_response_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> end;
    std::function<void(exchange_failure)> failed;
    /// Whether an answer belongs to this request. One that does not is read and dropped. Optional.
    std::function<bool(const http_response_head&)> is_due;
};

/// How an exchange gets its connection.
struct exchange_options
{
    /// Above the way and back also where a slow link is full, below the second after which a lost packet is
    /// sent again.
    core::milliseconds connect_timeout{250};
    /// Kept connections that have rested for longer are not used.
    core::milliseconds max_rest{1000};
    /// The kernel gives the connection up when the peer acknowledges nothing for this long.
    core::milliseconds silence_timeout{3000};
};

/// One connection to a peer.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    explicit client_connection(peer_address peer);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Only connects.
    void open(core::milliseconds timeout, std::function<void(core::contact)> to);
    void start(std::string request, const exchange_options& options, exchange_hooks hooks);
    /// Drops the exchange and the connection; no hook is called.
    void abandon();
    /// Whether it may carry another request after `rest` without one.
    bool is_reusable(core::time_point now, core::milliseconds max_rest) const;
    /// Closes the connection without telling anybody.
    void detach();
    const peer_address& peer() const { return peer_; }

    /// Called when an exchange is over, before its last hook; the connection may be reusable or not.
    std::function<void()> on_free = [] {};
    /// Called when the connection became useless while no exchange was under way.
    std::function<void()> on_idle_lost = [] {};

private:
    void on_connected();
    void on_bytes(std::string_view bytes);
    void on_ended(stream_end how);
    void finish();
    void on_head(const http_response_head& it);
    void on_end();
    void fail(exchange_failure why);

    peer_address peer_;
    tcp_stream stream_;
    QTimer connect_timer_;
    http_response_reader reader_;
    std::unique_ptr<exchange_hooks> hooks_;
    std::unique_ptr<exchange_hooks> spent_hooks_; ///< of an exchange that was abandoned
    std::function<void(core::contact)> asked_;
    std::string request_;
    core::milliseconds silence_timeout_{};
    core::time_point rested_since_{};
    core::milliseconds keep_alive_{}; ///< what the peer allows an idle connection
    bool reusable_ = true;
    bool skipping_ = false; ///< the answer under way is not the one that is due
    bool ended_ = false;    ///< the answer that is due is whole
};

using exchange = std::weak_ptr<client_connection>;

/// Kept connections by peer.
class connection_pool
{
public:
    /// Counters of the pool.
    struct counters
    {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
    };

    connection_pool();

    exchange send(const peer_address& peer, std::string request, const exchange_options& options,
                  exchange_hooks hooks);
    /// Opens a connection and keeps it for the next request; tells what became of it.
    void ask(const peer_address& peer, core::milliseconds timeout, std::function<void(core::contact)> to);
    /// Closes the connections to a peer that rest: another process may listen there now.
    void forget_idle(const peer_address& peer);
    const counters& totals() const { return counters_; }
    std::size_t busy_count() const { return busy_.size(); }

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr take_idle(const peer_address& peer, core::milliseconds max_rest);
    connection_ptr open(const peer_address& peer);
    void on_free(const client_connection* it);
    void on_idle_lost(const client_connection* it);
    /// Destroys the connection later: its socket may be emitting a signal now.
    void retire(connection_ptr it);

    std::map<peer_address, std::vector<connection_ptr>> idle_;
    std::map<const client_connection*, connection_ptr> busy_;
    std::vector<connection_ptr> retired_;
    QTimer sweep_timer_;
    counters counters_;
};

} // namespace runlink::net
