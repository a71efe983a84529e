/// \file
/// Test support: a TCP server with blocking calls, so that a test chooses the order of what it does and of
/// what its client's event loop sees.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "runlink/net/endpoint_path.hpp"

namespace runlink::tests
{

/// Accepts one connection and reads nothing unless told to. Its small receive buffer keeps most bytes of a
/// long request unsent.
class blocking_peer
{
public:
    blocking_peer() : listener_{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
    {
        const int buffer_bytes = 4096;
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
        auto* address = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof address_;
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(listener_, address, size) != 0 || ::listen(listener_, 1) != 0 ||
            getsockname(listener_, address, &size) != 0)
            throw std::runtime_error{"no port to listen on"};
    }
    ~blocking_peer()
    {
        close();
        ::close(listener_);
    }
    blocking_peer(const blocking_peer&) = delete;
    blocking_peer& operator=(const blocking_peer&) = delete;

    net::peer_address address() const { return {"127.0.0.1", ntohs(address_.sin_port)}; }
    void accept() { fd_ = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC); }
    void send(std::string_view bytes)
    {
        (void)::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        settle();
    }
    /// Whether the client has closed the connection, once what it had sent has been read.
    bool is_left()
    {
        std::array<char, 4096> buf{};
        while (true)
        {
            const auto n = ::recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n <= 0)
                return n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        }
    }
    /// Closes the sending direction only (FIN).
    void finish()
    {
        shutdown(fd_, SHUT_WR);
        settle();
    }
    /// Closes the connection. The kernel resets it if received bytes have not been read.
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
        settle();
    }
    void reset()
    {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

private:
    /// Waits until the other end of the loopback connection has received what was sent.
    void settle() const
    {
        constexpr std::chrono::milliseconds interval{5};
        int unacknowledged = 0;
        do
            std::this_thread::sleep_for(interval);
        while (fd_ >= 0 && ioctl(fd_, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0);
    }

    int listener_;
    int fd_ = -1;
    sockaddr_in address_{};
};

} // namespace runlink::tests
