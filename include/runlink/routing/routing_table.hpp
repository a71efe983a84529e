/// \file
/// What operators declare for forwarded requests: routes, services, client accounts and their keys.
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
#include "runlink/places/region_map.hpp"
#include "runlink/places/warm_up.hpp"

namespace runlink::routing
{

using core::account_id;
using core::milliseconds;
using core::model_id;
using core::service_id;

/// What may be done with a request again.
enum class route_kind
{
    safe,      ///< idempotent, a plain answer
    unsafe,    ///< at most one run
    streaming, ///< an answer of server-sent events
};

/// A service that gets a part of a route's requests.
struct weighted_service
{
    service_id service;
    std::uint32_t weight = 1;
};

/// Where requests for a host and a path prefix go, and within which bounds.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix;
    route_kind kind = route_kind::unsafe;
    milliseconds timeout{30000};       ///< longest time that a request is held
    milliseconds target_latency{1000}; ///< time to the answer, or to its first event, that earns full benefit
    milliseconds target_gap{1000};     ///< longest pause between two events of a good stream
    int priority = 0;                  ///< 0 is the most urgent
    std::uint32_t max_attempts = 1;    ///< endpoints that one request may be sent to
    bool is_public = false;            ///< needs no key
    bool has_prompts = false;          ///< requests name the parts of their prompts
    bool resumable = false;            ///< a stream may go on at another endpoint
    std::vector<model_id> model_sizes; ///< smallest first; empty where the caller names the model
    std::vector<weighted_service> services;
    places::allowed_regions regions;

    bool is_idempotent() const { return kind == route_kind::safe || resumable; }
};

/// What a model costs.
struct model_price
{
    model_id model;
    double per_1k_tokens = 0; ///< of generated tokens; prompt tokens count a quarter
};

/// A group of interchangeable endpoints.
struct service
{
    service_id id;
    std::uint32_t max_connections = 0; ///< of one endpoint, from all instances
    bool runs_models = false;
    std::vector<model_price> models;
    places::cold_limit cold;
};

/// A client account and its keys.
struct account
{
    account_id id;
    std::vector<std::string> keys;
    std::optional<int> priority;     ///< goes before the route's
    places::allowed_regions regions; ///< bind as well as the route's
};

/// Bounds on what callers may send.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/// One version of the declarations; immutable.
class routing_table
{
public:
    routing_table(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
                  std::vector<account> accounts, caller_limits limits);

    std::uint64_t version() const { return version_; }
    const caller_limits& limits() const { return limits_; }
    std::size_t route_count() const { return routes_.size(); }
    std::size_t account_count() const { return accounts_.size(); }
    /// Whether requests need a key.
    bool has_accounts() const { return !accounts_.empty(); }

    /// The route of that host with the longest prefix of the path, or null.
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
