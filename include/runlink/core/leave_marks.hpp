/// \file
/// Tracks the endpoints that are shutting down.
#pragma once

#include <map>
#include <vector>

#include "runlink/core/peer_messages.hpp"

namespace runlink::core
{

/// Set of leave marks. A leave mark says that one process of an endpoint is shutting down. It takes
/// precedence over later reports that the same process is live, and ends when a newer process of the endpoint
/// is seen.
class leave_marks
{
public:
    /// Records that a process of an endpoint is leaving. Returns false if this was known or is outdated.
    bool mark(const leave_mark& it);
    /// Records that a process of an endpoint is live. Removes the mark of an older process.
    void seen_live(const endpoint_id& endpoint, endpoint_incarnation incarnation);

    bool is_leaving(const endpoint_id& endpoint) const;
    /// The newest known process of an endpoint; zero if none is known.
    endpoint_incarnation incarnation_of(const endpoint_id& endpoint) const;
    /// The current marks, sent with each heartbeat.
    std::vector<leave_mark> all() const;

private:
    std::map<endpoint_id, endpoint_incarnation> leaving_;
    std::map<endpoint_id, endpoint_incarnation> newest_;
};

} // namespace runlink::core
