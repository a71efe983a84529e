#include "runlink/net/peer_link.hpp"

#include "runlink/proto/codec.hpp"

namespace runlink::net
{
namespace
{

constexpr int max_queued_messages = 1000;
constexpr int heartbeat_interval_ms = 1000;
constexpr int heartbeat_timeout_ms = 3000;
constexpr std::int64_t max_message_bytes = 8 * 1024 * 1024;

} // namespace

peer_link::peer_link(handler on_message)
    : on_message_{std::move(on_message)}, receiver_{context_, zmq::socket_type::pull}
{
    receiver_.set(zmq::sockopt::linger, 0);
    receiver_.set(zmq::sockopt::rcvhwm, max_queued_messages);
    receiver_.set(zmq::sockopt::maxmsgsize, max_message_bytes);
}

core::result<void> peer_link::bind(const std::string& address)
{
    try
    {
        receiver_.bind("tcp://" + address);
    }
    catch (const zmq::error_t& e)
    {
        return core::failure{core::errc::settings_invalid, address + ": " + e.what()};
    }
    const auto fd = receiver_.get(zmq::sockopt::fd);
    notifier_ = std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                     [this] { receive_all(); });
    receive_all();
    return boost::outcome_v2::success();
}

void peer_link::receive_all()
{
    // The ZeroMQ descriptor is edge-triggered: read until the queue is empty, or no further event follows.
    zmq::message_t message;
    while (receiver_.recv(message, zmq::recv_flags::dontwait))
    {
        received_bytes_ += message.size();
        const auto envelope = proto::decode(message.to_string_view());
        if (envelope)
            on_message_(envelope.value());
    }
}

zmq::socket_t& peer_link::sender_for(const std::string& address)
{
    const auto found = senders_.find(address);
    if (found != senders_.end())
        return found->second;
    zmq::socket_t it{context_, zmq::socket_type::push};
    it.set(zmq::sockopt::linger, 0);
    it.set(zmq::sockopt::sndhwm, max_queued_messages);
    it.set(zmq::sockopt::immediate, true);
    it.set(zmq::sockopt::heartbeat_ivl, heartbeat_interval_ms);
    it.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    it.connect("tcp://" + address);
    return senders_.emplace(address, std::move(it)).first->second;
}

void peer_link::send(const std::string& address, const core::peer_envelope& message)
{
    const auto bytes = proto::encode(message);
    try
    {
        auto& socket = sender_for(address);
        if (!socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
        {
            ++dropped_messages_;
            return;
        }
        sent_bytes_ += bytes.size();
        ++sent_messages_;
    }
    catch (const zmq::error_t&)
    {
        ++dropped_messages_;
    }
}

} // namespace runlink::net
