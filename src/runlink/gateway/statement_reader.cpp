#include "runlink/gateway/statement_reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace runlink::gateway
{
namespace
{

constexpr int status_misdirected = 421;

/// A decimal number that is not negative.
std::optional<double> read_decimal(std::string_view text)
{
    double out = 0;
    const auto [last, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    const bool is_whole = ec == std::errc{} && last == text.data() + text.size();
    return is_whole && std::isfinite(out) && !std::signbit(out) ? std::optional{out} : std::nullopt;
}

/// A field that is there: one readable number, in however many copies.
std::optional<double> read_number(const net::http_fields& fields, const std::string& name)
{
    std::optional<double> out;
    for (const auto& it : fields)
    {
        if (!net::same_name(it.name, name))
            continue;
        const auto n = read_decimal(it.value);
        if (!n || (out && *out != *n))
            return std::nullopt;
        out = n;
    }
    return out;
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
    out.requests_per_s = read_number(head.fields, names.limit);
    out.is_limit_readable = out.requests_per_s || head.fields.find(names.limit) == nullptr;
    return out;
}

} // namespace runlink::gateway
