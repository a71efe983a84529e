/// \file
/// Identifies requests whose content is the same for the endpoints that run them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "runlink/core/ids.hpp"

namespace runlink::crashes
{

/// Hash of the method, host, target and body of a request. Leaves out what callers change when they repeat
/// a request.
using content_hash = core::strong_number<struct content_hash_tag>;

/// Identifies the content of a request of one client account; equal at all instances.
using request_fingerprint = core::strong_number<struct request_fingerprint_tag>;

content_hash hash_of(std::string_view method, std::string_view host, std::string_view target,
                     std::string_view body);

/// The upper 16 bits are derived from the client account, so that eviction can find the account with the most
/// records.
request_fingerprint fingerprint_of(content_hash content, const core::account_id& account);

/// Identifies a part of a prompt, which requests of several client accounts may share.
request_fingerprint fingerprint_of_part(std::string_view part_id);

/// The upper 16 bits of a fingerprint, which identify the client account.
std::uint64_t account_part(request_fingerprint it);

/// Formats a fingerprint as 16 hexadecimal digits, for logs and store keys.
std::string to_hex(request_fingerprint it);
/// Parses the output of `to_hex`; returns nothing for any other text.
std::optional<request_fingerprint> from_hex(std::string_view text);

} // namespace runlink::crashes
