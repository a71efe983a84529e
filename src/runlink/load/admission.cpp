#include "runlink/load/admission.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::load
{

std::optional<core::milliseconds> admission::retry_after_if_overloaded(core::duration wait,
                                                                       core::milliseconds time_left,
                                                                       std::uint64_t request_hash) const
{
    if (wait < time_left)
        return std::nullopt;
    return retry_after(wait, request_hash);
}

core::milliseconds admission::retry_after(core::duration wait, std::uint64_t request_hash) const
{
    return uncapped_retry_after(std::min<core::duration>(wait, options_.max_retry_after), request_hash);
}

core::milliseconds admission::uncapped_retry_after(core::duration wait, std::uint64_t request_hash) const
{
    constexpr std::uint64_t steps = 1024;
    const auto time = std::max(std::chrono::ceil<core::milliseconds>(wait), options_.min_retry_after);
    const auto part = static_cast<double>(request_hash % steps) / static_cast<double>(steps);
    const auto spread = std::min(time, options_.max_retry_after).count();
    const auto more = static_cast<double>(spread) * options_.spread * part;
    return time + core::milliseconds{static_cast<core::milliseconds::rep>(more)};
}

} // namespace runlink::load
