/// \file
/// Datagrams between forwarding instances as bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "runlink/routing/gossip_messages.hpp"

namespace runlink::proto
{

std::string encode(const routing::gossip_message& it);
/// Nothing for bytes that are no message.
std::optional<routing::gossip_message> decode_gossip(std::string_view bytes);

} // namespace runlink::proto
