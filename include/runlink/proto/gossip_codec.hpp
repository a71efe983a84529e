/// \file
/// Protobuf serialisation of the datagrams exchanged between forwarding instances.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "runlink/control/relay.hpp"
#include "runlink/control/value_parts.hpp"
#include "runlink/crashes/crash_messages.hpp"
#include "runlink/duties/usage_messages.hpp"
#include "runlink/load/load_digest.hpp"
#include "runlink/paths/reach_messages.hpp"
#include "runlink/places/advertised_limits.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::proto
{

/// Message carried by one datagram; `std::monostate` if there is none.
using datagram =
    std::variant<std::monostate, routing::gossip_message, control::sync_request, control::sync_reply,
                 load::load_digest, crashes::crash_message, places::limit_reports, routing::leaving_notices,
                 duties::usage_report, paths::reach_query, paths::reach_reply, control::part_request,
                 control::value_part>;

std::string encode(const datagram& it);
/// Returns `std::monostate` if the bytes are not a valid datagram or carry no message.
datagram decode_datagram(std::string_view bytes);

} // namespace runlink::proto
