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

/// An IP number and a port.
struct host_port
{
    std::string host;
    std::uint16_t port = 0;

    std::string str() const { return host + ":" + std::to_string(port); }
};

/// Reads `ip:port`.
std::optional<host_port> parse_host_port(std::string_view text);

/// What the settings file of an instance holds.
struct settings
{
    std::string deployment;
    core::instance_id id;
    core::failure_domain_id failure_domain;
    host_port callers; ///< port 0: any free one
    host_port peers;
    std::vector<std::string> seeds;
    std::uint32_t expected_instances = 1;
    net::store_address store;
    std::optional<host_port> platform; ///< instance list and rating service
    std::string secrets_environment; ///< environment variable with the secrets, newest first, split by commas
    std::vector<std::string> operator_key_hashes; ///< valid besides those of the configuration
    core::milliseconds balancer_wait{2000};
    core::milliseconds tick{10};
    std::uint64_t ledger_partitions = 16;
    double ledger_writes_per_second = 200; ///< of the whole deployment
    std::string log_level = "info";
    net::http_bounds bounds;
};

/// Reads settings strictly. Fails with `settings_invalid`; the detail holds every fault with its path.
core::result<settings> parse_settings(std::string_view json);
/// Reads settings from a file.
core::result<settings> load_settings(const std::string& path);

/// The parameters of the instance that the settings describe.
core::instance_options instance_options_of(const settings& it);

} // namespace runlink::app
