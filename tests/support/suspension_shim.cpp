// Preloaded into a process under test. Subtracts the suspended time, which arrives by signal, from the steady
// clocks that the process reads.

#include <atomic>
#include <cstdint>
#include <ctime>

#include <dlfcn.h>

#include "support/suspension_signal.hpp"

namespace
{

constexpr std::int64_t ns_per_s = 1'000'000'000;
constexpr std::int64_t ns_per_ms = 1'000'000;

std::atomic<std::int64_t> suspended_ns{0};

using clock_function = int (*)(clockid_t, timespec*);

clock_function real_clock()
{
    static const auto it = reinterpret_cast<clock_function>(dlsym(RTLD_NEXT, "clock_gettime"));
    return it;
}

void on_suspension_signal(int, siginfo_t* info, void*)
{
    suspended_ns += info->si_value.sival_int * ns_per_ms;
}

/// Installs the signal handler before `main` starts.
struct installation
{
    installation()
    {
        real_clock();
        struct sigaction action
        {
        };
        action.sa_sigaction = on_suspension_signal;
        action.sa_flags = SA_SIGINFO | SA_RESTART;
        sigaction(runlink::tests::suspension_signal(), &action, nullptr);
    }
};

const installation installed;

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* to) noexcept
{
    const int out = real_clock()(clock, to);
    const bool is_steady =
        clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_COARSE || clock == CLOCK_MONOTONIC_RAW;
    if (out != 0 || !is_steady)
        return out;
    const auto ns = to->tv_sec * ns_per_s + to->tv_nsec - suspended_ns;
    to->tv_sec = ns / ns_per_s;
    to->tv_nsec = ns % ns_per_s;
    return out;
}
