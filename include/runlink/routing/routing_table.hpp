/// \file
/// Operators' declarations for forwarded requests: routes, services, client accounts and their keys.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/duties/scale_planner.hpp"
#include "runlink/load/load_options.hpp"
#include "runlink/places/region_map.hpp"
#include "runlink/places/warm_up.hpp"

namespace runlink::routing
{

using core::account_id;
using core::milliseconds;
using core::model_id;
using core::service_id;

/// Whether a request may be repeated, and the form of its answer.
enum class route_kind
{
    safe,      ///< idempotent, with a plain answer
    unsafe,    ///< not idempotent: runs at most once
    streaming, ///< answered with server-sent events
};

/// A service that gets a share of a route's requests, in proportion to its weight.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Destination and limits of the requests for a host and a path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::unsafe;
    milliseconds timeout{30000}; ///< longest total time of a request
    milliseconds target_latency{
        1000}; ///< time to the answer, or its first event, up to which the answer has its full value
    milliseconds target_gap{1000};     ///< longest acceptable pause between two events of a stream
    int priority = 0;                  ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;    ///< number of endpoints that a request may be sent to
    bool is_public = false;            ///< no key is required
    bool has_prompts = false;          ///< requests list the parts of their prompts
    bool resumable = false;            ///< an interrupted stream may be resumed at another endpoint
    std::vector<model_id> model_sizes; ///< smallest first; empty if the caller names the model
    std::vector<weighted_service> services;
    places::allowed_regions regions;

    bool is_idempotent() const { return kind == route_kind::safe || resumable; }
};

/// Price of a model.
struct model_price
{
    model_id model;
    double per_1k_tokens = 0; ///< for generated tokens; prompt tokens cost a quarter
};

/// A group of interchangeable endpoints.
struct service
{
    service_id id;
    std::uint32_t max_connections = 0; ///< per endpoint, over all instances
    bool runs_models = false;
    std::vector<model_price> models;
    places::cold_limit cold;
    load::engine_limits engine{}; ///< of each endpoint, if the service runs models
    /// Set if the number of endpoints is ordered from the platform.
    std::optional<duties::scaling_limits> scaling = std::nullopt;
};

/// A client account and its keys.
struct account
{
    account_id id;
    std::vector<std::string> keys;
    std::optional<int> priority;     ///< overrides the route's priority
    places::allowed_regions regions; ///< apply in addition to the route's
};

/// Limits on callers' requests and connections.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// One version of the declarations. Immutable.
class routing_table
{
public:
    routing_table(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
                  std::vector<account> accounts, caller_limits limits);

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    std::size_t route_count() const { return routes_.size(); }
    std::size_t account_count() const { return accounts_.size(); }
    /// Whether client accounts are declared, so that requests to routes that are not public need a key.
    bool has_accounts() const { return !accounts_.empty(); }

    /// The route of the host with the longest matching path prefix, or null.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// The account that holds a key, or null.
    const account* find_account(const std::string& key) const;
    const service* find_service(const service_id& id) const;
    const std::vector<service>& services() const { return services_; }

private:
    std::uint64_t version_;
    std::vector<route> routes_;
    std::vector<service> services_;
    std::vector<account> accounts_;
    caller_limits limits_;
    std::unordered_map<std::string, std::vector<const route*>> by_host_; ///< longest prefix first
    std::unordered_map<std::string, const account*> by_key_;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

} // namespace runlink::routing
