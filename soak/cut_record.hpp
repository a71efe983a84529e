/// \file
/// Streams that instances cut in the middle of their answers, beside changes of the configuration and at
/// other times.
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

/// The clock of the soak, the same as that of the instances.
inline time_point now()
{
    return core::runtime_clock::now();
}

/// Bounds of `cut_record`.
struct cut_bounds
{
    /// A change may cut for this long after it was sent: until it is in force everywhere, and a second more.
    milliseconds beside{4000};
    /// Trouble explains cuts for this long after it.
    milliseconds after_trouble{4000};
    /// How much more often an instance may cut beside changes than at other times.
    double most_times = 3;
};

/// Counts, and judges how often each instance cuts when.
class cut_record
{
public:
    explicit cut_record(cut_bounds bounds = {}) : bounds_{bounds} {}

    /// Judges these instances from then on.
    void watch(time_point from, int instances)
    {
        from_ = from;
        instances_ = instances;
    }
    bool is_watching() const { return from_.has_value(); }
    /// A configuration was sent.
    void changed(time_point at) { changes_.push_back(at); }
    /// Something unplanned befell an instance, or the store: it explains what the instance cuts meanwhile.
    void troubled(time_point from, time_point until, std::optional<int> instance);
    void cut(time_point at, int instance, const std::string& id);
    /// What an instance cut, and in how much time without trouble.
    struct tally
    {
        std::vector<std::string> cuts;
        milliseconds time{};
    };
    /// Without an instance: of all together.
    tally beside_changes(time_point until, std::optional<int> instance) const
    {
        return count(until, instance, true);
    }
    tally at_other_times(time_point until, std::optional<int> instance) const
    {
        return count(until, instance, false);
    }
    /// Instances that cut more often beside changes.
    std::vector<std::string> judge(time_point until) const;

private:
    struct trouble
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

    tally count(time_point until, std::optional<int> instance, bool beside) const;
    bool is_beside(time_point at) const;
    bool is_troubled(time_point at, int instance) const;

    cut_bounds bounds_;
    std::optional<time_point> from_;
    int instances_ = 0;
    std::vector<time_point> changes_;
    std::vector<trouble> troubles_;
    std::map<int, std::vector<cut_stream>> cuts_; ///< of instances
};

} // namespace runlink::soak
