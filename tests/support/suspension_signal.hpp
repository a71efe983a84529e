/// \file
/// The signal that tells a process for how many milliseconds it was suspended.
#pragma once

#include <csignal>

namespace runlink::tests
{

inline int suspension_signal()
{
    constexpr int offset = 7;
    return SIGRTMIN + offset;
}

} // namespace runlink::tests
