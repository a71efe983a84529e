/// \file
/// The settings of one instance.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/instance.hpp"
#include "runlink/net/http_framing.hpp"
#include "runlink/net/store_client.hpp"

namespace runlink::app
{

/// An IP address and a port.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;

    std::string str() const { return host + ":" + std::to_string(port); }
};

/// Parses `ip:port`; returns nothing when the text is malformed.
std::optional<host_port> parse_host_port(std::string_view text);

/// The settings file of an instance.
struct settings
{
    std::string deployment;
    core::instance_id id;
    core::failure_domain_id failure_domain;
    host_port callers;              ///< address to listen on for HTTP; port 0 selects any free port
    host_port peers;                ///< address to listen on for other instances
    std::vector<std::string> seeds; ///< `ip:port` of other instances to contact at the start
    std::uint32_t expected_instances = 1;
    net::store_address store;
    std::optional<host_port> platform; ///< address of the instance list and rating service
    /// Name of the environment variable that holds the secrets, separated by commas, newest first.
    std::string secrets_environment;
    /// SHA-256 digests of operators' keys, valid in addition to those of the configuration.
    std::vector<std::string> operator_key_hashes;
    /// Time in a planned stop for the load balancer to notice that the instance is not ready.
    core::milliseconds balancer_wait{2000};
    core::milliseconds tick{10}; ///< interval between calls of `core::instance::tick`
    std::uint64_t ledger_partitions = 16;
    double ledger_writes_per_second = 200; ///< limit for the whole deployment
    std::string log_level = "info";
    net::http_bounds bounds;
};

/// Parses settings and rejects unknown fields. Fails with `settings_invalid`; the detail lists every fault
/// with its JSON path.
core::result<settings> parse_settings(std::string_view json);
/// Parses a settings file. Fails like `parse_settings`, also when the file cannot be read.
core::result<settings> load_settings(const std::string& path);

/// Converts settings to the options of a `core::instance`.
core::instance_options instance_options_of(const settings& it);

} // namespace runlink::app
