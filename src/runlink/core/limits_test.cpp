#include <catch2/catch.hpp>

#include "runlink/core/account_limits.hpp"
#include "runlink/core/fair_queue.hpp"
#include "runlink/core/rate_limiter.hpp"
#include "runlink/core/retry_budget.hpp"

using namespace runlink::core;

namespace
{

constexpr time_point start{seconds{100}};

configuration with_limits(double rate, std::uint32_t in_flight)
{
    configuration it;
    account_settings account;
    account.id = account_id{"a"};
    account.requests_per_second = rate;
    account.max_in_flight = in_flight;
    it.accounts.push_back(account);
    return it;
}

} // namespace

TEST_CASE("a token bucket admits its burst, then its rate, and reports when the next token is available")
{
    rate_limiter it{10, 2};
    CHECK(it.try_take(start));
    CHECK(it.try_take(start));
    CHECK_FALSE(it.try_take(start));
    CHECK(it.time_until_token(start) <= milliseconds{101});
    CHECK_FALSE(it.try_take(start + milliseconds{50}));
    CHECK(it.try_take(start + milliseconds{101}));
    CHECK(rate_limiter(0, 0).time_until_token(start) == duration::max());
}

TEST_CASE("the sum of the instances' shares never exceeds an account's limit")
{
    const double limit = 70;
    std::uint64_t admitted = 0;
    for (int n = 0; n < 7; ++n)
    {
        account_limits it{7};
        it.apply(with_limits(limit, 0));
        for (int ms = 0; ms < 10000; ++ms)
            admitted += it.admit(start + milliseconds{ms}, account_id{"a"}) ? 1 : 0;
    }
    CHECK(admitted <= limit * 10 + limit);
    CHECK(admitted >= limit * 10);
}

TEST_CASE("a request over the limit is refused with a retry time, and a finished request frees its slot")
{
    account_limits it{2};
    it.apply(with_limits(0, 2));
    CHECK(it.admit(start, account_id{"a"}));
    const auto refused = it.admit(start, account_id{"a"});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == errc::account_limit);
    CHECK(refused.error().retry_after.has_value());
    it.finished(account_id{"a"});
    CHECK(it.admit(start, account_id{"a"}));
}

TEST_CASE("a new configuration does not refill an account's bucket")
{
    account_limits it{1};
    it.apply(with_limits(1, 0));
    CHECK(it.admit(start, account_id{"a"}));
    it.apply(with_limits(1, 0));
    CHECK_FALSE(it.admit(start, account_id{"a"}));
}

TEST_CASE(
    "quick requests go first, accounts take turns, a request that cannot start does not block other accounts")
{
    fair_queue it;
    for (int n = 0; n < 3; ++n)
        it.push(account_id{"flood"}, request_id{"f" + std::to_string(n)}, false);
    it.push(account_id{"small"}, request_id{"s0"}, false);
    it.push(account_id{"small"}, request_id{"q0"}, true);
    std::string order;
    it.offer(
        [&](const request_id& id)
        {
            if (id.str() == "f1")
                return false;
            order += id.str() + " ";
            return true;
        });
    CHECK(order == "q0 f0 s0 ");
    CHECK(it.size() == 2);
    it.remove(request_id{"f1"});
    CHECK(it.size() == 1);
}

TEST_CASE("retries are limited to a share of the first attempts")
{
    retry_budget it{0.1, 1};
    CHECK(it.try_take());
    CHECK_FALSE(it.try_take());
    for (int n = 0; n < 11; ++n)
        it.on_first_attempt();
    CHECK(it.try_take());
    CHECK_FALSE(it.try_take());
}
