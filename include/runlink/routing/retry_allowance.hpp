/// \file
/// Bound on repeated dispatches, kept by each instance without agreement.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of the allowance of one service.
struct retry_options
{
    core::seconds window{10};
    /// Repeats for each first dispatch, below the deployment's ratio so that the sum of all instances holds.
    double ratio = 0.8;
    /// Repeats allowed without any first dispatch: this instance's part of the deployment's slack.
    double slack = 3;
};

/// Counts first dispatches and repeats over a sliding window of buckets. As each instance keeps its own
/// repeats below a share of its own requests, the sum over all instances stays below the same share.
class retry_allowance
{
public:
    explicit retry_allowance(retry_options options = {}) : options_{options} {}

    void on_first(core::time_point now);
    /// Takes a repeat if one is left.
    bool try_take(core::time_point now);
    double left(core::time_point now);

private:
    static constexpr std::size_t bucket_count = 10;
    struct bucket
    {
        std::int64_t number = -1; ///< of the span of time that it counts
        std::uint32_t firsts = 0;
        std::uint32_t repeats = 0;
    };

    bucket& at(core::time_point now);

    retry_options options_;
    std::array<bucket, bucket_count> buckets_{};
};

} // namespace runlink::routing
