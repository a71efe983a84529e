/// \file
/// Requests that no endpoint may be sent now, and when there is a place for them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "runlink/routing/messages.hpp"

namespace runlink::routing
{

using core::duration;
using core::service_id;
using core::time_point;

/// An endpoint that may be sent to from a time on.
struct opening
{
    time_point first{};
    duration interval{}; ///< between two sends after that
};

/// When the request behind `ahead` others finds a place; nothing without any opening.
std::optional<time_point> place_behind(std::size_t ahead, std::vector<opening> openings);

/// The order in which requests that wait get places: the most urgent first, then the oldest.
///
/// Answers endpoints that bear only a few requests a second, all of them at once: what fits waits for its
/// place as long as its answer is not late by that, what does not is told at once when there is one, and
/// others that are told later times, so that callers do not return together to be refused again.
class place_queue
{
public:
    /// A request in the order.
    struct entry
    {
        int priority = 0; ///< 0 is the most urgent
        time_point arrived{};
        flow_id id{};

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    void add(const service_id& service, const entry& it) { waiting_[service].insert(it); }
    void remove(const service_id& service, const entry& it);
    std::size_t count_before(const service_id& service, const entry& it) const;
    /// Those before it.
    std::vector<flow_id> before(const service_id& service, const entry& it) const;
    std::size_t size() const;
    /// The time to which a caller is put off that cannot wait: `first`, or behind those that were put off
    /// before.
    time_point assign_return(time_point now, const service_id& service, time_point first, duration interval);

private:
    std::map<service_id, std::set<entry>> waiting_;
    std::map<service_id, time_point> next_return_; ///< the next caller
};

} // namespace runlink::routing
