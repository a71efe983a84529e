/// \file
/// Compares how instances that are cut off from all endpoints serve their callers with how the others do.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::soak
{

using core::milliseconds;
using core::time_point;

/// Requests of one side during a cut.
struct reach_counts
{
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
};

/// Counts the requests that begin from `contact_time` after the beginning of a cut until its end.
class reach_record
{
public:
    void cut_began(time_point now, std::set<int> instances);
    void cut_ended(time_point now);
    /// Whether a path was cut at `now` or within `before` of it.
    bool was_cut(time_point now, milliseconds before) const;
    /// A request that an undisturbed instance took at `sent_at` has ended.
    void ended(time_point sent_at, int instance, bool is_served);
    /// Cuts during which the instances that were cut off served less than two thirds as often as the others.
    std::vector<std::string> faults() const;
    std::uint64_t counted() const;

private:
    struct cut
    {
        std::set<int> instances;
        time_point began{};
        time_point from{}; ///< `contact_time` later
        std::optional<time_point> until;
        reach_counts inside;
        reach_counts outside;
    };

    std::vector<cut> cuts_;
};

} // namespace runlink::soak
