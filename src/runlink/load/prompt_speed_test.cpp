#include <catch2/catch.hpp>

#include <cstdint>

#include "runlink/load/prompt_speed.hpp"

using namespace runlink;
using namespace runlink::load;
using core::milliseconds;

namespace
{

const core::model_id middle{"m"};

} // namespace

TEST_CASE("the reading speed of a slower endpoint is known")
{
    // Guards against late first tokens at endpoints that read 1.3 times slower.
    prompt_speed it;
    for (std::uint64_t n = 0; n < 600; ++n)
    {
        const endpoint_hash at{n % 30};
        it.observe(middle, at, 10'000, at.value() % 3 == 0 ? milliseconds{260} : milliseconds{200});
    }
    const auto slow = it.time_to_read(middle, endpoint_hash{3}, 10'000);
    const auto fast = it.time_to_read(middle, endpoint_hash{1}, 10'000);
    CHECK(slow > milliseconds{245});
    CHECK(slow < milliseconds{270});
    CHECK(fast > milliseconds{195});
    CHECK(fast < milliseconds{215});
    CHECK(it.time_to_read(core::model_id{"other"}, endpoint_hash{3}, 1000) > milliseconds{20});
}

TEST_CASE("few samples of an endpoint change its reading speed little")
{
    // Guards against avoiding an endpoint for one delayed answer.
    prompt_speed it;
    for (int n = 0; n < 15; ++n)
        it.observe(middle, endpoint_hash{1}, 10'000, milliseconds{200});
    it.observe(middle, endpoint_hash{2}, 10'000, milliseconds{9000});
    CHECK(it.time_to_read(middle, endpoint_hash{2}, 10'000) < milliseconds{260});
    CHECK(it.time_to_read(middle, endpoint_hash{9}, 10'000) == it.time_to_read(middle, 10'000));
}

TEST_CASE("the reading speed without an endpoint is the same whether endpoints are learned or not")
{
    // Guards against decisions that change while load tracking is off.
    prompt_speed with;
    prompt_speed without;
    for (std::uint32_t n = 0; n < 40; ++n)
    {
        const auto tokens = 500 + 700 * (n % 7);
        const auto time = milliseconds{20 + 13 * (n % 11)};
        with.observe(middle, endpoint_hash{n % 3}, tokens, time);
        without.observe(middle, tokens, time);
        CHECK(with.time_to_read(middle, 4321) == without.time_to_read(middle, 4321));
    }
    CHECK(without.time_to_read(middle, endpoint_hash{1}, 4321) == without.time_to_read(middle, 4321));
}
