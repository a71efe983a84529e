/// \file
/// The operators' configuration: accounts, models, versions, pools and services.
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

/// Where a version stands in its life.
enum class version_state
{
    rolling_out, ///< takes its share of new sessions
    serving,     ///< takes new sessions
    retiring,    ///< serves old sessions only
    withdrawn,   ///< takes no work at all
};

std::string_view to_string(version_state it);

/// One version of a model.
struct version_settings
{
    version_id id;
    version_state state = version_state::serving;
    std::uint32_t share_percent = 100; ///< of new sessions, while rolling out
    micro_cost cost_per_1k_tokens{};

    friend bool operator==(const version_settings&, const version_settings&) = default;
};

/// A model and its versions.
struct model_settings
{
    model_id id;
    std::vector<version_settings> versions;
    /// Cheaper models that may answer first, cheapest first.
    std::vector<model_id> cascade;
    /// Part of the answers that must be good, in percent.
    std::uint32_t quality_target_percent = 95;
    /// Whether the guard may stop the last version that is left, so that requests are refused.
    bool stop_last_version = false;

    const version_settings* find(const version_id& id) const;
    friend bool operator==(const model_settings&, const model_settings&) = default;
};

/// What a client account may use and how much.
struct account_settings
{
    account_id id;
    std::vector<std::string> key_hashes; ///< SHA-256 of each bearer key, in hexadecimal
    std::vector<std::string> allow;      ///< `model/version` or `model/*`
    std::vector<service_id> services;
    request_class default_class{"standard"};
    double requests_per_second = 0;  ///< 0: no limit
    std::uint32_t max_in_flight = 0; ///< 0: no limit

    bool allows(const version_ref& it) const;
    bool allows_service(const service_id& it) const;
    friend bool operator==(const account_settings&, const account_settings&) = default;
};

/// A process that runs requests.
struct endpoint_settings
{
    endpoint_id id;
    std::string host; ///< IP number
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    std::vector<version_ref> versions; ///< empty for a plain service
    std::uint32_t capacity = 16;       ///< requests at once
    bool leaving = false;

    bool serves(const version_ref& it) const;
    friend bool operator==(const endpoint_settings&, const endpoint_settings&) = default;
};

/// Endpoints of one kind.
struct pool_settings
{
    pool_id id;
    std::vector<endpoint_settings> endpoints;
    /// HTTP statuses by which its endpoints say that they have not started the request.
    std::vector<int> not_started_statuses{429, 503};
    bool checks_fencing = false;

    friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

/// A plain service behind the router.
struct service_settings
{
    service_id id;
    pool_id pool;

    friend bool operator==(const service_settings&, const service_settings&) = default;
};

/// Everything that the operators declare, under one revision.
struct configuration
{
    std::string deployment;
    config_revision revision{};
    std::string operation_id; ///< of the plan that made this revision
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

/// Whether the guard may stop a version: another one is left for new sessions, or the model says that none
/// need be.
bool may_be_stopped(const configuration& it, const version_ref& version);

/// Reads a configuration strictly: unknown fields, wrong types and dangling names are failures
/// (`configuration_invalid`) whose detail holds the path of each fault, one a line.
result<configuration> parse_configuration(std::string_view json);

/// Writes a configuration so that `parse_configuration` reads the same one.
std::string print_configuration(const configuration& it);

} // namespace runlink::core
