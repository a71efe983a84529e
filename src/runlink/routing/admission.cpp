#include "runlink/routing/admission.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::routing
{

std::optional<core::milliseconds> admission::refuse_for(core::duration wait, core::milliseconds time_left,
                                                        std::uint64_t request_hash) const
{
    if (wait < time_left)
        return std::nullopt;
    return retry_after(wait, request_hash);
}

core::milliseconds admission::retry_after(core::duration wait, std::uint64_t request_hash) const
{
    constexpr std::uint64_t steps = 1024;
    const auto bounded = std::clamp(std::chrono::ceil<core::milliseconds>(wait), options_.least_retry_after,
                                    options_.longest_retry_after);
    const auto part = static_cast<double>(request_hash % steps) / static_cast<double>(steps);
    const auto more = static_cast<double>(bounded.count()) * options_.spread * part;
    return bounded + core::milliseconds{static_cast<core::milliseconds::rep>(more)};
}

} // namespace runlink::routing
