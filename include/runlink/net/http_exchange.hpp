/// \file
/// HTTP client with persistent connections: one request at a time per connection, and a connection pool that
/// keeps idle connections for each peer.
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
#include "runlink/net/path_stream.hpp"

namespace runlink::net
{

/// Why an exchange ended without a complete response.
enum class exchange_failure
{
    not_connected,     ///< the connection was not established; no byte of the request was sent
    not_carried,       ///< as above, because of the instance that was to carry the connection
    withheld,          ///< `may_send` returned false; no byte of the request was sent
    reset,             ///< the connection failed after request bytes may have been sent
    closed,            ///< the peer closed the connection without a reset before its response was complete
    malformed,         ///< the peer sent bytes that are not a valid HTTP response
    invalid_status,    ///< the response has a number that is no status; see `codec_error`
    head_too_large,    ///< the response has too many bytes besides its body; see `framing_limit`
    surplus_too_large, ///< too many bytes of responses that are not due came before the one that is
};

/// Bytes of responses that are not due, after which the one that is due is no longer waited for.
inline constexpr std::size_t max_surplus_bytes = 1024 * 1024;

/// Name of the failure, as written to logs.
std::string_view to_string(exchange_failure it);

/// Callbacks of one exchange. No callback follows `end` or `failed`.
struct exchange_hooks
{
    /// Optional. Called when a new connection is established; false cancels the request before it is sent.
    std::function<bool()> may_send;
    std::function<void()> sent; ///< the request was handed to an established connection
    std::function<void(const http_response_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> end;
    std::function<void(exchange_failure)> failed;
    /// Optional. Whether a response belongs to this request. One that does not is read and discarded.
    std::function<bool(const http_response_head&)> is_due;
};

/// Connection timeouts of an exchange.
struct exchange_options
{
    /// Longer than the round-trip time of a saturated slow link, and shorter than the 1 s after which a lost
    /// packet is retransmitted.
    core::milliseconds connect_timeout{250};
    /// The same for a connection that another instance carries, which connects to the endpoint in turn.
    core::milliseconds carried_connect_timeout{600};
    /// Connections that have been idle for this long are not reused.
    core::milliseconds max_rest{1000};
    /// The kernel drops the connection when the peer acknowledges nothing for this long.
    core::milliseconds silence_timeout{3000};
};

/// One connection to a peer.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    explicit client_connection(endpoint_path path);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Connects without sending a request and reports the result to `to`.
    void open(core::milliseconds timeout, std::function<void(core::contact)> to);
    void start(std::string request, const exchange_options& options, exchange_hooks hooks);
    /// Cancels the exchange and closes the connection without calling any hook.
    void abandon();
    /// Whether the connection can carry another request: it is open and has been idle for less than
    /// `max_rest` and half of the peer's keep-alive time.
    bool is_reusable(core::time_point now, core::milliseconds max_rest) const;
    /// Closes the connection without calling any hook.
    void detach();
    const endpoint_path& path() const { return path_; }
    /// See `tcp_stream::silence_timeout`.
    std::optional<core::milliseconds> silence_timeout() const { return stream_.silence_timeout(); }
    /// See `path_stream::error`.
    std::error_code error() const { return stream_.error(); }

    /// Called when an exchange or `open` has ended, before its last callback, whether or not the connection
    /// is reusable.
    std::function<void()> on_free = [] {};
    /// Called when the connection becomes unusable while no exchange is in progress.
    std::function<void()> on_idle_lost = [] {};

private:
    void on_connected();
    void on_bytes(std::string_view bytes);
    void on_ended(stream_end how);
    void finish();
    void on_head(const http_response_head& it);
    void on_end();
    /// Whether no more than the allowed surplus bytes come before the response that is due, as far as is
    /// known.
    bool is_surplus_bounded(const http_response_head& surplus) const;
    void fail(exchange_failure why);
    exchange_failure not_connected_failure() const;

    endpoint_path path_;
    path_stream stream_;
    QTimer connect_timer_;
    http_response_reader reader_;
    std::unique_ptr<exchange_hooks> hooks_;
    /// Hooks of an abandoned exchange, kept because one of them may still be running.
    std::unique_ptr<exchange_hooks> abandoned_hooks_;
    std::function<void(core::contact)> on_open_result_;
    std::string request_;
    core::milliseconds silence_timeout_ = exchange_options{}.silence_timeout;
    core::time_point idle_since_{};
    core::milliseconds peer_keep_alive_{}; ///< how long the peer keeps an idle connection open
    bool reusable_ = true;
    bool skipping_response_ = false; ///< the response being read belongs to another request
    bool has_head_ = false;          ///< the head of the response that is due has been read
    std::size_t surplus_bytes_ = 0;  ///< received since the request was sent, before that head
    bool response_complete_ = false; ///< the response to the current request is complete
};

using exchange = std::weak_ptr<client_connection>;

/// Pool of persistent connections, grouped by the path to the peer.
class connection_pool
{
public:
    /// Number of connections opened and of requests sent on a reused connection.
    struct counters
    {
        std::uint64_t opened = 0;
        std::uint64_t reused = 0;
    };

    connection_pool();

    exchange send(const endpoint_path& path, std::string request, const exchange_options& options,
                  exchange_hooks hooks);
    /// Opens a connection, keeps it for the next request and reports the result to `to`.
    void ask(const endpoint_path& path, core::milliseconds timeout, std::function<void(core::contact)> to);
    /// Closes the idle connections to a peer, for when another process may be listening at its address, or
    /// its connections may be dead.
    void forget_idle(const peer_address& peer);
    /// Closes the idle connections that are carried by way of this address.
    void forget_carried(const peer_address& carrier);
    const counters& totals() const { return counters_; }
    std::size_t busy_count() const { return busy_.size(); }

private:
    using connection_ptr = std::shared_ptr<client_connection>;
    using idle_map = std::map<endpoint_path, std::vector<connection_ptr>>;

    connection_ptr take_idle(const endpoint_path& path, core::milliseconds max_rest);
    connection_ptr open(const endpoint_path& path);
    /// Closes the connections of one path and returns the next.
    idle_map::iterator forget(idle_map::iterator it);
    void on_free(const client_connection* it);
    void on_idle_lost(const client_connection* it);
    /// Closes the connection and destroys it from the event loop, because its socket may be emitting a
    /// signal.
    void retire(connection_ptr it);

    idle_map idle_;
    std::map<const client_connection*, connection_ptr> busy_;
    std::vector<connection_ptr> retired_;
    QTimer sweep_timer_;
    counters counters_;
};

} // namespace runlink::net
