/// \file
/// Status codes of HTTP responses.
#pragma once

#include <compare>
#include <optional>
#include <stdexcept>

namespace runlink::core
{

/// Status code of an HTTP response: 100 to 599 (RFC 9110, section 15). Holds no other number.
class http_status
{
public:
    /// For constants. Throws `std::out_of_range` if the number is not a status code.
    constexpr http_status(int n) : value_{n}
    {
        if (n < first || n > last)
            throw std::out_of_range{"an HTTP status code is from 100 to 599"};
    }
    /// For numbers that were received. Nothing if the number is not a status code.
    static constexpr std::optional<http_status> from(int n)
    {
        return n < first || n > last ? std::nullopt : std::optional{http_status{n}};
    }

    constexpr int value() const { return value_; }
    /// Whether the response announces another one to the same request.
    constexpr bool is_interim() const { return value_ < first_success; }
    constexpr bool is_success() const { return value_ >= first_success && value_ < first_redirect; }
    /// A client error, a server error or a redirect.
    constexpr bool is_failure() const { return value_ >= first_redirect; }
    constexpr bool is_server_error() const { return value_ >= first_server_error; }

    friend constexpr auto operator<=>(const http_status&, const http_status&) = default;

private:
    static constexpr int first = 100;
    static constexpr int first_success = 200;
    static constexpr int first_redirect = 300;
    static constexpr int first_server_error = 500;
    static constexpr int last = 599;

    int value_;
};

} // namespace runlink::core
