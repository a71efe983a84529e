#include "runlink/duties/wall_time_estimate.hpp"

#include <chrono>

namespace runlink::duties
{
namespace
{

wall_time since_start(core::time_point now)
{
    return std::chrono::floor<core::milliseconds>(now.time_since_epoch());
}

} // namespace

void wall_time_estimate::observe(core::time_point now, wall_time wall)
{
    const auto offset = wall - since_start(now);
    if (!offset_ || std::chrono::abs(offset - *offset_) <= options_.max_drift)
    {
        offset_ = offset;
        differs_since_.reset();
        return;
    }
    if (!differs_since_)
        differs_since_ = now;
    if (now - *differs_since_ < options_.jump_patience)
        return;
    offset_ = offset;
    differs_since_.reset();
}

wall_time wall_time_estimate::at(core::time_point now) const
{
    return offset_ ? since_start(now) + *offset_ : wall_time{0};
}

} // namespace runlink::duties
