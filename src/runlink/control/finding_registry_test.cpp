#include <catch2/catch.hpp>

#include <optional>

#include "runlink/control/finding_registry.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

constexpr crashes::element_fingerprint first{1};
constexpr crashes::element_fingerprint second{2};

/// A registry with a store that answers when the test calls `answer`.
struct registry_under_test
{
    core::time_point now{core::seconds{10}};
    std::vector<finding_batch> written;
    finding_registry::done_handler answer;
    finding_registry it;

    explicit registry_under_test(finding_options options = {})
        : it{options, [this](const finding_batch& e, finding_registry::done_handler done)
             {
                 written.push_back(e);
                 answer = std::move(done);
             }}
    {
    }
};

} // namespace

TEST_CASE("writing a finding is retried until it succeeds")
{
    registry_under_test by;
    CHECK(by.it.found(by.now, first));
    by.it.tick(by.now);
    REQUIRE(by.written.size() == 1);
    CHECK(by.written[0].put == std::vector{first});
    by.it.tick(by.now);
    CHECK(by.written.size() == 1); // one call at a time
    by.answer(false);
    by.it.tick(by.now);
    CHECK(by.written.size() == 1);
    by.now += finding_options{}.retry_after;
    by.it.tick(by.now);
    REQUIRE(by.written.size() == 2);
    by.answer(true);
    CHECK(by.it.all() == std::set{first});
    CHECK_FALSE(by.it.next_due());
}

TEST_CASE("a finding that another instance has written is not written again, and an expired one is removed")
{
    registry_under_test by;
    by.it.found(by.now, first);
    by.it.listed(first);
    by.it.tick(by.now);
    CHECK(by.written.empty());
    by.it.expired(by.now, first);
    by.it.expired(by.now, second); // not in the store
    by.it.tick(by.now);
    REQUIRE(by.written.size() == 1);
    CHECK(by.written[0].removed == std::vector{first});
    by.answer(true);
    CHECK(by.it.all().empty());
}

TEST_CASE("findings beyond the store's limit are rejected")
{
    finding_options options;
    options.max_listed = 1;
    registry_under_test by{options};
    CHECK(by.it.found(by.now, first));
    CHECK_FALSE(by.it.found(by.now, second));
}
