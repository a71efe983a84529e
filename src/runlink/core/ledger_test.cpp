#include <catch2/catch.hpp>

#include "runlink/core/clock.hpp"
#include "runlink/core/ledger_partition.hpp"
#include "runlink/proto/codec.hpp"
#include "support/fake_store.hpp"

using namespace runlink::core;
using runlink::tests::fake_store;

namespace
{

/// Partitions of several owners that share one store. `drain` answers the store calls.
struct fixture
{
    manual_clock clock;
    fake_store store;
    std::vector<std::function<void()>> waiting;
    std::uint64_t batches = 0;
    std::uint64_t wall_ms = 1'000'000'000;
    ledger_options options;

    ledger_hooks hooks()
    {
        ledger_hooks it;
        it.store = store.port([this](duration, std::function<void()> action)
                              { waiting.push_back(std::move(action)); });
        it.codec = runlink::proto::make_ledger_codec();
        it.wall_clock = [this] { return wall_time{wall_ms}; };
        it.is_alive = [](const incarnation_id&) { return true; };
        it.may_write = [](time_point) { return true; };
        it.next_batch = [this] { return batch_id{std::to_string(++batches)}; };
        return it;
    }

    std::unique_ptr<ledger_partition> owner(const std::string& name)
    {
        auto it = std::make_unique<ledger_partition>(partition_id{0}, incarnation_id{name}, options, hooks());
        it->acquire(clock.now());
        drain(*it);
        return it;
    }

    void drain(ledger_partition& it)
    {
        for (int n = 0; n < 100; ++n)
        {
            for (auto& action : std::exchange(waiting, {}))
                action();
            clock.advance(seconds{1});
            it.tick(clock.now());
        }
    }

    static ledger_entry entry(entry_kind kind, const std::string& bill)
    {
        ledger_entry it;
        it.kind = kind;
        it.bill = bill_id{bill};
        it.request = request_id{"r-" + bill};
        it.keyed = true;
        it.answer = {true, 200, "text/plain", std::string(50, 'x')};
        return it;
    }

    ledger_status run(ledger_partition& it, const ledger_entry& e)
    {
        ledger_status out = ledger_status::not_owner;
        it.submit(clock.now(), e, [&](const ledger_reply& r) { out = r.status; });
        drain(it);
        return out;
    }
};

} // namespace

TEST_CASE_METHOD(fixture,
                 "a new owner recovers every record from a checkpoint in parts and the segments after it")
{
    options.checkpoint_every = 8;
    options.segment_bytes = 2000; // splits a checkpoint into several parts
    auto a = owner("a");
    for (int n = 0; n < 100; ++n)
        REQUIRE(run(*a, entry(entry_kind::settle, "k" + std::to_string(n))) == ledger_status::committed);
    const auto before = store.reads;
    auto b = owner("b");
    CHECK(b->record_count() == 100);
    CHECK(store.reads - before < 60);
    CHECK(b->find(bill_id{"k0"})->entry.answer.body == std::string(50, 'x'));
    std::size_t parts = 0;
    for (const auto& [key, unused] : store.values())
        parts += key.find("/checkpoint/") != std::string::npos ? 1 : 0;
    CHECK(parts > 1);
    CHECK(parts < 30); // the parts of older checkpoints are deleted
}

TEST_CASE_METHOD(
    fixture, "a fenced owner grants nothing, and owns the partition again after it has read the new segments")
{
    auto a = owner("a");
    auto b = owner("b");
    CHECK(run(*b, entry(entry_kind::claim, "k")) == ledger_status::granted);
    auto claim = entry(entry_kind::claim, "k");
    claim.request = request_id{"other"};
    CHECK(run(*a, claim) == ledger_status::not_owner);
    CHECK(run(*a, claim) == ledger_status::in_progress);
}

TEST_CASE_METHOD(fixture, "records are erased after their retention time, and kept until then")
{
    options.checkpoint_every = 1;
    auto a = owner("a");
    run(*a, entry(entry_kind::settle, "old"));
    wall_ms += options.keyed_retention_ms - 1000;
    run(*a, entry(entry_kind::settle, "new"));
    CHECK(a->find(bill_id{"old"}) != nullptr);
    wall_ms += 2000;
    run(*a, entry(entry_kind::settle, "newer"));
    CHECK(a->find(bill_id{"old"}) == nullptr);
    CHECK(a->find(bill_id{"new"}) != nullptr);
}

TEST_CASE_METHOD(fixture, "operations that are pending together are written in one segment")
{
    auto a = owner("a");
    const auto before = store.writes;
    int done = 0;
    for (int n = 0; n < 500; ++n)
        a->submit(clock.now(), entry(entry_kind::settle, "k" + std::to_string(n)),
                  [&](const ledger_reply&) { ++done; });
    drain(*a);
    CHECK(done == 500);
    CHECK(store.writes - before <= 3);
}
