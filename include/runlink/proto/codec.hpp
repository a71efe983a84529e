/// \file
/// Protobuf serialisation of peer messages and of the data that the ledger stores.
#pragma once

#include <string>
#include <string_view>

#include "runlink/core/ledger_types.hpp"
#include "runlink/core/peer_messages.hpp"

namespace runlink::proto
{

std::string encode(const core::peer_envelope& it);
/// Fails with `malformed_request` if the bytes are not a valid envelope.
core::result<core::peer_envelope> decode(std::string_view bytes);

/// Protobuf codec for ledger segments, checkpoint headers and records. Decoding malformed bytes fails with
/// `internal`.
core::ledger_codec make_ledger_codec();

} // namespace runlink::proto
