/// \file
/// Detects that this instance has lost its network paths to the endpoints of a failure domain.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::paths
{

using core::duration;
using core::endpoint_id;
using core::failure_domain_id;
using core::instance_id;
using core::milliseconds;
using core::time_point;

/// Parameters of the detection.
struct path_watch_options
{
    /// Endpoints that have to fail, since one alone may have ended.
    std::size_t min_failed = 2;
    /// Failures older than this say nothing about the present.
    milliseconds failure_lifetime{1500};
    milliseconds query_interval{200}; ///< between two queries to other instances while in doubt
    milliseconds probe_interval{300}; ///< between two probes of a path that is lost
    std::size_t max_failed = 8;       ///< endpoints that are remembered of a failure domain
};

/// What led to the verdict that the paths to a failure domain are lost.
struct path_evidence
{
    std::size_t failed = 0;   ///< endpoints that could not be connected to
    duration failing_for{};   ///< since the first of these failures
    instance_id reached_from; ///< instance that connected to one of them
};

/// Compares the results of this instance's own connection attempts with those of other instances.
///
/// Own failures alone do not tell a lost path from endpoints that have ended or are suspended, so the paths
/// count as lost only once another instance has connected to an endpoint that this one could not reach. They
/// count as regained with the first connection of this instance.
class path_watch
{
public:
    struct hooks
    {
        /// Asks other instances to connect to the endpoint.
        std::function<void(time_point, const endpoint_id&)> query;
        /// Connects to the endpoint directly; the result is passed to `on_connected` or `on_failed`.
        std::function<void(const endpoint_id&)> probe;
        std::function<void(time_point, const failure_domain_id&, const path_evidence&)> lost;
        std::function<void(time_point, const failure_domain_id&, duration lost_for)> regained;
    };

    path_watch(path_watch_options options, hooks to) : options_{options}, hooks_{std::move(to)} {}

    /// A connection of this instance to an endpoint of the failure domain was established.
    void on_connected(time_point now, const failure_domain_id& domain);
    /// A connection of this instance to the endpoint could not be established.
    void on_failed(time_point now, const failure_domain_id& domain, const endpoint_id& endpoint);
    /// Another instance connected to the endpoint.
    void on_peer_connected(time_point now, const instance_id& peer, const endpoint_id& endpoint);

    bool is_lost(const failure_domain_id& domain) const;
    bool is_any_lost() const;
    /// Whether connections fail and none has been established since, whatever the reason.
    bool is_failing(time_point now, const failure_domain_id& domain) const;

    void tick(time_point now);
    std::optional<time_point> next_due() const;

private:
    struct state
    {
        /// Time of the last failure of each endpoint since the last connection that was established.
        std::map<endpoint_id, time_point> failed;
        time_point failing_since{};
        std::optional<time_point> lost_at;
        std::optional<time_point> next_action; ///< query while in doubt, probe while lost
        endpoint_id last_used;                 ///< endpoint of the last query or probe
    };

    void drop_old_failures(time_point now, state& it) const;
    /// Whether the failures may be due to this instance's own paths.
    bool is_doubtful(time_point now, const state& it) const;
    std::size_t count_recent(time_point now, const state& it) const;
    /// The next endpoint after the last one used, so that one that has ended does not decide alone.
    const endpoint_id& next_endpoint(state& it) const;
    void act(time_point now, state& it);

    path_watch_options options_;
    hooks hooks_;
    std::map<failure_domain_id, state> states_; ///< of failure domains with failures
};

} // namespace runlink::paths
