#include "runlink/net/event_reader.hpp"

#include <algorithm>
#include <charconv>

namespace runlink::net
{
namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;
constexpr std::string_view id_field = "id";
constexpr std::string_view data_field = "data";

/// The next line of an event without its end, which is removed from `event`.
std::string_view take_line(std::string_view& event)
{
    const auto end = std::min(event.find('\n'), event.size());
    auto out = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (out.ends_with('\r'))
        out.remove_suffix(1);
    return out;
}

/// The value of a line with this field; nothing for another line.
std::optional<std::string_view> value_of(std::string_view line, std::string_view field)
{
    if (!line.starts_with(field))
        return std::nullopt;
    line.remove_prefix(field.size());
    if (line.empty())
        return line;
    if (line.front() != ':')
        return std::nullopt;
    line.remove_prefix(1);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

/// Returns the position after the blank line that ends the first complete event at or after `from`, or npos.
std::size_t event_end(std::string_view bytes, std::size_t from)
{
    for (auto at = bytes.find('\n', from); at != std::string_view::npos; at = bytes.find('\n', at + 1))
    {
        auto next = at + 1;
        if (next < bytes.size() && bytes[next] == '\r')
            ++next;
        if (next < bytes.size() && bytes[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

} // namespace

bool event_reader::feed(std::string_view bytes)
{
    incomplete_event_.append(bytes);
    std::size_t begin = 0;
    while (true)
    {
        const auto end = event_end(incomplete_event_, std::max(begin, search_position_));
        if (end == std::string::npos)
            break;
        const auto event = std::string_view{incomplete_event_}.substr(begin, end - begin);
        begin = end;
        search_position_ = end;
        visit_(event, event_id_of(event));
    }
    incomplete_event_.erase(0, begin);
    // A blank line may be split between two calls: the search resumes before its possible first bytes.
    constexpr std::size_t max_partial_end_bytes = 2;
    search_position_ = incomplete_event_.size() > max_partial_end_bytes
                           ? incomplete_event_.size() - max_partial_end_bytes
                           : 0;
    return incomplete_event_.size() <= max_event_bytes;
}

std::optional<std::uint64_t> event_id_of(std::string_view event)
{
    std::optional<std::uint64_t> out;
    while (!event.empty())
    {
        const auto value = value_of(take_line(event), id_field);
        if (!value)
            continue;
        std::uint64_t n = 0;
        const auto* end = value->data() + value->size();
        const auto [last, ec] = std::from_chars(value->data(), end, n);
        if (out || ec != std::errc{} || last != end)
            return std::nullopt;
        out = n;
    }
    return out;
}

bool is_comment(std::string_view event)
{
    while (!event.empty())
    {
        const auto line = take_line(event);
        if (value_of(line, id_field) || value_of(line, data_field))
            return false;
    }
    return true;
}

} // namespace runlink::net
