#include "runlink/gateway/statement_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace runlink::gateway
{
namespace
{

constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
/// Longer rests are shortened to this value, which is far above the lifetime of most endpoints.
constexpr double max_rest_s = 86'400;

/// Parses a finite, non-negative decimal number.
std::optional<double> read_decimal(std::string_view text)
{
    double out = 0;
    const auto [last, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    const bool is_whole = ec == std::errc{} && last == text.data() + text.size();
    return is_whole && std::isfinite(out) && !std::signbit(out) ? std::optional{out} : std::nullopt;
}

/// Value of a header field that holds a decimal number.
struct decimal_field
{
    std::optional<double> value;
    bool is_readable = true; ///< the field is missing, or all its copies hold the same number
};

decimal_field read_field(const net::http_fields& fields, const std::string& name)
{
    decimal_field out;
    for (const auto& it : fields)
    {
        if (!net::same_name(it.name, name))
            continue;
        const auto n = read_decimal(it.value);
        if (!n || (out.value && *out.value != *n))
            return {std::nullopt, false};
        out.value = n;
    }
    return out;
}

/// Parses `running,waiting,slots,pace`; nothing if the text is not of that form.
std::optional<load::load_statement> read_load(std::string_view text)
{
    load::load_statement out;
    auto from = text.data();
    const auto end = from + text.size();
    for (auto* to : {&out.running, &out.waiting, &out.slots, &out.pace})
    {
        if (to != &out.running && (from == end || *from++ != ','))
            return std::nullopt;
        const auto [last, ec] = std::from_chars(from, end, *to);
        if (ec != std::errc{})
            return std::nullopt;
        from = last;
    }
    const bool is_valid = from == end && out.slots > 0 && out.pace > 0;
    return is_valid ? std::optional{out} : std::nullopt;
}

core::duration to_duration(double seconds)
{
    constexpr double us_per_s = 1e6;
    return core::duration{static_cast<core::duration::rep>(std::min(seconds, max_rest_s) * us_per_s)};
}

} // namespace

std::optional<routing::endpoint_statement> read_statement(const header_names& names,
                                                          const net::http_response_head& head,
                                                          const core::request_id& request)
{
    const auto* id = head.fields.find(names.request_id);
    if (id == nullptr || *id != request.str() || head.status == status_misdirected)
        return std::nullopt;
    routing::endpoint_statement out;
    const auto limit = read_field(head.fields, names.limit);
    out.requests_per_s = limit.value;
    out.is_limit_readable = limit.is_readable;
    const auto leaving = read_field(head.fields, names.leaving);
    out.is_leaving = leaving.value == 1;
    out.is_leaving_readable = leaving.is_readable && leaving.value.value_or(0) <= 1;
    const auto brittle = read_field(head.fields, names.brittle);
    out.refusals_per_s = brittle.value;
    out.is_brittle_readable = brittle.is_readable;
    if (const auto* text = head.fields.find(names.load))
    {
        out.load = read_load(*text);
        out.is_load_readable = out.load.has_value();
    }
    if (head.status != status_unavailable)
        return out;
    const auto rest = read_field(head.fields, names.rest);
    if (rest.value)
        out.rest = to_duration(*rest.value);
    out.is_rest_readable = rest.is_readable;
    return out;
}

} // namespace runlink::gateway
