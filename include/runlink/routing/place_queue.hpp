/// \file
/// Requests waiting for a send slot at rate-limited endpoints. A send slot is a point in time at which an
/// endpoint may be sent one more request.
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

/// The future send slots of one endpoint.
struct slot_series
{
    time_point first{};  ///< earliest slot
    duration interval{}; ///< between two slots
};

/// Returns the time of the slot that is left for a request behind `ahead` others, over all endpoints; nothing
/// without endpoints.
std::optional<time_point> slot_behind(std::size_t ahead, std::vector<slot_series> slots);

/// The order in which waiting requests get send slots: the most urgent first, then the oldest.
///
/// Handles the case that all endpoints accept only a few requests per second. A request waits for a slot if
/// the slot comes before the answer would be late. Any other caller is refused at once with a retry time, and
/// each of these callers gets a later time than the one before, so that they do not retry together and get
/// refused again.
class slot_queue
{
public:
    /// A waiting request.
    struct entry
    {
        int priority = 0; ///< 0 is the most urgent
        time_point arrived{};
        flow_id id{};

        friend auto operator<=>(const entry&, const entry&) = default;
    };

    void add(const service_id& service, const entry& it) { waiting_[service].insert(it); }
    void remove(const service_id& service, const entry& it);
    /// Number of requests that get a slot before `it`.
    std::size_t count_before(const service_id& service, const entry& it) const;
    /// The most urgent and then oldest request that waits; nothing if none does.
    std::optional<flow_id> first(const service_id& service) const;
    /// Requests that get a slot before `it`, in order.
    std::vector<flow_id> before(const service_id& service, const entry& it) const;
    std::size_t size() const;
    /// Returns the time at which a caller that cannot wait is to retry: `first`, or one `interval` after the
    /// time given to the caller before it.
    time_point assign_retry_time(time_point now, const service_id& service, time_point first,
                                 duration interval);

private:
    std::map<service_id, std::set<entry>> waiting_;
    std::map<service_id, time_point> next_retry_; ///< for the next caller
};

} // namespace runlink::routing
