#include "runlink/net/carry_frames.hpp"

#include <algorithm>
#include <array>

namespace runlink::net
{
namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = 1 + length_bytes;
constexpr unsigned bits_per_byte = 8;
constexpr std::uint32_t byte_mask = 0xff;

bool is_known(std::uint8_t type)
{
    return type >= static_cast<std::uint8_t>(carry_frame::connected) &&
           type <= static_cast<std::uint8_t>(carry_frame::closed);
}

std::uint32_t read_length(std::string_view bytes)
{
    std::uint32_t out = 0;
    for (const auto it : bytes)
        out = (out << bits_per_byte) | static_cast<std::uint8_t>(it);
    return out;
}

} // namespace

std::string write_opening(const carry_opening& it)
{
    return it.ticket + " " + it.endpoint + "\n";
}

std::optional<carry_opening> read_opening(std::string_view line)
{
    const auto space = line.find(' ');
    if (space == std::string_view::npos || space == 0 || space + 1 == line.size())
        return std::nullopt;
    return carry_opening{std::string{line.substr(0, space)}, std::string{line.substr(space + 1)}};
}

std::string write_frame(carry_frame type, std::string_view bytes)
{
    std::string out;
    out.reserve(header_bytes + bytes.size());
    out.push_back(static_cast<char>(type));
    const auto length = static_cast<std::uint32_t>(bytes.size());
    for (std::size_t i = length_bytes; i-- > 0;)
        out.push_back(static_cast<char>((length >> (bits_per_byte * i)) & byte_mask));
    out.append(bytes);
    return out;
}

bool is_same_ticket(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i)
        difference |=
            static_cast<unsigned>(static_cast<std::uint8_t>(a[i]) ^ static_cast<std::uint8_t>(b[i]));
    return difference == 0;
}

std::optional<carry_frame_reader::frame> carry_frame_reader::next()
{
    if (is_malformed_)
        return std::nullopt;
    if (data_left_ == 0)
    {
        if (buffer_.size() < header_bytes)
            return std::nullopt;
        const auto type = static_cast<std::uint8_t>(buffer_.front());
        const auto length = read_length(std::string_view{buffer_}.substr(1, length_bytes));
        const bool is_data = type == static_cast<std::uint8_t>(carry_frame::data);
        if (!is_known(type) || (!is_data && length > 0))
        {
            is_malformed_ = true;
            return std::nullopt;
        }
        buffer_.erase(0, header_bytes);
        if (!is_data)
            return frame{static_cast<carry_frame>(type), {}};
        data_left_ = length;
    }
    const auto n = std::min(data_left_, buffer_.size());
    if (n == 0)
        return data_left_ == 0 ? next() : std::nullopt;
    frame out{carry_frame::data, buffer_.substr(0, n)};
    buffer_.erase(0, n);
    data_left_ -= n;
    return out;
}

} // namespace runlink::net
