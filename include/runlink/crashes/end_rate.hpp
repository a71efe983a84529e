/// \file
/// How often endpoints end, and how likely it is that they do so under one request by chance.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "runlink/core/units.hpp"
#include "runlink/crashes/crash_messages.hpp"

namespace runlink::crashes
{

/// Parameters of the rate.
struct end_rate_options
{
    core::seconds window{10};
    /// Least rate that is believed: one end of each endpoint in this time.
    core::seconds longest_life{600};
};

/// Learns the rate at which endpoints end.
class end_rate
{
public:
    explicit end_rate(end_rate_options options = {}) : options_{options} {}

    /// There are so many endpoints. The rate counts from the first call on.
    void watch(core::time_point now, std::size_t endpoints);
    /// An endpoint has ended.
    void ended(core::time_point now, endpoint_life it);
    /// That end has a cause and does not count as chance.
    void explained(endpoint_life it);
    /// The time that the rate was learned in.
    core::duration watched(core::time_point now) const;
    /// Probability that so many endpoints or more end by chance while one request is there for this long in
    /// all. `under_it`: those that ended under it, and how long it had been there.
    /// `by_others`: ends that another request has probably caused.
    double chance_of(core::time_point now, const std::map<endpoint_life, core::duration>& under_it,
                     const std::set<endpoint_life>& by_others = {}) const;

private:
    end_rate_options options_;
    std::size_t endpoints_ = 1;
    std::optional<core::time_point> began_;
    struct end
    {
        core::time_point at{};
        endpoint_life endpoint;
    };
    std::deque<end> ends_;
};

} // namespace runlink::crashes
