#include "runlink/core/session_token.hpp"

#include <utility>

namespace runlink::core
{
namespace
{

constexpr char separator = '~';
constexpr std::string_view prefix = "s1";
constexpr std::size_t field_count = 6;
constexpr std::size_t max_token_size = 1024;

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> out;
    std::size_t begin = 0;
    for (auto end = text.find(separator); end != std::string_view::npos; end = text.find(separator, begin))
    {
        out.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    out.emplace_back(text.substr(begin));
    return out;
}

std::string payload_of(const session_pin& it)
{
    std::string out{prefix};
    for (const auto& field :
         {it.account.str(), it.version.model.str(), it.version.version.str(), it.session.str()})
        out += separator + field;
    return out;
}

} // namespace

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t n = 0; n < a.size(); ++n)
        difference |= static_cast<unsigned char>(a[n]) ^ static_cast<unsigned char>(b[n]);
    return difference == 0;
}

session_tokens::session_tokens(std::vector<std::string> secrets, mac_function mac)
    : secrets_{std::move(secrets)}, mac_{std::move(mac)}
{
}

std::string session_tokens::issue(const session_pin& pin) const
{
    const auto payload = payload_of(pin);
    return payload + separator + mac_(secrets_.front(), payload);
}

result<session_pin> session_tokens::verify(std::string_view token) const
{
    const failure invalid{errc::session_token_invalid, "Runlink-Session"};
    const auto fields = token.size() <= max_token_size ? split(token) : std::vector<std::string>{};
    if (fields.size() != field_count || fields[0] != prefix)
        return invalid;
    const session_pin pin{
        account_id{fields[1]}, {model_id{fields[2]}, version_id{fields[3]}}, session_id{fields[4]}};
    const auto payload = payload_of(pin);
    for (const auto& it : secrets_)
        if (equal_in_constant_time(fields[5], mac_(it, payload)))
            return pin;
    return invalid;
}

} // namespace runlink::core
