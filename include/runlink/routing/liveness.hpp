/// \file
/// When each endpoint was last heard from, and which endpoints should be probed.
#pragma once

#include <map>

#include "runlink/routing/endpoint_directory.hpp"

namespace runlink::routing
{

/// Parameters of the liveness probes.
struct liveness_options
{
    /// Silence of an endpoint with a pending request after which the endpoint is probed. Working engines send
    /// tokens every 20 to 100 ms, or take about this long to read a long prompt.
    milliseconds probe_after{400};
    milliseconds probe_interval{600}; ///< between two probes of one endpoint
};

/// Records when each endpoint was last heard from and last probed. A probe only opens a connection: it is
/// refused or times out if the process is gone or the network path is cut, while a busy endpoint accepts it.
class liveness
{
public:
    explicit liveness(liveness_options options = {}) : options_{options} {}

    void heard(time_point now, const endpoint_id& id) { records_[id].heard = now; }
    /// Returns whether to probe the endpoint now; if so, records the probe.
    bool try_probe(time_point now, const endpoint_id& id);
    time_point last_heard(const endpoint_id& id) const;
    const liveness_options& options() const { return options_; }
    /// Removes the records of endpoints that are not in the directory.
    void keep_only(const endpoint_directory& directory);

private:
    struct record
    {
        time_point heard = time_point::min();
        time_point asked = time_point::min();
    };

    liveness_options options_;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::routing
