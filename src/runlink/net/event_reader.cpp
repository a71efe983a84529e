#include "runlink/net/event_reader.hpp"

#include <algorithm>
#include <charconv>

namespace runlink::net
{
namespace
{

constexpr std::size_t max_event_bytes = 1024 * 1024;

/// The end of the first whole event at or behind `from`, or npos.
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
    rest_.append(bytes);
    std::size_t begin = 0;
    while (true)
    {
        const auto end = event_end(rest_, std::max(begin, searched_));
        if (end == std::string::npos)
            break;
        const auto event = std::string_view{rest_}.substr(begin, end - begin);
        begin = end;
        searched_ = end;
        visit_(event, event_id_of(event));
    }
    rest_.erase(0, begin);
    constexpr std::size_t longest_end = 2; // bytes of an unfinished blank line
    searched_ = rest_.size() > longest_end ? rest_.size() - longest_end : 0;
    return rest_.size() <= max_event_bytes;
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
