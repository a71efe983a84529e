/// \file
/// What the name of an object may hold.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace runlink::core
{

inline constexpr std::size_t max_name_bytes = 256;

/// Whether the text may name an endpoint, instance, service, version, model, client account or failure
/// domain: 1 to `max_name_bytes` bytes without control characters, and without blanks at its ends. Such a
/// text can be the value of an HTTP header field.
inline bool is_name(std::string_view it)
{
    const auto is_control = [](unsigned char c) { return c < ' ' || c == 0x7f; };
    return !it.empty() && it.size() <= max_name_bytes && it.front() != ' ' && it.back() != ' ' &&
           std::none_of(it.begin(), it.end(), is_control);
}

} // namespace runlink::core
