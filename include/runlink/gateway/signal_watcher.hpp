/// \file
/// Delivers POSIX signals through the event loop.
#pragma once

#include <functional>
#include <map>
#include <memory>

#include <QSocketNotifier>

namespace runlink::gateway
{

/// Calls handlers from the event loop when signals arrive. At most one watcher may exist at a time.
class signal_watcher
{
public:
    using handlers = std::map<int, std::function<void()>>; ///< by signal number

    explicit signal_watcher(handlers on_signal);
    ~signal_watcher();
    signal_watcher(const signal_watcher&) = delete;
    signal_watcher& operator=(const signal_watcher&) = delete;

private:
    void read_one();

    handlers handlers_;
    int read_fd_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace runlink::gateway
