#include "runlink/net/path_stream.hpp"

#include <utility>

namespace runlink::net
{

path_stream::path_stream(tcp_stream::handlers to)
    : handlers_{std::move(to)}, stream_{{[this] { on_connected(); },
                                         [this](std::string_view it) { on_bytes(it); },
                                         [this](stream_end it) { on_ended(it); }}}
{
}

bool path_stream::connect(const endpoint_path& to)
{
    ++connection_;
    reader_ = {};
    is_open_ = false;
    is_verdict_known_ = false;
    was_refused_ = false;
    is_carried_ = to.via.has_value();
    const auto& address = is_carried_ ? to.via->address : to.endpoint;
    if (is_carried_)
        opening_ = {to.via->ticket, to.via->endpoint};
    return stream_.connect(address.host, address.port);
}

bool path_stream::finish_connect()
{
    // Only the carrier knows whether the endpoint has accepted a carried connection.
    return stream_.finish_connect() && !is_carried_;
}

void path_stream::abort()
{
    ++connection_;
    is_open_ = false;
    stream_.abort();
}

void path_stream::on_connected()
{
    if (is_carried_)
        return stream_.write(write_opening(opening_));
    is_open_ = true;
    handlers_.connected();
}

void path_stream::on_bytes(std::string_view bytes)
{
    if (!is_carried_)
        return handlers_.bytes(bytes);
    reader_.feed(bytes);
    const auto connection = connection_;
    while (connection == connection_)
    {
        const auto frame = reader_.next();
        if (!frame)
            break;
        on_frame(*frame);
    }
    if (connection == connection_ && reader_.is_malformed())
        end(is_open_ ? stream_end::reset : stream_end::not_connected);
}

void path_stream::on_frame(const carry_frame_reader::frame& it)
{
    const bool is_connected = is_open_;
    switch (it.type)
    {
    case carry_frame::connected:
        is_verdict_known_ = true;
        is_open_ = true;
        return handlers_.connected();
    case carry_frame::refused:
    case carry_frame::silent:
        is_verdict_known_ = true;
        was_refused_ = it.type == carry_frame::refused;
        return end(stream_end::not_connected);
    case carry_frame::rejected: return end(is_connected ? stream_end::reset : stream_end::not_connected);
    case carry_frame::data:
        if (!is_connected)
            return end(stream_end::not_connected);
        return handlers_.bytes(it.bytes);
    case carry_frame::closed: return end(is_connected ? stream_end::closed : stream_end::not_connected);
    }
}

void path_stream::on_ended(stream_end how)
{
    const bool was_open = std::exchange(is_open_, false);
    ++connection_;
    if (!is_carried_)
        return handlers_.ended(how);
    handlers_.ended(was_open ? stream_end::reset : stream_end::not_connected);
}

void path_stream::end(stream_end how)
{
    abort();
    handlers_.ended(how);
}

} // namespace runlink::net
