// Roll-outs when the store returns from an older copy.

#include <catch2/catch.hpp>

#include "runlink/routing/rollout_control.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const core::time_point start{core::seconds{100}};
const core::service_id service{"s"};
const core::version_id target{"v2"};

core::store_revision at(std::uint64_t era, std::uint64_t number)
{
    return {core::store_era{era}, number};
}

rollout_order order_at(const core::store_revision& it)
{
    return {service, target, milliseconds{24000}, it};
}

rollout_record record_at(rollout_state state, std::uint32_t share, const core::store_revision& it)
{
    return {service, target, state, share, it};
}

/// A roll-out that era 1 of the store has brought to the given record.
rollout_control make_rollout(rollout_state state, std::uint32_t share)
{
    rollout_control out{{}, 0};
    out.on_order(start, order_at(at(1, 5)));
    out.on_record(start, record_at(state, share, at(1, 30)));
    return out;
}

} // namespace

TEST_CASE("a roll-out that is done does not begin anew when its order is written again after a copy")
{
    for (const auto state : {rollout_state::succeeded, rollout_state::rolled_back})
    {
        auto it = make_rollout(state, 100);
        CHECK_FALSE(it.on_order(start, order_at(at(2, 7))));
        CHECK(it.status(service)->record.state == state);
        CHECK(it.status(service)->order.revision == at(2, 7));
        auto again = order_at(at(2, 9));
        CHECK(it.on_order(start, again)); // the operator orders it once more
    }
}

TEST_CASE("a roll-out does not go back to the record of an older copy, and its own record is written again")
{
    for (const auto state : {rollout_state::succeeded, rollout_state::rolled_back})
    {
        auto it = make_rollout(state, state == rollout_state::succeeded ? 100 : 0);
        it.on_order(start, order_at(at(2, 5)));
        it.on_record(start, record_at(rollout_state::running, 8, at(2, 9)));
        CHECK(it.status(service)->record.state == state);
        REQUIRE(it.next_due());
        const auto writes = it.due(*it.next_due());
        REQUIRE(writes.size() == 1);
        CHECK(writes[0].state == state);
        CHECK(writes[0].revision == at(2, 9)); // the condition of the write
        auto written = writes[0];
        written.revision = at(2, 12);
        it.on_record(start, written);
        CHECK_FALSE(it.next_due());
        CHECK(it.status(service)->record.revision == at(2, 12));
    }
}

TEST_CASE("a roll-out's share does not fall to that of an older copy")
{
    auto it = make_rollout(rollout_state::running, 100);
    it.on_order(start, order_at(at(2, 5)));
    it.on_record(start, record_at(rollout_state::running, 8, at(2, 9)));
    CHECK(it.choose(service, session_hash{99}, std::nullopt).only == target);
    CHECK(it.due(start + milliseconds{1000}).at(0).share_percent == 100);
}

TEST_CASE("a record that the copy lacks is written again as a new one")
{
    auto it = make_rollout(rollout_state::rolled_back, 0);
    it.on_order(start, order_at(at(2, 5)));
    it.on_record_lost(start, service);
    CHECK(it.choose(service, session_hash{0}, std::nullopt).excluded == target);
    const auto writes = it.due(start + milliseconds{1000});
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].revision.is_none());
    CHECK(writes[0].state == rollout_state::rolled_back);
    // Another instance has written it.
    it.on_record(start, record_at(rollout_state::rolled_back, 0, at(2, 12)));
    CHECK(it.due(start + milliseconds{9000}).empty());
}

TEST_CASE("an unchanged record of a later era does not begin a new step")
{
    auto it = make_rollout(rollout_state::running, 8);
    it.on_order(start, order_at(at(2, 5)));
    const auto due = it.next_due();
    it.on_record(start + milliseconds{3000}, record_at(rollout_state::running, 8, at(2, 30)));
    CHECK(it.next_due() == due);
    CHECK(it.status(service)->record.revision == at(2, 30));
}

TEST_CASE("a record that goes further than the known one is taken from a later era")
{
    auto it = make_rollout(rollout_state::running, 8);
    it.on_order(start, order_at(at(2, 5)));
    it.on_record(start, record_at(rollout_state::rolled_back, 0, at(2, 9)));
    CHECK(it.status(service)->record.state == rollout_state::rolled_back);
}
