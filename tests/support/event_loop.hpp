/// \file
/// Runs the Qt event loop until a condition holds, for network tests.
#pragma once

#include <functional>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace runlink::net
{

/// Runs the event loop until the condition holds, for at most 30 s. Returns whether it holds.
inline bool run_until(const std::function<bool()>& condition)
{
    constexpr int timeout_ms = 30'000;
    constexpr int slice_ms = 5;
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < timeout_ms)
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, slice_ms);
    return condition();
}

} // namespace runlink::net
