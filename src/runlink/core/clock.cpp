#include <ctime>

#include "runlink/core/units.hpp"

namespace runlink::core
{

runtime_clock::time_point runtime_clock::now() noexcept
{
    timespec it{};
    // Fails only for clocks that the kernel does not have; all supported kernels have this one.
    (void)clock_gettime(CLOCK_BOOTTIME, &it);
    const auto since_boot = std::chrono::seconds{it.tv_sec} + std::chrono::nanoseconds{it.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace runlink::core
