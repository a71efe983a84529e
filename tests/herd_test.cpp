// Most callers may come to one instance, while its endpoints have room for all of them.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "support/statement_fleet.hpp"

using namespace runlink::tests;

namespace
{

/// Share of the requests that come to the first instance beyond its even share.
constexpr double herd_share = 0.9;
/// Minimum share of the requests that are served, compared with callers that are spread evenly.
constexpr double min_share_of_even = 0.75;

/// A fleet whose demand is half of what its endpoints can run.
statement_case herd_case()
{
    statement_case out;
    out.seed = static_cast<std::uint64_t>(number_from("RUNLINK_HERD_FIRST", 1));
    out.slots = 4;
    out.answer_time = milliseconds{200}; // on average half of it
    constexpr double runs_per_slot_and_s = 10;
    out.requests_per_s = runs_per_slot_and_s * out.slots * out.endpoints / 2;
    return out;
}

statement_outcome run(statement_case of, double uneven, const endpoint_words& words)
{
    of.uneven = uneven;
    statement_fleet it{of};
    for (int e = 0; e < of.endpoints; ++e)
        it.says(e) = words;
    return it.run();
}

double served_share(const statement_outcome& it)
{
    return static_cast<double>(it.answered) / static_cast<double>(it.requests);
}

void check_served(const endpoint_words& words)
{
    const auto even = run(herd_case(), 0, words);
    const auto herd = run(herd_case(), herd_share, words);
    INFO("served " << even.answered << " of " << even.requests << " evenly, " << herd.answered << " of "
                   << herd.requests << " as a herd");
    CHECK(herd.falls == 0);
    CHECK(served_share(herd) >= min_share_of_even * served_share(even));
}

} // namespace

TEST_CASE("an instance with most callers serves as many")
{
    check_served({});
}

TEST_CASE("an instance with most callers serves as many where endpoints name a limit")
{
    endpoint_words words;
    words.requests_per_s = 30;
    check_served(words);
}

TEST_CASE("an instance with most callers serves as many where endpoints are brittle")
{
    endpoint_words words;
    words.refusals_per_s = 10;
    words.waiting = 8;
    check_served(words);
}
