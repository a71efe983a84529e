/// \file
/// How instances know each other.
#pragma once

#include <cstdint>
#include <string>

#include "runlink/core/ids.hpp"

namespace runlink::control
{

/// An instance, and where it takes datagrams.
struct peer_entry
{
    core::instance_id id;
    core::failure_domain_id failure_domain;
    std::string host;
    std::uint16_t port = 0;
    std::uint32_t link_mbps = 0; ///< of its link; 0: not known

    friend bool operator==(const peer_entry&, const peer_entry&) = default;
};

} // namespace runlink::control
