#include <catch2/catch.hpp>

#include "runlink/core/transfer_deadline.hpp"

using namespace runlink::core;

namespace
{

const time_point start{seconds{100}};
constexpr transfer_limits limits{milliseconds{900}, milliseconds{500}, 100'000, 1'000'000};

} // namespace

TEST_CASE("a call is given up if its answer does not begin in time, or falls silent")
{
    transfer_deadline it{limits, start};
    CHECK(it.due() == start + milliseconds{900});
    CHECK(it.reason() == transfer_timeout::no_answer);
    it.on_head(start + milliseconds{800}, 400'000);
    CHECK(it.due() == start + milliseconds{1300});
    CHECK(it.reason() == transfer_timeout::silent);
    it.on_bytes(start + milliseconds{1200});
    CHECK(it.due() == start + milliseconds{1700});
}

TEST_CASE("a transfer that makes progress is given up only below its lowest rate")
{
    transfer_deadline it{limits, start};
    it.on_head(start, 400'000);
    for (int n = 1; n <= 44; ++n)
        it.on_bytes(start + milliseconds{100} * n);
    CHECK(it.due() == start + milliseconds{4500}); // 4 s at the lowest rate, and the silence that is allowed
    CHECK(it.reason() == transfer_timeout::too_slow);
}

TEST_CASE("the bound on a transfer is finite whatever length is announced")
{
    const auto due_with = [](std::optional<std::uint64_t> length)
    {
        transfer_deadline it{limits, start};
        it.on_head(start, length);
        for (int n = 1; n <= 200; ++n)
            it.on_bytes(start + milliseconds{400} * n);
        return it.due();
    };
    CHECK(due_with(std::nullopt) == start + milliseconds{10'500});
    CHECK(due_with(0) == start + milliseconds{500});
    CHECK(due_with(~std::uint64_t{0}) < start + seconds{62});
}

TEST_CASE("the lowest rate follows from the link")
{
    CHECK(transfer_limits::for_link(10).min_bytes_per_s == 156'250);
    CHECK(transfer_limits::for_link(200).min_bytes_per_s == 3'125'000);
    CHECK(transfer_limits::for_link(0).min_bytes_per_s == transfer_limits{}.min_bytes_per_s);
}
