/// \file
/// Test support: a gateway with its forwarder, and endpoints that answer with the bytes that a test gives,
/// all on real sockets in one event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include "runlink/gateway/gateway.hpp"
#include "support/raw_peer.hpp"
#include "support/wait_for.hpp"

namespace runlink::tests
{

/// Closes a connection with a TCP reset.
void reset(QTcpSocket& socket);

/// Accepts connections, reads the head of each request and then only what a test reads, so that the rest of a
/// long request stays unsent.
class scripted_endpoint
{
public:
    using script = std::function<void(QTcpSocket&)>;

    /// Calls `on_request` with the head of each request.
    explicit scripted_endpoint(script on_request);

    std::uint16_t port() const { return server_.serverPort(); }
    int requests = 0;

private:
    void accept_all();

    script on_request_;
    QTcpServer server_;
};

/// A gateway with one route, whose service has the endpoints that a test adds.
class served_gateway
{
public:
    explicit served_gateway(const routing::route& declared);

    void add_endpoint(const std::string& name, std::uint16_t port);
    /// Sends a request with a body of this size as a caller. The result is not waited for.
    std::unique_ptr<outcome> send(const std::string& id, std::size_t body_bytes,
                                  core::milliseconds deadline = core::seconds{8},
                                  const net::http_fields& more = {});
    /// The same, and waits for the result.
    outcome call(const std::string& id, std::size_t body_bytes, const net::http_fields& more = {});
    /// All log lines so far.
    std::string log() const;
    std::uint16_t port() const { return port_; }
    gateway::gateway& edge() { return gateway_; }

private:
    void tick();

    int log_fd_;
    observe::decision_log log_;
    observe::metrics metrics_;
    gateway::gateway gateway_;
    routing::request_forwarder forwarder_;
    std::uint16_t port_ = 0;
    QTimer timer_;
    net::connection_pool callers_;
};

/// The route `POST /x` of the host `h`.
routing::route route_of(routing::route_kind kind, std::uint32_t max_attempts);

/// The head of an endpoint's answer to a request, without the fields that tell the length of its body.
std::string answer_head(const std::string& request_id);

} // namespace runlink::tests
