/// \file
/// An endpoint as the store lists it.
#pragma once

#include <cstdint>
#include <string>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::routing
{

using core::duration;
using core::endpoint_id;
using core::endpoint_incarnation;
using core::endpoint_name;
using core::failure_domain_id;
using core::milliseconds;
using core::service_id;
using core::time_point;
using core::version_id;

/// The id of one incarnation of an endpoint, from its start to its end. Loads, failures, cached prompts and
/// roll-out evidence are stored under this id, so that a restarted endpoint begins without them. The id
/// of incarnation 0 is the name itself.
endpoint_id endpoint_id_of(const endpoint_name& name, endpoint_incarnation incarnation);

/// One incarnation of an endpoint.
struct endpoint_entry
{
    endpoint_id id; ///< see `endpoint_id_of`
    endpoint_name name;
    endpoint_incarnation incarnation;
    service_id service;
    std::string host; ///< an IP address
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    version_id version; ///< of its software or model weights
    std::uint32_t slots = 1;
    bool leaving = false;    ///< shutting down, takes no new work
    milliseconds cold_for{}; ///< remaining warm-up with reduced load, as of the writing of the entry

    friend bool operator==(const endpoint_entry&, const endpoint_entry&) = default;
};

} // namespace runlink::routing
