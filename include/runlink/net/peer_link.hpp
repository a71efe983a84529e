/// \file
/// Messages between instances over ZeroMQ.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <QSocketNotifier>
#include <zmq.hpp>

#include "runlink/core/failure.hpp"
#include "runlink/core/peer_messages.hpp"

namespace runlink::net
{

/// Receives on one address and sends to any address. Delivery is best effort: a message is dropped if it
/// cannot be queued for the peer. Senders that need a reply must retry.
class peer_link
{
public:
    using handler = std::function<void(const core::peer_envelope&)>;

    explicit peer_link(handler on_message);

    /// Starts receiving on `address` (`host:port`). Fails with `settings_invalid` if it cannot be bound.
    core::result<void> bind(const std::string& address);
    /// Queues a message without blocking. A message that cannot be queued counts in `dropped_messages`.
    void send(const std::string& address, const core::peer_envelope& message);

    std::uint64_t sent_bytes() const { return sent_bytes_; }
    std::uint64_t received_bytes() const { return received_bytes_; }
    std::uint64_t sent_messages() const { return sent_messages_; }
    std::uint64_t dropped_messages() const { return dropped_messages_; }

private:
    zmq::socket_t& sender_for(const std::string& address);
    void receive_all();

    handler on_message_;
    zmq::context_t context_{1};
    zmq::socket_t receiver_;
    std::unique_ptr<QSocketNotifier> notifier_;
    std::map<std::string, zmq::socket_t> senders_;
    std::uint64_t sent_bytes_ = 0;
    std::uint64_t received_bytes_ = 0;
    std::uint64_t sent_messages_ = 0;
    std::uint64_t dropped_messages_ = 0;
};

} // namespace runlink::net
