/// \file
/// A test caller that reuses its connection for many requests and reads responses incrementally.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <QTcpSocket>
#include <QTimer>

#include "runlink/net/event_reader.hpp"
#include "runlink/net/http_codec.hpp"
#include "soak/promise_checker.hpp"

namespace runlink::soak
{

/// A request that a caller sends.
struct call
{
    std::string id;
    std::string path;
    std::string key;
    std::string body;         ///< if empty, the caller sends a default body derived from `id`
    std::string prompt;       ///< the parts of its prompt; empty without
    bool picks_model = false; ///< the router may choose the model
    milliseconds deadline{3000};
    /// Time after which the caller closes its connection; 0 means that it waits until its deadline.
    milliseconds close_after{};
};

/// Sends one request at a time. Reuses the open connection, or connects if there is none.
class caller
{
public:
    using done_handler = std::function<void(const caller_outcome&)>;

    explicit caller(std::uint16_t port);
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    bool is_busy() const { return static_cast<bool>(done_); }
    void start(const call& it, done_handler done);

private:
    void connect();
    void on_connected();
    void on_readable();
    void on_connection_error();
    void finish();

    std::uint16_t port_;
    std::unique_ptr<QTcpSocket> socket_;
    std::unique_ptr<net::http_response_reader> reader_;
    std::unique_ptr<net::event_reader> events_;
    std::string request_;
    caller_outcome outcome_;
    done_handler done_;
    QTimer deadline_;
    QTimer leave_timer_;
    bool keep_alive_ = true;
};

} // namespace runlink::soak
