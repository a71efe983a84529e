#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <memory>
#include <vector>

#include "runlink/duties/duty_lease.hpp"

using namespace runlink;
using namespace runlink::duties;

namespace
{

const core::instance_id self{"a-1"};
const core::instance_id other{"b-1"};
const core::incarnation_id process{"a-1/1"};

/// A lease whose writes are answered by the test.
struct lease_under_test
{
    core::manual_clock clock;
    std::vector<lease_record> written;
    std::vector<core::store_revision> expected;
    std::function<void(write_result)> answer;
    lease_options options;
    duty_lease it;

    lease_under_test()
        : it{options,
             self,
             process,
             {[this](const lease_record& e, const core::store_revision& revision,
                     std::function<void(write_result)> done)
              {
                  written.push_back(e);
                  expected.push_back(revision);
                  answer = std::move(done);
              },
              clock.source()}}
    {
        clock.advance(core::seconds{100});
        it.set_candidate(true);
    }

    void advance(milliseconds step)
    {
        clock.advance(step);
        it.tick(clock.now());
    }
    /// Advances until the next write.
    bool advance_to_write()
    {
        const auto before = written.size();
        for (int n = 0; n < 100 && written.size() == before; ++n)
            advance(milliseconds{100});
        return written.size() > before;
    }
    void commit(const core::store_revision& revision)
    {
        answer({write_result::outcome::committed, revision});
    }
    lease_record foreign(std::uint64_t epoch, const core::store_revision& revision) const
    {
        return {other, core::incarnation_id{"b-1/1"}, core::fencing_number{epoch}, revision};
    }
};

} // namespace

TEST_CASE("the first holder waits for a lease, renews, and stops before its own lease may have ended")
{
    lease_under_test by;
    by.it.on_absent(by.clock.now());
    by.advance(by.options.lease - milliseconds{1});
    CHECK(by.written.empty()); // the store may have lost the record of another holder
    REQUIRE(by.advance_to_write());
    CHECK(by.expected[0] == 0);
    CHECK_FALSE(by.it.may_act(by.clock.now()));
    by.commit(7);
    CHECK(by.it.may_act(by.clock.now()));
    CHECK(by.it.epoch() == core::fencing_number{1});
    REQUIRE(by.advance_to_write());
    CHECK(by.expected[1] == 7);
    CHECK(by.written[1].epoch == core::fencing_number{1});
    // The renewal is never answered.
    by.answer = nullptr;
    by.advance(by.options.lease - by.options.renew_every() - by.options.margin);
    CHECK_FALSE(by.it.may_act(by.clock.now()));
}

TEST_CASE("a lease is taken over only after a whole lease without a renewal, with a higher epoch")
{
    lease_under_test by;
    by.it.on_record(by.clock.now(), by.foreign(4, 10));
    by.advance(by.options.lease - milliseconds{1});
    by.it.on_record(by.clock.now(), by.foreign(4, 11));
    by.advance(by.options.lease - milliseconds{1});
    CHECK(by.written.empty());
    REQUIRE(by.advance_to_write());
    CHECK(by.expected[0] == 11);
    CHECK(by.written[0].epoch > core::fencing_number{4});
}

TEST_CASE("an instance that is no candidate, or has resigned, does not take the lease")
{
    lease_under_test by;
    by.it.set_candidate(false);
    by.it.on_record(by.clock.now(), by.foreign(4, 10));
    CHECK_FALSE(by.advance_to_write());
    by.it.set_candidate(true);
    by.it.resign();
    CHECK_FALSE(by.advance_to_write());
}

TEST_CASE("a write without an answer counts from when it was sent, once the record is seen")
{
    lease_under_test by;
    by.it.on_absent(by.clock.now());
    REQUIRE(by.advance_to_write());
    const auto sent_at = by.clock.now();
    by.answer({write_result::outcome::unknown, 0});
    CHECK_FALSE(by.it.may_act(by.clock.now()));
    by.clock.advance(milliseconds{300});
    by.it.on_record(by.clock.now(), {self, process, core::fencing_number{1}, 5});
    CHECK(by.it.may_act(by.clock.now()));
    CHECK_FALSE(by.it.may_act(sent_at + by.options.lease - by.options.margin));
}

TEST_CASE("a record of an earlier process of the same instance is a foreign one")
{
    lease_under_test by;
    by.it.on_record(by.clock.now(), {self, core::incarnation_id{"a-1/0"}, core::fencing_number{3}, 9});
    CHECK_FALSE(by.it.may_act(by.clock.now()));
    by.advance(by.options.lease / 2);
    CHECK(by.written.empty());
    REQUIRE(by.advance_to_write());
    CHECK(by.written[0].epoch > core::fencing_number{3});
}

TEST_CASE("after a suspension longer than the lease the holder acts only after a renewal")
{
    lease_under_test by;
    by.it.on_absent(by.clock.now());
    REQUIRE(by.advance_to_write());
    by.commit(7);
    REQUIRE(by.it.may_act(by.clock.now()));
    by.clock.advance(by.options.lease * 3);
    CHECK_FALSE(by.it.may_act(by.clock.now()));
    by.it.tick(by.clock.now());
    REQUIRE(by.written.size() == 2);
    CHECK(by.expected[1] == 7);
    SECTION("no other instance held the lease meanwhile")
    {
        by.commit(8);
        CHECK(by.it.may_act(by.clock.now()));
        CHECK(by.it.epoch() == core::fencing_number{1});
    }
    SECTION("another instance has taken it over")
    {
        by.answer({write_result::outcome::conflict, 0});
        CHECK_FALSE(by.it.may_act(by.clock.now()));
        by.it.on_record(by.clock.now(), by.foreign(2, 9));
        by.advance(by.options.lease / 2);
        CHECK(by.written.size() == 2);
        CHECK_FALSE(by.it.may_act(by.clock.now()));
    }
}

TEST_CASE("after a return of the store from a copy even the holder waits for a whole lease")
{
    const auto at = [](std::uint64_t era, std::uint64_t number) {
        return core::store_revision{core::store_era{era}, number};
    };
    lease_under_test by;
    by.it.on_era(by.clock.now(), core::store_era{1});
    by.it.on_absent(by.clock.now());
    REQUIRE(by.advance_to_write());
    by.commit(at(1, 7));
    REQUIRE(by.it.may_act(by.clock.now()));
    const auto first = by.it.epoch();
    const auto before = by.written.size();
    by.it.on_era(by.clock.now(), core::store_era{2});
    by.it.on_record(by.clock.now(), {self, process, first, at(2, 7)}); // the copy has it
    CHECK_FALSE(by.it.may_act(by.clock.now()));
    by.advance(by.options.lease - milliseconds{1});
    CHECK(by.written.size() == before);
    REQUIRE(by.advance_to_write());
    by.commit(at(2, 9));
    CHECK(by.it.may_act(by.clock.now()));
    CHECK(by.it.epoch() > first);
}

TEST_CASE("an epoch is above those that the store has lost, also for a process that never saw them")
{
    const core::fencing_number lost{(std::uint64_t{1} << 32U) + 1000};
    lease_under_test by;
    by.it.on_era(by.clock.now(), core::store_era{2});
    by.it.on_record(by.clock.now(), by.foreign(3, {core::store_era{2}, 5}));
    REQUIRE(by.advance_to_write());
    CHECK(by.written[0].epoch > lost);
}

TEST_CASE("a write that was sent before a return from a copy and applied after it holds no lease")
{
    const auto at = [](std::uint64_t era, std::uint64_t number) {
        return core::store_revision{core::store_era{era}, number};
    };
    lease_under_test by;
    by.it.on_era(by.clock.now(), core::store_era{1});
    by.it.on_absent(by.clock.now());
    REQUIRE(by.advance_to_write());
    by.commit(at(2, 7));
    CHECK_FALSE(by.it.may_act(by.clock.now()));
    by.it.on_record(by.clock.now(), {self, process, by.written[0].epoch, at(2, 7)});
    CHECK_FALSE(by.it.may_act(by.clock.now()));
}
