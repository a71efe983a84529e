#include "runlink/observe/decision_log.hpp"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace runlink::observe
{
namespace
{

void append_escaped(std::string& to, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned first_printable = 0x20;
    for (const char c : text)
    {
        const auto n = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            to.append({'\\', c});
        else if (n < first_printable)
            to.append("\\u00").append({digits[n >> 4U], digits[n & 0xfU]});
        else
            to += c;
    }
}

} // namespace

log_line::log_line(std::string_view event) : event_{event}
{
    buf_.reserve(320);
    buf_.append("\"event\":\"").append(event).append("\"");
}

void log_line::add_name(std::string_view name)
{
    buf_.append(",\"").append(name).append("\":");
}

log_line& log_line::text(std::string_view name, std::string_view value)
{
    add_name(name);
    buf_ += '"';
    append_escaped(buf_, value);
    buf_ += '"';
    return *this;
}

log_line& log_line::number(std::string_view name, std::int64_t value)
{
    add_name(name);
    buf_.append(std::to_string(value));
    return *this;
}

decision_log::decision_log(int fd, log_options options, std::string instance, clock wall_ms)
    : fd_{fd}, options_{options}, instance_{std::move(instance)}, wall_ms_{std::move(wall_ms)}
{
    // A reader that stops reading must not block the process.
    const int flags = fcntl(fd_, F_GETFL);
    if (flags >= 0)
        (void)fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
}

decision_log::~decision_log()
{
    flush();
}

bool decision_log::admit(core::time_point now, log_rank rank)
{
    const auto second = std::chrono::floor<core::seconds>(now).time_since_epoch().count();
    if (second != current_second_)
    {
        current_second_ = second;
        lines_in_second_ = 0;
        report_dropped_lines();
    }
    const auto share = rank == log_rank::routine ? 1 : 2;
    const auto room = options_.max_pending_bytes / 2 * static_cast<std::size_t>(share);
    if (pending_.size() >= room)
        return false;
    if (rank != log_rank::vital &&
        lines_in_second_ >= options_.lines_per_second * static_cast<std::uint32_t>(share))
        return false;
    ++lines_in_second_;
    return true;
}

void decision_log::append(const log_line& line)
{
    pending_.append("{\"t_ms\":").append(std::to_string(wall_ms_()));
    pending_.append(",\"instance\":\"").append(instance_).append("\",").append(line.str());
    ++written_;
}

void decision_log::report_dropped_lines()
{
    if (dropped_by_event_.empty())
        return;
    log_line line{"lines_left_out"};
    for (const auto& [event, n] : dropped_by_event_)
        line.number(event, static_cast<std::int64_t>(n));
    dropped_by_event_.clear();
    append(line);
}

void decision_log::write(core::time_point now, const log_line& line, log_rank rank)
{
    if (!admit(now, rank))
    {
        ++dropped_;
        ++dropped_by_event_[line.event()];
        return;
    }
    append(line);
    if (pending_.size() >= options_.flush_bytes)
        flush();
}

void decision_log::flush()
{
    while (!pending_.empty())
    {
        const auto n = ::write(fd_, pending_.data(), pending_.size());
        if (n > 0)
            pending_.erase(0, static_cast<std::size_t>(n));
        else if (errno != EINTR)
            return; // the reader accepts no more for now; `max_pending_bytes` bounds the buffer
    }
}

} // namespace runlink::observe
