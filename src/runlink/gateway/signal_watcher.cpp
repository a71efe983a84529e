#include "runlink/gateway/signal_watcher.hpp"

#include <array>
#include <csignal>

#include <fcntl.h>
#include <unistd.h>

namespace runlink::gateway
{
namespace
{

int write_fd = -1; // pipe of the current watcher

extern "C" void forward_signal(int number)
{
    const auto byte = static_cast<unsigned char>(number);
    // A failed write is ignored: a full pipe already holds signals to act on, and a handler cannot report
    // errors.
    (void)!write(write_fd, &byte, 1);
}

} // namespace

signal_watcher::signal_watcher(handlers on_signal) : handlers_{std::move(on_signal)}
{
    std::array<int, 2> fds{};
    if (pipe2(fds.data(), O_NONBLOCK | O_CLOEXEC) != 0)
        return;
    read_fd_ = fds[0];
    write_fd = fds[1];
    notifier_ = std::make_unique<QSocketNotifier>(read_fd_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(), [this] { read_one(); });
    for (const auto& [number, handler] : handlers_)
    {
        struct sigaction action
        {
        };
        action.sa_handler = forward_signal;
        sigaction(number, &action, nullptr);
    }
}

signal_watcher::~signal_watcher()
{
    for (const auto& [number, handler] : handlers_)
        (void)std::signal(number, SIG_DFL);
    notifier_.reset();
    if (read_fd_ >= 0)
        close(read_fd_);
    if (write_fd >= 0)
        close(write_fd);
    write_fd = -1;
}

void signal_watcher::read_one()
{
    unsigned char byte = 0;
    if (read(read_fd_, &byte, 1) != 1)
        return;
    const auto found = handlers_.find(byte);
    if (found != handlers_.end())
        found->second();
}

} // namespace runlink::gateway
