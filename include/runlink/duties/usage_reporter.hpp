/// \file
/// Reports the usage of each window once: the holder stores a report before it is first sent.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "runlink/core/clock.hpp"
#include "runlink/duties/duty_lease.hpp"
#include "runlink/duties/usage_counter.hpp"

namespace runlink::duties
{

/// The latest reports as they are stored, oldest first. A stored report never changes.
struct usage_record
{
    std::vector<window_counts> reports;
    core::store_revision revision{}; ///< assigned by the store

    friend bool operator==(const usage_record&, const usage_record&) = default;
};

/// Result of a call to the platform.
enum class call_outcome
{
    accepted,
    fenced,     ///< the platform has seen a call with a higher fencing number
    refused,    ///< not carried out, e.g. because of a rate limit
    unanswered, ///< the call may have been carried out, or may be carried out later
};

std::string_view to_string(call_outcome it);

/// Parameters of the reports.
struct report_options
{
    window_options windows;
    /// Part of the allowed lateness that passes before a report is fixed. Counts that arrive later are
    /// missing from it; what remains is for a change of the holder and for repeated calls.
    double wait_share = 0.35;
    /// A new holder fixes no report before the other instances have sent it their counts.
    milliseconds collect_time{1500};
    milliseconds retry_delay{500};
    /// Delay between the storing of a report and its first call, in which the other instances learn of the
    /// report. They write it again if the store loses it.
    milliseconds spread_time{1000};
    std::size_t max_stored = 4; ///< reports kept in the record
};

/// Actions of the reporter.
struct report_hooks
{
    std::function<bool(time_point)> may_act; ///< whether this instance holds the duty
    std::function<account_counts(window_number)> sum;
    /// Writes the record if the stored one is at its `revision`.
    std::function<void(const usage_record&, std::function<void(write_result)>)> write;
    std::function<void(const window_counts&, std::function<void(call_outcome)>)> send;
    core::clock_source now;
    /// A report was fixed, or a call returned.
    std::function<void(time_point, std::string_view event, const window_counts&, std::string_view result)>
        log = [](auto, auto, const auto&, auto) {};
};

/// Fixes and sends reports, one step at a time.
///
/// The counts of a window are written to the store under a condition before the first call, so that all calls
/// for a window carry the same counts, whichever instance sends them. Windows are fixed in order; a window
/// that no holder fixed in time is never reported.
class usage_reporter
{
public:
    usage_reporter(report_options options, report_hooks hooks);
    usage_reporter(const usage_reporter&) = delete;
    usage_reporter& operator=(const usage_reporter&) = delete;

    /// The store holds this record. Reports that it lacks after a return of the store from a copy are kept
    /// and written again.
    void on_record(time_point now, const usage_record& it);
    /// The store has returned from a copy without a record.
    void on_record_lost(time_point now);
    /// Delay between the loss of reports and their restoring, different for each instance.
    void set_restore_delay(milliseconds it) { restore_delay_ = it; }
    /// The store has been listed, so that a missing record is known to be missing.
    void on_listed() { is_listed_ = true; }
    /// This instance has acquired the duty.
    void on_acquired(time_point now) { fix_from_ = now + options_.collect_time; }
    /// To be called from the start, also without the duty.
    void tick(time_point now, wall_time wall);
    /// The next time to call `tick`, while this instance holds the duty.
    std::optional<time_point> next_due() const { return next_step_; }
    /// When lost reports are written again; also without the duty.
    std::optional<time_point> restore_due() const { return restore_at_; }
    /// Windows whose report the platform has accepted from this process.
    std::size_t accepted_count() const { return accepted_total_; }

private:
    /// Writes reports again that the store has lost.
    void restore(time_point now);
    /// The latest window that ended long enough ago and has no report; nothing if there is none.
    std::optional<window_number> window_to_fix(wall_time wall) const;
    void fix(time_point now, window_number window);
    void on_fixed(const usage_record& next, write_result result);
    /// The oldest stored report that can still be sent.
    const window_counts* report_to_send(time_point now, wall_time wall) const;
    void send(const window_counts& it);
    void on_sent(const window_counts& it, call_outcome result);

    report_options options_;
    report_hooks hooks_;
    usage_record record_;
    std::optional<time_point> restore_at_;
    milliseconds restore_delay_{0};
    std::set<window_number> settled_;           ///< accepted, or too late
    std::optional<window_number> first_window_; ///< in which this process started
    std::optional<time_point> next_step_;
    time_point fix_from_{};
    time_point send_from_{};
    std::size_t accepted_total_ = 0;
    bool is_listed_ = false;
    bool is_busy_ = false;
};

} // namespace runlink::duties
