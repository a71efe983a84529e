#include "runlink/net/tcp_stream.hpp"

#include <array>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace runlink::net
{
namespace
{

constexpr std::size_t read_buffer_bytes = 64 * 1024;

/// Time between keep-alive probes of an idle connection; one second is the kernel's smallest unit for it.
constexpr int probe_interval_s = 1;

bool would_block(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

bool tcp_stream::connect(const std::string& host, std::uint16_t port)
{
    was_refused_ = false;
    error_ = 0;
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &to.sin_addr) != 1)
        return false;
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd_ < 0)
        return false;
    const int on = 1;
    // Failure is harmless: small requests may then be delayed until earlier bytes are acknowledged.
    (void)setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto* address = reinterpret_cast<const sockaddr*>(&to);
    if (::connect(fd_, address, sizeof to) != 0 && errno != EINPROGRESS)
    {
        was_refused_ = errno == ECONNREFUSED;
        close(std::exchange(fd_, -1));
        return false;
    }
    readable_ = std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Read);
    readable_->setEnabled(false);
    writable_ = std::make_unique<QSocketNotifier>(fd_, QSocketNotifier::Write);
    QObject::connect(readable_.get(), &QSocketNotifier::activated, readable_.get(),
                     [this] { on_readable(); });
    QObject::connect(writable_.get(), &QSocketNotifier::activated, writable_.get(),
                     [this] { on_writable(); });
    return true;
}

void set_silence_timeout(int fd, core::milliseconds timeout)
{
    const auto ms = static_cast<unsigned>(timeout.count());
    const int on = 1;
    const auto set = [fd](int level, int name, const auto& value)
    {
        // Failure is harmless: the timeouts of the stream's owner then detect a peer that no longer responds.
        (void)setsockopt(fd, level, name, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, ms); // takes precedence over the number of probes
    set(IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(SOL_SOCKET, SO_KEEPALIVE, on);
}

std::optional<core::milliseconds> tcp_stream::silence_timeout() const
{
    int probes_on = 0;
    unsigned ms = 0;
    socklen_t probes_size = sizeof probes_on;
    socklen_t ms_size = sizeof ms;
    if (getsockopt(fd_, SOL_SOCKET, SO_KEEPALIVE, &probes_on, &probes_size) != 0 || probes_on == 0 ||
        getsockopt(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, &ms_size) != 0)
        return std::nullopt;
    return core::milliseconds{ms};
}

bool tcp_stream::finish_connect()
{
    pollfd it{fd_, POLLOUT, 0};
    if (fd_ < 0 || poll(&it, 1, 0) != 1)
        return false;
    if ((it.revents & (POLLERR | POLLHUP)) != 0)
    {
        read_connect_result();
        return false;
    }
    on_writable();
    return true;
}

bool tcp_stream::read_connect_result()
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    was_refused_ = error == ECONNREFUSED;
    note_error(error);
    return error == 0;
}

void tcp_stream::note_error(int error)
{
    if (error_ == 0 && !would_block(error))
        error_ = error;
}

void tcp_stream::on_writable()
{
    if (connected_)
        return flush();
    if (!read_connect_result())
        return end(stream_end::not_connected);
    connected_ = true;
    writable_->setEnabled(false);
    readable_->setEnabled(true);
    const auto invalidated = invalidated_;
    handlers_.connected();
    if (!*invalidated && !unsent_.empty())
        flush();
}

void tcp_stream::write(std::string_view bytes)
{
    if (fd_ < 0 || error_ != 0)
        return;
    const bool was_empty = unsent_.empty();
    unsent_.append(bytes);
    if (connected_ && was_empty)
        flush();
}

void tcp_stream::flush()
{
    while (!unsent_.empty())
    {
        const auto n = send(fd_, unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
        if (n < 0)
        {
            note_error(errno);
            break;
        }
        unsent_.erase(0, static_cast<std::size_t>(n));
    }
    // After an error, bytes that were received before it can still be read: the read side reports the end.
    if (error_ != 0)
        unsent_.clear();
    writable_->setEnabled(!unsent_.empty());
}

void tcp_stream::on_readable()
{
    std::array<char, read_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    const auto n = recv(fd_, buf.data(), buf.size(), 0);
    if (n > 0)
        return handlers_.bytes({buf.data(), static_cast<std::size_t>(n)});
    if (n < 0 && would_block(errno))
        return;
    if (n < 0)
        note_error(errno);
    end(ended_in_order() ? stream_end::closed : stream_end::reset);
}

bool tcp_stream::ended_in_order() const
{
    // A reset that follows the peer's FIN is reported as EPIPE, any other one as ECONNRESET.
    return error_ == 0 || error_ == EPIPE;
}

void tcp_stream::end(stream_end how)
{
    abort();
    handlers_.ended(how);
}

void tcp_stream::abort()
{
    *invalidated_ = true;
    invalidated_ = std::make_shared<bool>(false);
    if (fd_ < 0)
        return;
    // This call may come from a notifier, so the event loop deletes the notifiers later.
    for (auto* it : {&readable_, &writable_})
    {
        (*it)->setEnabled(false);
        QObject::disconnect(it->get(), nullptr, it->get(), nullptr);
        it->release()->deleteLater();
    }
    close(std::exchange(fd_, -1));
    connected_ = false;
    unsent_.clear();
}

} // namespace runlink::net
