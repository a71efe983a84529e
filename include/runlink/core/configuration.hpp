/// \file
/// The operator's configuration: client accounts, models, versions, pools and services.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::core
{

/// Stage in the life cycle of a version.
enum class version_state
{
    rolling_out, ///< gets `share_percent` of the new sessions
    serving,     ///< gets new sessions
    retiring,    ///< serves existing sessions only
    withdrawn,   ///< gets no requests
};

std::string_view to_string(version_state it);

/// One version of a model.
struct version_settings
{
    version_id id;
    version_state state = version_state::serving;
    std::uint32_t share_percent = 100; ///< share of new sessions while rolling out, 0 to 100
    micro_cost cost_per_1k_tokens{};

    friend bool operator==(const version_settings&, const version_settings&) = default;
};

/// A model and its versions.
struct model_settings
{
    model_id id;
    std::vector<version_settings> versions;
    /// Cheaper models that are tried before this one, cheapest first.
    std::vector<model_id> cascade;
    /// Minimum share of good answers, in percent.
    std::uint32_t quality_target_percent = 95;
    /// Whether the guard may stop the last remaining version. Requests for the model are then refused.
    bool stop_last_version = false;

    const version_settings* find(const version_id& id) const;
    friend bool operator==(const model_settings&, const model_settings&) = default;
};

/// Permissions and limits of a client account.
struct account_settings
{
    account_id id;
    std::vector<std::string> key_hashes; ///< SHA-256 of each bearer key, in lower-case hexadecimal
    std::vector<std::string> allow;      ///< `model/version` or `model/*`
    std::vector<service_id> services;
    request_class default_class{"standard"};
    double requests_per_second = 0;  ///< 0: no limit
    std::uint32_t max_in_flight = 0; ///< 0: no limit

    bool allows(const version_ref& it) const;
    bool allows_service(const service_id& it) const;
    friend bool operator==(const account_settings&, const account_settings&) = default;
};

/// An endpoint: a back-end process that serves requests.
struct endpoint_settings
{
    endpoint_id id;
    std::string host; ///< IP address
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    std::vector<version_ref> versions; ///< empty for a plain service
    std::uint32_t capacity = 16;       ///< maximum number of concurrent requests
    bool leaving = false;              ///< gets no new requests, since it is to be removed

    bool serves(const version_ref& it) const;
    friend bool operator==(const endpoint_settings&, const endpoint_settings&) = default;
};

/// A group of interchangeable endpoints.
struct pool_settings
{
    pool_id id;
    std::vector<endpoint_settings> endpoints;
    /// HTTP status codes that mean that the endpoint has not started the request.
    std::vector<int> not_started_statuses{429, 503};
    bool checks_fencing = false; ///< its endpoints reject orders with an outdated fencing number

    friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

/// A plain HTTP service behind the router, without models and versions.
struct service_settings
{
    service_id id;
    pool_id pool;

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

/// All settings declared by the operators, at one revision.
struct configuration
{
    std::string deployment;
    config_revision revision{};
    std::string operation_id; ///< of the plan that created this revision
    std::vector<std::string> operator_key_hashes;
    std::vector<account_settings> accounts;
    std::vector<model_settings> models;
    std::vector<pool_settings> pools;
    std::vector<service_settings> services;

    const account_settings* find_account(const account_id& id) const;
    const account_settings* find_account_by_key_hash(std::string_view hash) const;
    const model_settings* find_model(const model_id& id) const;
    const version_settings* find_version(const version_ref& it) const;
    const service_settings* find_service(const service_id& id) const;
    const pool_settings* find_pool(const pool_id& id) const;
    const pool_settings* pool_of(const endpoint_id& id) const;

    friend bool operator==(const configuration&, const configuration&) = default;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// Whether the guard may stop a version: the model has another version that is not withdrawn, or sets
/// `stop_last_version`.
bool may_be_stopped(const configuration& it, const version_ref& version);

/// Parses a configuration strictly. Unknown fields, wrong types and references to missing names fail with
/// `configuration_invalid`; the detail lists each fault with its path, one per line.
result<configuration> parse_configuration(std::string_view json);

/// Serialises a configuration as JSON. `parse_configuration` of the result returns an equal configuration.
std::string print_configuration(const configuration& it);

} // namespace runlink::core
