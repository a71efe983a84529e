#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>

#include "runlink/load/answer_length.hpp"

using namespace runlink;
using namespace runlink::load;

namespace
{

const std::string chat = "chat";

/// Lengths with a median of 290 and a p90 of about 800.
struct answers
{
    std::uint32_t length() { return tokens(290 * std::exp(0.8 * normal(random))); }
    static std::uint32_t tokens(double n) { return static_cast<std::uint32_t>(std::lround(n)); }
    /// Another value scattered around `it` by the factor exp(`spread`).
    std::uint32_t around(std::uint32_t it, double spread)
    {
        return std::max(1U, tokens(it * std::exp(spread * normal(random))));
    }

    std::mt19937 random{11};
    std::normal_distribution<double> normal;
};

} // namespace

TEST_CASE("before samples the length comes from the hint, the limit or a default")
{
    const answer_length it;
    CHECK(it.expect(chat, 100, 0) == length_estimate{100, 300});
    CHECK(it.expect(chat, std::nullopt, 600) == length_estimate{200, 600});
    CHECK(it.expect(chat, std::nullopt, 0) == length_estimate{300, 900});
}

TEST_CASE("no estimate exceeds the most tokens that a request may generate")
{
    // Guards against refusing a short request for a deadline that only a long answer would miss.
    answer_length it;
    CHECK(it.expect(chat, 5000, 40) == length_estimate{40, 40});
    for (int n = 0; n < 50; ++n)
        it.observe(chat, 400, 400);
    CHECK(it.expect(chat, std::nullopt, 25) == length_estimate{25, 25});
    CHECK(it.expect(chat, 400, 25) == length_estimate{25, 25});
    CHECK(it.expect(chat, 0, 25).median >= 1);
}

TEST_CASE("median and p90 are learned by route")
{
    // Guards against one length for tagging (25 tokens) and summaries (380).
    answer_length it;
    answers real;
    for (int n = 0; n < 200; ++n)
    {
        it.observe(chat, std::nullopt, real.length());
        it.observe("tagging", std::nullopt, 25);
    }
    CHECK(it.expect("tagging", std::nullopt, 0) == length_estimate{25, 25});
    const auto out = it.expect(chat, std::nullopt, 0);
    CHECK(out.median == Approx(290).epsilon(0.3));
    CHECK(out.p90 == Approx(808).epsilon(0.4));
}

TEST_CASE("of ten answers the fifth is the median and the ninth is p90")
{
    answer_length_options options;
    options.enough_samples = 10;
    answer_length it{options};
    for (std::uint32_t n = 1; n <= 10; ++n)
        it.observe(chat, std::nullopt, n * 10);
    CHECK(it.expect(chat, std::nullopt, 0) == length_estimate{50, 90});
}

TEST_CASE("a few answers change the estimate in part")
{
    // Guards against a forecast from a single answer.
    answer_length it;
    it.observe(chat, std::nullopt, 5);
    CHECK(it.expect(chat, std::nullopt, 0).median > 150);
    for (int n = 0; n < 15; ++n)
        it.observe(chat, std::nullopt, 5);
    CHECK(it.expect(chat, std::nullopt, 0).median == 5);
}

TEST_CASE("hints that are mostly right narrow the estimate")
{
    answer_length it;
    answers real;
    for (int n = 0; n < 200; ++n)
    {
        const auto tokens = real.length();
        it.observe(chat, real.around(tokens, 0.1), tokens);
    }
    for (const std::uint32_t hint : {80, 290, 900})
    {
        const auto out = it.expect(chat, hint, 0);
        CHECK(out.median == Approx(hint).epsilon(0.15));
        CHECK(out.p90 < 1.4 * out.median);
    }
}

TEST_CASE("hints that are far off leave the distribution of the route")
{
    // Guards against trusting a hint of 30 tokens for an answer of 300: the request would be sent where it
    // cannot end in time.
    answer_length it;
    answers real;
    for (int n = 0; n < 200; ++n)
        it.observe(chat, real.around(290, 1.2), real.length());
    CHECK(it.expect(chat, 30, 0).median > 150);
    CHECK(it.expect(chat, 3000, 0).median < 600);
    CHECK(it.expect(chat, 290, 0).p90 > 500);
}

TEST_CASE("hints that are always too low by the same factor are corrected")
{
    answer_length it;
    answers real;
    for (int n = 0; n < 100; ++n)
    {
        const auto tokens = real.length();
        it.observe(chat, tokens / 4, tokens);
    }
    CHECK(it.expect(chat, 100, 0).median == Approx(400).epsilon(0.15));
}

TEST_CASE("answers without a hint do not change what is known of hints")
{
    answer_length it;
    for (int n = 0; n < 30; ++n)
        it.observe(chat, 100, 100);
    for (int n = 0; n < 20; ++n)
        it.observe(chat, std::nullopt, 900);
    CHECK(it.expect(chat, 100, 0).median == 100);
    CHECK(it.expect("other", 100, 0).median == 100);
}

TEST_CASE("answers that were cut count as lower bounds")
{
    // Guards against the bias of answers that end: of lengths with a p90 of 808, those that a deadline cuts
    // after 350 tokens would otherwise be missing.
    answer_length biased;
    answer_length it;
    answers real;
    for (int n = 0; n < 200; ++n)
    {
        const auto tokens = real.length();
        // Deadlines cut at different lengths, as the speed differs.
        const auto cut = real.around(350, 0.5);
        if (tokens <= cut)
        {
            biased.observe(chat, std::nullopt, tokens);
            it.observe(chat, std::nullopt, tokens);
        }
        else
            it.observe_cut(chat, std::nullopt, cut);
    }
    CHECK(it.expect(chat, std::nullopt, 0).median == Approx(290).epsilon(0.3));
    CHECK(it.expect(chat, std::nullopt, 0).p90 > 500);
    CHECK(biased.expect(chat, std::nullopt, 0).median < 240);
}

TEST_CASE("a change of lengths is followed, and old routes are forgotten")
{
    // Guards against estimates from a different prompt of the same route, and against growing memory.
    answer_length_options options;
    options.most_routes = 2;
    answer_length it{options};
    for (int n = 0; n < 200; ++n)
        it.observe(chat, std::nullopt, 1000);
    for (int n = 0; n < 64; ++n)
        it.observe(chat, std::nullopt, 50);
    CHECK(it.expect(chat, std::nullopt, 0) == length_estimate{50, 50});
    it.observe("b", std::nullopt, 50);
    it.observe("c", std::nullopt, 50);
    CHECK(it.expect(chat, std::nullopt, 0) == length_estimate{300, 900});
}
