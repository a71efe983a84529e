#include "runlink/net/event_reader.hpp"

#include <algorithm>
#include <charconv>

namespace runlink::net
{
namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;

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
    constexpr std::string_view name = "id:";
    std::size_t at = 0;
    while (at < event.size())
    {
        const auto end = std::min(event.find('\n', at), event.size());
        auto line = event.substr(at, end - at);
        at = end + 1;
        if (line.substr(0, name.size()) != name)
            continue;
        line.remove_prefix(name.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t n = 0;
        const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), n);
        return ec == std::errc{} ? std::optional{n} : std::nullopt;
    }
    return std::nullopt;
}

} // namespace runlink::net
