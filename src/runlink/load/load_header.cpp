#include "runlink/load/load_header.hpp"

#include <array>
#include <charconv>
#include <system_error>

namespace runlink::load
{
namespace
{

constexpr double hundredths = 100;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [last, ec] = std::from_chars(text.data(), end, out);
    return ec == std::errc{} && last == end ? std::optional{out} : std::nullopt;
}

} // namespace

std::optional<stated_load> parse_stated_load(std::string_view text)
{
    std::array<std::uint32_t, 4> fields{};
    for (std::size_t n = 0; n < fields.size(); ++n)
    {
        const auto comma = text.find(',');
        const bool is_last = n + 1 == fields.size();
        if (is_last != (comma == std::string_view::npos))
            return std::nullopt;
        const auto number = parse_number(trimmed(text.substr(0, comma)));
        if (!number)
            return std::nullopt;
        fields.at(n) = *number;
        if (!is_last)
            text.remove_prefix(comma + 1);
    }
    const auto [running, waiting, slots, pace] = fields;
    if (slots == 0 || pace == 0)
        return std::nullopt;
    return stated_load{running, waiting, slots, pace / hundredths};
}

} // namespace runlink::load
