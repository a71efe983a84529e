/// \file
/// Waiting for states in tests of the network.
#pragma once

#include <functional>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace runlink::net
{

/// Runs the event loop until the condition holds. Returns false only where it never does.
inline bool run_until(const std::function<bool()>& condition)
{
    constexpr int never_ms = 30'000;
    constexpr int slice_ms = 5;
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < never_ms)
        QCoreApplication::processEvents(QEventLoop::AllEvents | QEventLoop::WaitForMoreEvents, slice_ms);
    return condition();
}

} // namespace runlink::net
