#include "runlink/net/caller_connection.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <sys/ioctl.h>
#include <sys/socket.h>

namespace runlink::net
{
namespace
{

constexpr qint64 read_buffer_bytes = 64 * 1024;
/// Bytes that are parsed at a time.
constexpr std::size_t piece_bytes = 16 * 1024;
/// Pieces and requests of one connection that are handled before the event loop runs again.
constexpr std::size_t max_steps_a_turn = 64;
/// While more bytes than this wait for the caller, its next request is not read.
constexpr std::size_t max_unsent_before_next = 64 * 1024;
/// A request is copied for each attempt; two attempts may be under way.
constexpr std::size_t request_copies = 3;
/// Room for the unread part of an answer that each request is admitted with.
constexpr std::size_t answer_allowance_bytes = 16 * 1024;
/// A body has to arrive at this pace, averaged over the time for a header.
constexpr std::size_t min_bytes_a_second = 1024;

request_fault fault_of(codec_error it)
{
    switch (it)
    {
    case codec_error::header_too_large: return request_fault::header_too_large;
    case codec_error::body_too_large: return request_fault::body_too_large;
    default: return request_fault::malformed;
    }
}

} // namespace

caller_connection::caller_connection(core::connection_id id, std::unique_ptr<QTcpSocket> socket,
                                     const listener_limits& limits, core::caller_budget& budget, handlers to)
    : id_{id}, socket_{std::move(socket)}, budget_{budget}, handlers_{std::move(to)}, limits_{limits},
      reader_{{[this](const http_request_head& it) { on_head(it); },
               [this](std::string_view it) { on_body(it); }, [this] { busy_ = true; }}},
      last_activity_{core::runtime_clock::now()}
{
    reader_.set_limits(limits.message);
    socket_->setReadBufferSize(read_buffer_bytes);
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, socket_.get(), [this] { on_readable(); });
    QObject::connect(socket_.get(), &QTcpSocket::disconnected, socket_.get(), [this] { on_disconnected(); });
    QObject::connect(socket_.get(), &QTcpSocket::bytesWritten, socket_.get(), [this] { on_bytes_written(); });
    resume_timer_.setSingleShot(true);
    QObject::connect(&resume_timer_, &QTimer::timeout, &resume_timer_, [this] { read_requests(); });
}

caller_connection::~caller_connection()
{
    QObject::disconnect(socket_.get(), nullptr, socket_.get(), nullptr);
}

std::size_t caller_connection::unsent_bytes() const
{
    return static_cast<std::size_t>(socket_->bytesToWrite());
}

// Requests

void caller_connection::on_readable()
{
    if (phase_ == core::caller_phase::refused)
        return drop_arrived();
    if (busy_)
        return on_surplus();
    read_requests();
}

void caller_connection::on_surplus()
{
    // A caller that sends so much before it has its answer does not wait for it.
    if (socket_->bytesAvailable() >= read_buffer_bytes)
    {
        const auto left = std::exchange(on_left, nullptr);
        reset();
        if (left)
            left();
        return;
    }
    account();
}

void caller_connection::read_requests()
{
    // A response that is finished inside its handler returns here: the loop below goes on with the next
    // request.
    if (is_reading_)
        return;
    const auto self = shared_from_this();
    is_reading_ = true;
    std::size_t steps = 0;
    // Bytes after a request stay in the socket's bounded buffer until the request has its response.
    while (!busy_ && !closed_ && !ending_ && unsent_bytes() <= max_unsent_before_next)
    {
        if (++steps > max_steps_a_turn)
        {
            resume_timer_.start(0);
            break;
        }
        if (!read_request())
            break;
    }
    is_reading_ = false;
}

bool caller_connection::read_request()
{
    if (std::exchange(next_is_due_, false))
    {
        const auto ec = reader_.next();
        if (reader_.in_message() || busy_)
            begin_request();
        on_result(ec);
        return true;
    }
    std::array<char, piece_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by read
    const auto n = socket_->read(buf.data(), static_cast<qint64>(buf.size()));
    if (n <= 0)
        return false;
    begin_request();
    note_progress(static_cast<std::size_t>(n));
    on_result(reader_.feed({buf.data(), static_cast<std::size_t>(n)}));
    return true;
}

void caller_connection::begin_request()
{
    if (phase_ == core::caller_phase::receiving)
        return;
    enter(core::caller_phase::receiving);
    progress_began_ = core::runtime_clock::now();
    progress_bytes_ = 0;
}

void caller_connection::note_progress(std::size_t bytes)
{
    constexpr std::size_t ms_per_s = 1000;
    const auto window_ms = static_cast<std::size_t>(limits_.header_timeout.count());
    const auto seconds_before = progress_bytes_ / min_bytes_a_second;
    progress_bytes_ += bytes;
    if (progress_bytes_ / min_bytes_a_second == seconds_before)
        return;
    const auto now = core::runtime_clock::now();
    budget_.progressed(now, id_);
    if (!has_head_ || progress_bytes_ < min_bytes_a_second * window_ms / ms_per_s)
        return;
    progress_began_ = now;
    progress_bytes_ = 0;
}

void caller_connection::on_head(const http_request_head& it)
{
    begin_request();
    head_ = it;
    has_head_ = true;
    progress_began_ = core::runtime_clock::now();
    progress_bytes_ = 0;
    const auto announced = announced_length(it.fields).value_or(0);
    has_no_room_ = !hold_request(announced);
    if (has_no_room_)
        return;
    body_.reserve(announced);
    if (it.fields.has_token("Expect", "100-continue"))
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::on_body(std::string_view bytes)
{
    const auto needed = body_.size() + bytes.size();
    if (!has_no_room_ && needed > body_.capacity())
    {
        const auto most = std::max<std::size_t>(limits_.message.max_body_bytes, needed);
        const auto capacity = std::min(std::max(2 * body_.capacity(), needed), most);
        has_no_room_ = !hold_request(capacity);
        if (has_no_room_)
            body_ = {};
        else
            body_.reserve(capacity);
    }
    if (!has_no_room_)
        body_.append(bytes);
}

void caller_connection::on_result(codec_error ec)
{
    if (ec != codec_error::none)
        return reject(fault_of(ec));
    if (!has_head_ && !busy_ && reader_.in_message())
        has_no_room_ = !hold_request(0);
    if (has_no_room_)
        return reject(request_fault::no_room);
    if (!busy_)
        return;
    has_head_ = false;
    enter(core::caller_phase::waiting);
    handlers_.request(shared_from_this(), head_, std::exchange(body_, {}));
}

void caller_connection::reject(request_fault why)
{
    busy_ = true;
    enter(core::caller_phase::refused);
    drop_request();
    handlers_.bad_request(shared_from_this(), why);
}

void caller_connection::drop_request()
{
    body_ = {};
    head_.fields = {};
    reader_.drop();
    has_head_ = false;
    has_no_room_ = false;
    request_bytes_ = 0;
    account();
}

// Room

bool caller_connection::hold_request(std::size_t body_capacity)
{
    const auto head_bytes = has_head_ ? head_.fields.held_bytes() : 0;
    const auto needed =
        request_copies * (head_bytes + body_capacity) + reader_.held_bytes() + answer_allowance_bytes;
    if (needed > request_bytes_ && !handlers_.hold(id_, needed + unsent_bytes()))
        return false;
    request_bytes_ = std::max(needed, request_bytes_);
    return true;
}

void caller_connection::account()
{
    if (closed_)
        return;
    const auto unsent = unsent_bytes();
    const auto surplus = busy_ ? static_cast<std::size_t>(socket_->bytesAvailable()) : 0;
    const auto beyond = unsent + surplus;
    const auto total =
        request_bytes_ + (request_bytes_ > 0 ? beyond - std::min(beyond, answer_allowance_bytes) : beyond);
    has_room_ = phase_ != core::caller_phase::refused && handlers_.hold(id_, total);
    if (!has_room_)
        budget_.hold_anyway(id_, total);
}

void caller_connection::enter(core::caller_phase phase)
{
    phase_ = phase;
    budget_.enter(core::runtime_clock::now(), id_, phase);
}

void caller_connection::give_way()
{
    const auto self = shared_from_this();
    if (phase_ == core::caller_phase::receiving)
        return reject(request_fault::no_room);
    reset();
}

// Responses

void caller_connection::write(std::string_view bytes)
{
    if (closed_)
        return;
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    account();
}

void caller_connection::on_bytes_written()
{
    const auto self = shared_from_this();
    const auto now = core::runtime_clock::now();
    last_activity_ = now;
    account();
    if (phase_ == core::caller_phase::refused)
        return shut_write();
    if (phase_ == core::caller_phase::sending)
    {
        budget_.progressed(now, id_);
        if (unsent_bytes() == 0)
            enter(core::caller_phase::idle);
    }
    if (!busy_)
        read_requests();
}

void caller_connection::finish(bool close)
{
    busy_ = false;
    on_left = nullptr;
    if (closed_)
        return;
    const auto self = shared_from_this();
    last_activity_ = core::runtime_clock::now();
    head_.fields = {};
    request_bytes_ = 0;
    account();
    enter(unsent_bytes() > 0 ? core::caller_phase::sending : core::caller_phase::idle);
    if (close || !head_.keep_alive)
        return end_after_flush();
    next_is_due_ = true;
    read_requests();
}

void caller_connection::refuse_rest()
{
    on_left = nullptr;
    if (closed_)
        return;
    const auto self = shared_from_this();
    last_activity_ = core::runtime_clock::now();
    enter(core::caller_phase::refused);
    if (unsent_bytes() == 0)
        shut_write();
    if (!closed_)
        drop_arrived();
}

void caller_connection::shut_write()
{
    if (unsent_bytes() > 0 || std::exchange(is_write_shut_, true))
        return;
    // The caller then reads the end of the response and closes the connection in turn.
    if (::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR) != 0)
        reset();
}

void caller_connection::drop_arrived()
{
    dropped_bytes_ += static_cast<std::size_t>(socket_->readAll().size());
    if (dropped_bytes_ > limits_.max_lingering_bytes)
        reset();
}

void caller_connection::end_after_flush()
{
    ending_ = true;
    socket_->disconnectFromHost();
}

void caller_connection::break_off()
{
    busy_ = false;
    on_left = nullptr;
    if (closed_)
        return;
    request_bytes_ = 0;
    account();
    enter(core::caller_phase::sending);
    end_after_flush();
}

void caller_connection::close_now()
{
    if (!closed_)
        socket_->flush();
    reset();
}

void caller_connection::reset()
{
    busy_ = false;
    on_left = nullptr;
    if (!closed_)
        socket_->abort();
}

void caller_connection::detach_from_listener()
{
    handlers_.request = [](const auto&, const auto&, const auto&) {};
    handlers_.bad_request = [](const auto&, request_fault) {};
    handlers_.closed = [](core::connection_id) {};
    handlers_.hold = [](core::connection_id, std::size_t) { return true; };
    reset();
    closed_ = true;
}

void caller_connection::on_disconnected()
{
    if (std::exchange(closed_, true))
        return;
    const auto self = shared_from_this();
    const auto left = std::exchange(on_left, nullptr);
    busy_ = false;
    handlers_.closed(id_);
    if (left)
        left();
}

void caller_connection::check_timeouts(core::time_point now, const listener_limits& limits)
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    const auto idle_time = now - last_activity_;
    if (phase_ == core::caller_phase::refused)
    {
        if (idle_time >= limits.linger)
            reset();
        return;
    }
    if (busy_)
        return;
    if (ending_ || unsent_bytes() > 0)
    {
        if (idle_time >= limits.idle_timeout)
            reset();
        return;
    }
    if (reader_.in_message())
    {
        if (now - progress_began_ >= limits.header_timeout && !has_unread_bytes())
            reject(request_fault::timed_out);
        return;
    }
    if (idle_time >= limits.idle_timeout)
        end_after_flush();
}

bool caller_connection::has_unread_bytes() const
{
    // Bytes that arrived since the event loop last polled are still in the kernel's buffer.
    int waiting = 0;
    const bool is_known = ::ioctl(static_cast<int>(socket_->socketDescriptor()), FIONREAD, &waiting) == 0;
    return socket_->bytesAvailable() > 0 || (is_known && waiting > 0);
}

void caller_connection::close_if_idle()
{
    if (is_idle() && !closed_ && !has_unread_bytes())
        end_after_flush();
}

} // namespace runlink::net
