/// \file
/// The entry of an instance in the store.
#pragma once

#include <cstdint>
#include <string>

#include "runlink/core/ids.hpp"

namespace runlink::control
{

/// An instance and the address at which it receives datagrams.
struct peer_entry
{
    core::instance_id id;
    core::failure_domain_id failure_domain;
    std::string host;
    std::uint16_t port = 0;
    std::uint32_t link_mbps = 0; ///< bandwidth of its network link in Mbit/s; 0 if unknown

    friend bool operator==(const peer_entry&, const peer_entry&) = default;
};

} // namespace runlink::control
