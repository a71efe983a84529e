/// \file
/// Session tokens: they hold the signed version of a session, so that instances need not store it.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"

namespace runlink::core
{

/// Computes a message authentication code of a text, as hexadecimal digits.
using mac_function = std::function<std::string(std::string_view secret, std::string_view text)>;

/// Contents of a session token.
struct session_pin
{
    account_id account;
    version_ref version;
    session_id session;

    friend bool operator==(const session_pin&, const session_pin&) = default;
};

/// Signs and verifies session tokens. The first secret signs; tokens signed with any of the secrets are
/// valid.
class session_tokens
{
public:
    session_tokens(std::vector<std::string> secrets, mac_function mac);

    std::string issue(const session_pin& pin) const;
    /// Fails with `session_token_invalid`.
    result<session_pin> verify(std::string_view token) const;

private:
    std::vector<std::string> secrets_;
    mac_function mac_;
};

/// Compares two strings in time that does not depend on the position of the first difference.
bool equal_in_constant_time(std::string_view a, std::string_view b);

} // namespace runlink::core
