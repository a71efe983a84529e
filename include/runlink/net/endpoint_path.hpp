/// \file
/// The way to an endpoint: directly, or over a connection that another instance carries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace runlink::net
{

/// An IP address and a port.
struct peer_address
{
    std::string host;
    std::uint16_t port = 0;

    std::string str() const { return host + ":" + std::to_string(port); }
    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

/// Where another instance accepts connections to carry, and what it has to be told.
struct carrier_address
{
    peer_address address;
    std::string ticket;   ///< given out by the other instance
    std::string endpoint; ///< id of the endpoint, which the other instance looks up itself

    friend auto operator<=>(const carrier_address&, const carrier_address&) = default;
};

/// An endpoint's address, with the carrier if it is not connected to directly.
struct endpoint_path
{
    peer_address endpoint;
    std::optional<carrier_address> via;

    // Implicit: an address alone is the direct path.
    endpoint_path(peer_address to) : endpoint{std::move(to)} {} // NOLINT(google-explicit-constructor)
    endpoint_path(std::string host, std::uint16_t port) : endpoint{std::move(host), port} {}
    endpoint_path(peer_address to, std::optional<carrier_address> by)
        : endpoint{std::move(to)}, via{std::move(by)}
    {
    }
    friend auto operator<=>(const endpoint_path&, const endpoint_path&) = default;
};

} // namespace runlink::net
