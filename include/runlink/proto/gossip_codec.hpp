/// \file
/// Datagrams between forwarding instances as bytes.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "runlink/control/relay.hpp"
#include "runlink/crashes/crash_messages.hpp"
#include "runlink/places/advertised_limits.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/load_digest.hpp"

namespace runlink::proto
{

/// What one datagram holds; empty for bytes that are no message.
using datagram = std::variant<std::monostate, routing::gossip_message, control::sync_request,
                              control::sync_reply, routing::load_digest, crashes::crash_message,
                              places::limit_reports, routing::leaving_notices>;

std::string encode(const datagram& it);
datagram decode_datagram(std::string_view bytes);

} // namespace runlink::proto
