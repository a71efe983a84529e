#include "runlink/net/http_framing.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace runlink::net
{
namespace
{

constexpr std::string_view header_end = "\r\n\r\n";
constexpr std::string_view line_end = "\r\n";

std::string lower(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
    return out;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t> parse_length(std::string_view text)
{
    std::uint64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, out);
    if (text.empty() || ec != std::errc{} || stop != end)
        return std::nullopt;
    return out;
}

/// Calls `visit` with the lowercase name and the trimmed value of each field. Stops at the first refusal.
template <class Visit>
std::optional<framing_refusal> each_field(std::string_view header, Visit visit)
{
    for (auto begin = header.find(line_end); begin != std::string_view::npos;)
    {
        begin += line_end.size();
        const auto end = header.find(line_end, begin);
        const auto line = header.substr(begin, end == std::string_view::npos ? end : end - begin);
        begin = end;
        if (line.empty())
            continue;
        const auto colon = line.find(':');
        const bool folded = line.front() == ' ' || line.front() == '\t';
        if (folded || colon == 0 || colon == std::string_view::npos || line[colon - 1] == ' ')
            return framing_refusal{400, "malformed header field"};
        if (const auto refusal = visit(lower(line.substr(0, colon)), trimmed(line.substr(colon + 1))))
            return refusal;
    }
    return std::nullopt;
}

} // namespace

std::optional<framing_refusal> http_framing::on_bytes(std::string_view bytes)
{
    while (!bytes.empty())
    {
        if (state_ == state::running)
            return framing_refusal{400, "a second request before the answer"};
        if (state_ == state::body)
        {
            const auto n = std::min<std::uint64_t>(body_bytes_left_, bytes.size());
            body_bytes_left_ -= n;
            bytes.remove_prefix(n);
            if (body_bytes_left_ == 0)
                state_ = state::running;
            continue;
        }
        state_ = state::header;
        const auto before = header_.size();
        header_ += bytes.substr(0, bounds_.max_header_bytes + 1 - std::min(before, bounds_.max_header_bytes));
        const auto end =
            header_.find(header_end, before < header_end.size() ? 0 : before - header_end.size());
        if (end == std::string::npos)
        {
            if (header_.size() > bounds_.max_header_bytes)
                return framing_refusal{431, "header too large"};
            return std::nullopt;
        }
        bytes.remove_prefix(end + header_end.size() - before);
        header_.resize(end);
        if (const auto refusal = on_header_end())
            return refusal;
    }
    return std::nullopt;
}

std::optional<framing_refusal> http_framing::on_header_end()
{
    std::optional<std::uint64_t> length;
    const auto visit = [&](const std::string& name, std::string_view value) -> std::optional<framing_refusal>
    {
        if (name == "transfer-encoding")
            return framing_refusal{411, "send the body with its length"};
        if (name == "upgrade")
            return framing_refusal{400, "no upgrade here"};
        if (name != "content-length")
            return std::nullopt;
        if (length)
            return framing_refusal{400, "two content lengths"};
        length = parse_length(value);
        if (!length)
            return framing_refusal{400, "malformed content length"};
        if (*length > bounds_.max_body_bytes)
            return framing_refusal{413, "body too large"};
        return std::nullopt;
    };
    if (const auto refusal = each_field(header_, visit))
        return refusal;
    header_.clear();
    body_bytes_left_ = length.value_or(0);
    state_ = body_bytes_left_ > 0 ? state::body : state::running;
    return std::nullopt;
}

void http_framing::on_answered()
{
    state_ = state::idle;
}

} // namespace runlink::net
