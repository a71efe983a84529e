/// \file
/// Median over a sliding window of times.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Keeps the latest times. A single time varies with the concurrent load of the endpoint; the median is
/// stable.
class typical_time
{
public:
    static constexpr std::size_t least_samples = 12;
    static constexpr std::size_t most_samples = 60;

    void add(core::duration it);
    /// The median, once there are enough samples.
    std::optional<core::duration> median() const;

private:
    std::vector<core::duration> latest_;
    std::size_t next_ = 0; ///< index of the oldest time, which is replaced next
};

} // namespace runlink::routing
