#include <catch2/catch.hpp>

#include "runlink/core/hash.hpp"
#include "runlink/core/session_token.hpp"

using namespace runlink::core;

namespace
{

std::string mac(std::string_view secret, std::string_view text)
{
    return stable_digest(std::string{secret} + "/" + std::string{text});
}

const session_pin pin{account_id{"a"}, {model_id{"m"}, version_id{"v"}}, session_id{"s"}};

} // namespace

TEST_CASE(
    "a token stays valid after a new secret is added, and one signed with an unknown secret is rejected")
{
    const session_tokens before{{"old"}, mac};
    const session_tokens after{{"new", "old"}, mac};
    CHECK(after.verify(before.issue(pin)).value() == pin);
    CHECK(before.verify(after.issue(pin)).error().code == errc::session_token_invalid);
}

TEST_CASE("a modified token is rejected")
{
    const session_tokens it{{"secret"}, mac};
    const auto token = it.issue(pin);
    for (std::size_t n = 0; n < token.size(); ++n)
    {
        auto changed = token;
        changed[n] = changed[n] == 'x' ? 'y' : 'x';
        CHECK_FALSE(it.verify(changed));
    }
    CHECK_FALSE(it.verify(""));
    CHECK_FALSE(it.verify(token + "~"));
    CHECK_FALSE(it.verify(std::string(100000, '~')));
}
