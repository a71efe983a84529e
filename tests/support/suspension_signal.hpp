/// \file
/// The signal that tells a process for how many milliseconds it was suspended.
#pragma once

#include <csignal>

namespace runlink::tests
{

inline int suspension_signal()
{
    constexpr int offset = 7; // above `SIGRTMIN`, the first real-time signal
    return SIGRTMIN + offset;
}

} // namespace runlink::tests
