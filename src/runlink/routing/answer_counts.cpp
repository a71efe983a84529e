#include "runlink/routing/answer_counts.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::routing
{
namespace
{

std::int64_t second_of(core::time_point it)
{
    return std::chrono::floor<core::seconds>(it.time_since_epoch()).count();
}

} // namespace

std::string_view to_string(answer_flaw it)
{
    switch (it)
    {
    case answer_flaw::failed: return "failed";
    case answer_flaw::late: return "late";
    case answer_flaw::slow: return "slow";
    case answer_flaw::very_slow: return "very_slow";
    }
    return "unknown";
}

answer_counts& answer_counts::operator+=(const answer_counts& it)
{
    all += it.all;
    for (std::size_t n = 0; n < answer_flaws; ++n)
        with[n] += it.with[n];
    return *this;
}

answer_counts answer_counts::since(const answer_counts& earlier) const
{
    bool is_later = all >= earlier.all;
    for (std::size_t n = 0; n < answer_flaws; ++n)
        is_later = is_later && with[n] >= earlier.with[n];
    if (!is_later)
        return *this;
    answer_counts out{all - earlier.all, {}};
    for (std::size_t n = 0; n < answer_flaws; ++n)
        out.with[n] = with[n] - earlier.with[n];
    return out;
}

void answer_window::add(core::time_point now, const answer_counts& it)
{
    total_ += it;
    const auto number = second_of(now);
    auto& to = seconds_[static_cast<std::size_t>(number) % seconds_kept];
    if (to.number != number)
        to = {number, {}};
    to.counts += it;
}

answer_counts answer_window::latest(core::time_point now, std::size_t seconds) const
{
    const auto oldest = second_of(now) - static_cast<std::int64_t>(std::min(seconds, seconds_kept)) + 1;
    answer_counts out;
    for (const auto& it : seconds_)
        if (it.number >= oldest)
            out += it.counts;
    return out;
}

} // namespace runlink::routing
