#include "runlink/crashes/element_fingerprint.hpp"

#include <charconv>
#include <cstdio>

#include "runlink/core/hash.hpp"

namespace runlink::crashes
{
namespace
{

constexpr unsigned account_shift = 48;
constexpr std::uint64_t content_mask = (std::uint64_t{1} << account_shift) - 1;

/// The upper bits of all parts, which belong to no client account.
std::uint64_t part_owner()
{
    return core::stable_hash("prompt part") << account_shift;
}

} // namespace

std::vector<element_fingerprint> request_elements::all() const
{
    std::vector<element_fingerprint> out{content};
    out.insert(out.end(), parts.begin(), parts.end());
    return out;
}

content_hash hash_of(std::string_view method, std::string_view host, std::string_view target,
                     std::string_view body)
{
    auto out = core::stable_hash(method);
    for (const auto it : {host, target, body})
        out = core::stable_hash(it, out);
    return content_hash{out};
}

element_fingerprint fingerprint_of(content_hash content, const core::account_id& account)
{
    const auto owner = core::stable_hash(account.str()) << account_shift;
    return element_fingerprint{owner | (content.value() & content_mask)};
}

element_fingerprint fingerprint_of_part(std::string_view part_id)
{
    return element_fingerprint{part_owner() | (core::stable_hash(part_id) & content_mask)};
}

bool is_part(element_fingerprint it)
{
    return account_part(it) == part_owner() >> account_shift;
}

std::uint64_t account_part(element_fingerprint it)
{
    return it.value() >> account_shift;
}

std::string to_hex(element_fingerprint it)
{
    char out[17];
    std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(it.value()));
    return out;
}

std::optional<element_fingerprint> from_hex(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int base = 16;
    std::uint64_t n = 0;
    const auto [last, ec] = std::from_chars(text.data(), text.data() + text.size(), n, base);
    if (text.size() != digits || ec != std::errc{} || last != text.data() + text.size())
        return std::nullopt;
    return element_fingerprint{n};
}

} // namespace runlink::crashes
