/// \file
/// Identifies the elements of requests that may crash endpoints: their content, and the parts of their
/// prompts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::crashes
{

/// Hash of the method, host, target and body of a request. Leaves out what callers change when they repeat
/// a request.
using content_hash = core::strong_number<struct content_hash_tag>;

/// Identifies an element of requests, equal at all instances: the content of one client account's requests,
/// or a part of a prompt.
using element_fingerprint = core::strong_number<struct element_fingerprint_tag>;

/// What a request consists of for the endpoints that run it.
struct request_elements
{
    element_fingerprint content;
    std::vector<element_fingerprint> parts; ///< the parts of the prompt that other requests may have too

    request_elements() = default;
    /// A request without a prompt converts from its content.
    request_elements(element_fingerprint of, std::vector<element_fingerprint> shared = {})
        : content{of}, parts{std::move(shared)}
    {
    }

    /// Calls `to` for each element until it returns true; returns whether it did.
    template <class F>
    bool any_of(F to) const
    {
        return to(content) || std::any_of(parts.begin(), parts.end(), to);
    }
    bool contains(element_fingerprint it) const
    {
        return any_of([it](element_fingerprint e) { return e == it; });
    }
    /// The content and then the parts.
    std::vector<element_fingerprint> all() const;
};

content_hash hash_of(std::string_view method, std::string_view host, std::string_view target,
                     std::string_view body);

/// The upper 16 bits are derived from the client account, so that eviction can find the account with the most
/// records.
element_fingerprint fingerprint_of(content_hash content, const core::account_id& account);

/// Identifies a part of a prompt, which requests of several client accounts may share.
element_fingerprint fingerprint_of_part(std::string_view part_id);
bool is_part(element_fingerprint it);

/// The upper 16 bits of a fingerprint, which identify the client account.
std::uint64_t account_part(element_fingerprint it);

/// Formats a fingerprint as 16 hexadecimal digits, for logs and store keys.
std::string to_hex(element_fingerprint it);
/// Parses the output of `to_hex`; returns nothing for any other text.
std::optional<element_fingerprint> from_hex(std::string_view text);

} // namespace runlink::crashes
