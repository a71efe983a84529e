/// \file
/// Test support: one instance as a real process, and a crowd of callers that send what a test gives.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <QProcess>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <QTimer>
#include <nlohmann/json.hpp>

#include "kv_standin.hpp"
#include "runlink/net/http_listener.hpp"

namespace runlink::tests
{

/// What each caller of a crowd sends: `head`, then `piece` until `total_bytes` of pieces are sent, then
/// `tail`. The connection stays open, and nothing that arrives is read.
struct crowd_script
{
    std::function<std::string()> head = [] { return std::string{}; };
    std::string piece;
    std::size_t total_bytes = 0;
};

/// One caller of a crowd.
class crowd_caller
{
public:
    crowd_caller(std::uint16_t port, const crowd_script& script);

    bool is_open() const { return socket_.state() == QAbstractSocket::ConnectedState; }
    /// Bytes handed to the kernel so far.
    std::size_t sent_bytes() const { return sent_; }

private:
    void send_more();

    const crowd_script& script_;
    QTcpSocket socket_;
    std::size_t pieces_sent_ = 0;
    std::size_t sent_ = 0;
};

/// Limits of the instance under test.
struct crowded_limits
{
    std::uint32_t memory_mb = 96;
    std::uint32_t descriptors = 256;
};

/// The largest values of what the instance has used.
struct usage_peak
{
    std::size_t memory_bytes = 0; ///< resident
    std::size_t unread_bytes = 0; ///< of callers' connections, in the kernel's queues
    std::size_t descriptors = 0;
};

/// An instance with a store and one endpoint. Requests below `/pay/` go to the endpoint, which answers those
/// below `/pay/hang/` never and those below `/pay/large/` with `large_answer_bytes`.
class crowded_instance
{
public:
    static constexpr std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    static constexpr std::size_t large_answer_bytes = 4 * 1024 * 1024;

    explicit crowded_instance(crowded_limits limits = {});
    ~crowded_instance();

    /// Starts `count` callers and waits until none of all makes progress any more.
    void crowd(std::size_t count, const crowd_script& script);
    /// All callers close their connections.
    void leave() { callers_.clear(); }
    /// Sends one request on a connection of its own and returns its status, or 0 if the connection ends or
    /// nothing is answered.
    int call(const std::string& path, const std::string& framing_field, const std::string& framed_body);
    /// The same for a small body.
    int call_ordinary();

    /// The request line and the fields of a request, without the empty line that ends them.
    std::string head(const std::string& path) const;
    bool is_running() const { return process_.state() == QProcess::Running; }
    const crowded_limits& limits() const { return limits_; }
    const usage_peak& peak() const { return peak_; }

private:
    void write_configuration();
    void write_settings() const;
    void start();
    void answer(const std::shared_ptr<net::caller_connection>& to, const net::http_request_head& head);
    void sample();
    std::size_t bytes_sent() const;

    crowded_limits limits_;
    QTemporaryDir directory_;
    standins::kv_standin store_;
    std::uint16_t store_port_;
    net::http_listener endpoint_;
    std::uint16_t endpoint_port_ = 0;
    std::uint16_t port_ = 0;
    std::uint16_t readiness_port_ = 0;
    std::uint16_t peer_port_ = 0;
    QProcess process_;
    QTimer sampler_;
    usage_peak peak_;
    std::deque<crowd_script> scripts_; ///< that the callers refer to
    std::vector<std::unique_ptr<crowd_caller>> callers_;
    mutable int next_request_ = 1;
};

} // namespace runlink::tests
