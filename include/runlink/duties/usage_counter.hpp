/// \file
/// Counts the requests of one process by reporting window and client account.
#pragma once

#include <map>
#include <vector>

#include "runlink/duties/usage_messages.hpp"
#include "runlink/duties/wall_time_estimate.hpp"

namespace runlink::duties
{

/// Length and lateness of reporting windows.
struct window_options
{
    core::milliseconds length{5000};
    core::milliseconds max_lateness{10'000}; ///< a report is due this long after the end of its window

    window_number window_at(wall_time at) const
    {
        return window_number{static_cast<std::uint64_t>(at / length)};
    }
    wall_time end_of(window_number it) const
    {
        return length * static_cast<core::milliseconds::rep>(it.value() + 1);
    }
    /// Windows that end up to this time can no longer be reported.
    wall_time expired_end(wall_time at) const { return at - max_lateness; }
};

/// Totals of the windows that can still be reported.
class usage_counter
{
public:
    explicit usage_counter(window_options options) : options_{options} {}

    /// A request of the account began to run.
    void count(wall_time at, const core::account_id& account);
    /// The totals of all windows that can still be reported.
    std::vector<window_counts> totals(wall_time at);

private:
    window_options options_;
    std::map<window_number, account_counts> windows_;
};

/// Totals of all processes.
class usage_collector
{
public:
    explicit usage_collector(window_options options) : options_{options} {}

    /// Takes the totals of a process. Repeated and reordered reports have no further effect, since totals
    /// only grow.
    void on_report(wall_time at, const usage_report& it);
    /// The sum over all processes for a window.
    account_counts sum(window_number it) const;

private:
    window_options options_;
    std::map<window_number, std::map<core::incarnation_id, account_counts>> windows_;
};

} // namespace runlink::duties
