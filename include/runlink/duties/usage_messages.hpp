/// \file
/// Counts of requests by reporting window and client account, as instances send and store them.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "runlink/core/ids.hpp"

namespace runlink::duties
{

/// Number of a reporting window: window k begins k window lengths after the start of 1970.
using window_number = core::strong_number<struct window_tag>;

using account_counts = std::map<core::account_id, std::uint64_t>;

/// Running totals of one process for one window. Later totals of the same window replace earlier ones.
struct window_counts
{
    window_number window;
    account_counts accounts;

    friend bool operator==(const window_counts&, const window_counts&) = default;
};

/// Requests that one process has at endpoints, by service.
struct service_load
{
    core::service_id service;
    std::uint32_t running = 0;

    friend bool operator==(const service_load&, const service_load&) = default;
};

/// What an instance sends to the holder of the duties.
struct usage_report
{
    core::instance_id sender;
    core::incarnation_id process; ///< counts begin again with each start of an instance
    std::vector<window_counts> windows;
    std::vector<service_load> loads;
};

} // namespace runlink::duties
