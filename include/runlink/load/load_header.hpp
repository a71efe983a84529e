/// \file
/// The header in which an endpoint states its own load.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace runlink::load
{

/// Load that an endpoint states about itself, as of the time of its response head.
struct stated_load
{
    std::uint32_t running = 0; ///< requests that run
    std::uint32_t waiting = 0; ///< requests in the endpoint's queue
    std::uint32_t slots = 0;   ///< requests that may run at the same time; at least 1
    double pace = 1;           ///< time that work takes now, relative to the usual; above 0

    friend bool operator==(const stated_load&, const stated_load&) = default;
};

/// Parses `running,waiting,slots,pace` with the pace in hundredths, such as `6,2,6,250`. Spaces and tabs may
/// surround the numbers. Returns nothing if a field is missing, malformed or out of range.
std::optional<stated_load> parse_stated_load(std::string_view text);

} // namespace runlink::load
