#include "runlink/core/transfer_deadline.hpp"

#include <algorithm>

namespace runlink::core
{
namespace
{

/// Lowest rate of a transfer as a fraction of the link. The rest is left to the traffic of callers.
constexpr std::uint64_t lowest_link_share = 8;
constexpr std::uint64_t bytes_per_s_of_mbps = 125'000;
constexpr std::uint64_t us_per_s = 1'000'000;

} // namespace

transfer_limits transfer_limits::for_link(std::uint32_t link_mbps)
{
    transfer_limits out;
    if (link_mbps > 0)
        out.min_bytes_per_s = link_mbps * bytes_per_s_of_mbps / lowest_link_share;
    return out;
}

std::string_view to_string(transfer_timeout it)
{
    switch (it)
    {
    case transfer_timeout::no_answer: return "no_answer";
    case transfer_timeout::silent: return "silent";
    case transfer_timeout::too_slow: return "too_slow";
    }
    return "unknown";
}

transfer_deadline::transfer_deadline(const transfer_limits& limits, time_point started)
    : limits_{limits}, silent_at_{started + limits.first_byte}
{
}

void transfer_deadline::on_head(time_point now, std::optional<std::uint64_t> length)
{
    silent_at_ = now + limits_.silence;
    const auto bytes = length.value_or(limits_.largest_body);
    const auto rate = std::max<std::uint64_t>(limits_.min_bytes_per_s, 1);
    // A peer may announce any length.
    constexpr seconds longest{60};
    const auto time = std::min<std::uint64_t>(bytes / rate, longest.count());
    const duration transfer{static_cast<duration::rep>(time * us_per_s + bytes % rate * us_per_s / rate)};
    too_slow_at_ = now + limits_.silence + transfer;
}

void transfer_deadline::on_bytes(time_point now)
{
    silent_at_ = now + limits_.silence;
}

time_point transfer_deadline::due() const
{
    return too_slow_at_ ? std::min(silent_at_, *too_slow_at_) : silent_at_;
}

transfer_timeout transfer_deadline::reason() const
{
    if (!too_slow_at_)
        return transfer_timeout::no_answer;
    return silent_at_ <= *too_slow_at_ ? transfer_timeout::silent : transfer_timeout::too_slow;
}

} // namespace runlink::core
