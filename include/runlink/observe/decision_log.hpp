/// \file
/// Structured log: one JSON object per line on a file descriptor. Size and rate are bounded, and writing
/// never blocks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "runlink/core/units.hpp"

namespace runlink::observe
{

/// Priority of a line when the bounds of the log do not admit all lines.
enum class log_rank
{
    routine, ///< dropped first
    notable, ///< failures and state changes
    vital,   ///< decisions that affect all requests; no rate limit applies to them
};

/// Builds one log line: a JSON object with an event name and further members.
class log_line
{
public:
    explicit log_line(std::string_view event);

    log_line& text(std::string_view name, std::string_view value);
    log_line& number(std::string_view name, std::int64_t value);
    /// The complete line, with the closing brace and a newline.
    std::string str() const { return buf_ + "}\n"; }
    const std::string& event() const { return event_; }

private:
    void add_name(std::string_view name);

    std::string event_;
    std::string buf_;
};

/// Bounds of the log's rate and memory.
struct log_options
{
    /// Routine lines are dropped at this many lines of any rank in a second, notable lines at twice this
    /// many.
    std::uint32_t lines_per_second = 400;
    std::size_t max_pending_bytes = 256 * 1024; ///< not accepted by the reader yet; routine lines use half
    std::size_t flush_bytes = 4096;             ///< buffered bytes at which `write` flushes by itself
};

/// Buffers lines and writes as many bytes as the descriptor accepts without blocking. Lines over the bounds
/// are dropped and counted; a `lines_left_out` line reports the number of dropped lines per event.
class decision_log
{
public:
    using clock = std::function<std::int64_t()>; ///< wall-clock time in milliseconds

    /// Switches `fd` to non-blocking mode. The caller keeps ownership of `fd`.
    decision_log(int fd, log_options options, std::string instance, clock wall_ms);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    /// Buffers the line, or drops and counts it if it exceeds the bounds for its rank.
    void write(core::time_point now, const log_line& line, log_rank rank = log_rank::routine);
    /// Writes buffered bytes until the buffer is empty or the descriptor accepts no more.
    void flush();
    /// Number of lines accepted into the buffer since the start.
    std::uint64_t written() const { return written_; }
    /// Number of lines dropped since the start.
    std::uint64_t dropped_lines() const { return dropped_; }

private:
    /// Whether the bounds admit a line of this rank; counts the line if so.
    bool admit(core::time_point now, log_rank rank);
    /// Appends a line with the number of dropped lines per event, and resets these counts.
    void report_dropped_lines();
    void append(const log_line& line);

    int fd_;
    log_options options_;
    std::string instance_;
    clock wall_ms_;
    std::string pending_;
    std::int64_t current_second_ = -1;  ///< the second that `lines_in_second_` refers to
    std::uint32_t lines_in_second_ = 0; ///< lines admitted in the current second
    std::map<std::string, std::uint64_t> dropped_by_event_;
    std::uint64_t written_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace runlink::observe
