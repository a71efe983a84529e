/// \file
/// Compares how often instances cut streams in the middle of a response shortly after configuration changes
/// and at other times.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::soak
{

using core::milliseconds;
using core::time_point;

/// The current time, from the same clock that the instances use.
inline time_point now()
{
    return core::runtime_clock::now();
}

/// Bounds of `cut_record`.
struct cut_bounds
{
    /// Cuts within this time after a configuration was sent are attributed to it. Covers the time until the
    /// configuration is in force on all instances, plus one second.
    milliseconds change_window{4000};
    /// Cuts are still attributed to a disturbance for this long after its end.
    milliseconds after_disturbance{4000};
    /// Maximum ratio of an instance's cut rate near changes to its cut rate at other times.
    double max_rate_ratio = 3;
};

/// Records cut streams and finds instances that cut too many of them near configuration changes.
class cut_record
{
public:
    explicit cut_record(cut_bounds bounds = {}) : bounds_{bounds} {}

    /// Starts recording at `from`, for instances numbered from 0.
    void watch(time_point from, int instances)
    {
        from_ = from;
        instances_ = instances;
    }
    bool is_watching() const { return from_.has_value(); }
    /// Records that a configuration was sent.
    void add_change(time_point at) { changes_.push_back(at); }
    /// Records an unplanned disturbance of one instance, or of all if `instance` is empty. Cuts during the
    /// disturbance do not count.
    void add_disturbance(time_point from, time_point until, std::optional<int> instance);
    void cut(time_point at, int instance, const std::string& id);
    /// Request ids of the cut streams, and the undisturbed time in which they were cut.
    struct tally
    {
        std::vector<std::string> cuts;
        milliseconds time{};
    };
    /// Totals over all instances if `instance` is empty.
    tally near_changes(time_point until, std::optional<int> instance) const
    {
        return count(until, instance, true);
    }
    tally at_other_times(time_point until, std::optional<int> instance) const
    {
        return count(until, instance, false);
    }
    /// Returns one message for each instance whose cut rate near changes exceeds the allowed ratio.
    std::vector<std::string> find_violations(time_point until) const;

private:
    struct disturbance
    {
        time_point from{};
        time_point until{};
        std::optional<int> instance;
    };
    struct cut_stream
    {
        time_point at{};
        std::string id;
    };

    tally count(time_point until, std::optional<int> instance, bool near_change) const;
    bool is_near_change(time_point at) const;
    bool is_disturbed(time_point at, int instance) const;

    cut_bounds bounds_;
    std::optional<time_point> from_;
    int instances_ = 0;
    std::vector<time_point> changes_;
    std::vector<disturbance> disturbances_;
    std::map<int, std::vector<cut_stream>> cuts_; ///< by instance number
};

} // namespace runlink::soak
