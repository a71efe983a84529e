/// \file
/// Runs the Qt event loop until a condition holds or a timeout expires.
#pragma once

#include <chrono>
#include <functional>

#include <QCoreApplication>

namespace runlink::tests
{

/// Runs the event loop until the condition holds or the timeout expires. Returns whether it holds.
inline bool wait_for(const std::function<bool()>& condition,
                     std::chrono::milliseconds timeout = std::chrono::seconds{10})
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end)
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    return condition();
}

} // namespace runlink::tests
