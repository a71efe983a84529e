// Runs seeded random event sequences and checks the invariants after every step.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

#include "support/fake_world.hpp"

using namespace runlink;
using namespace runlink::tests;

namespace
{

constexpr int default_seeds = 40;
constexpr int steps = 250;
constexpr int keys = 6;

/// One history: random requests and failures, then all failures are repaired and the final invariants
/// checked.
class history
{
public:
    explicit history(std::uint64_t seed) : random_{seed}, world_{{"a", "b", "c"}, seed}
    {
        world_.trace = [this](const std::string& line) { log_.push_back(line); };
        world_.configure(base_configuration());
        world_.advance(core::seconds{3});
    }

    void run()
    {
        for (int n = 0; n < steps; ++n)
        {
            step();
            check_always();
        }
        heal_all();
        check_at_the_end();
    }

    std::string log() const
    {
        std::string out;
        for (const auto& it : log_)
            out += it + "\n";
        return out;
    }

private:
    std::uint64_t pick(std::uint64_t n) { return random_() % n; }
    std::string any_instance() { return world_.names()[pick(3)]; }

    void step()
    {
        const auto what = pick(100);
        if (what < 35)
            arrive();
        else if (what < 70)
            serve_one();
        else if (what < 76)
            toggle_store();
        else if (what < 80)
            world_.store.lose_write_replies = static_cast<int>(1 + pick(3));
        else if (what < 84)
            toggle_freeze(any_instance());
        else if (what < 87)
            kill_or_start(any_instance());
        else if (what < 91)
            toggle_cut();
        world_.advance(core::milliseconds{pick(4) == 0 ? pick(3000) : pick(100)});
    }

    void arrive()
    {
        const auto name = any_instance();
        if (!world_.is_up(name) || world_.is_frozen(name))
            return;
        core::caller_request it;
        it.id = core::request_id{"r" + std::to_string(++requests_)};
        it.account = core::account_id{"office"};
        it.model = core::model_id{"review"};
        it.fingerprint = "body";
        it.deadline = core::milliseconds{2000 + pick(20000)};
        it.repeatable = pick(2) == 0;
        if (pick(3) != 0)
        {
            const auto key = pick(keys);
            it.key = core::idempotency_key{"k" + std::to_string(key)};
            it.repeatable = key % 2 == 0;
        }
        if (!it.repeatable)
            non_repeatable_work_.insert(it.key ? "office/" + it.key->str() : it.id.str());
        world_.request(name, it);
    }

    void serve_one()
    {
        const auto open = world_.open_calls();
        if (open.empty())
            return;
        auto& call = *open[pick(open.size())];
        const auto fate = pick(10);
        if (fate == 0)
            world_.endpoint_refuses(call);
        else if (fate == 1)
            world_.endpoint_loses(call, false);
        else if (fate <= 3)
            world_.endpoint_loses(call, true);
        else
            world_.endpoint_answers(call, "answer to " + call.start.request.str());
    }

    void toggle_store() { world_.store.down = !world_.store.down; }

    void toggle_freeze(const std::string& name)
    {
        if (!world_.is_up(name))
            return;
        if (world_.is_frozen(name))
            world_.thaw(name);
        else
            world_.freeze(name);
    }

    void kill_or_start(const std::string& name)
    {
        if (!world_.is_up(name))
            return world_.start(name);
        may_have_lost_bills_ = may_have_lost_bills_ ||
                               world_.at(name).router().counters().bills_at_risk > 0 || world_.store.down;
        world_.kill(name);
    }

    /// True if the store is up and no running instance holds a bill or a copy that is not stored yet, so that
    /// no
    /// instance killed so far has lost a bill.
    bool everything_is_flushed()
    {
        for (const auto& it : world_.names())
            if (world_.is_up(it) &&
                world_.at(it).ledger().pending_count() + world_.at(it).ledger().copy_count() > 0)
                return false;
        return !world_.store.down;
    }

    void toggle_cut()
    {
        const auto a = any_instance();
        const auto b = any_instance();
        if (a == b)
            return;
        if (pick(2) == 0)
            world_.cut(a, b);
        else
            world_.heal(a, b);
    }

    void heal_all()
    {
        world_.store.down = false;
        world_.store.lose_write_replies = 0;
        for (const auto& a : world_.names())
            for (const auto& b : world_.names())
                world_.heal(a, b);
        for (const auto& it : world_.names())
        {
            if (!world_.is_up(it))
                world_.start(it);
            if (world_.is_frozen(it))
                world_.thaw(it);
        }
        world_.advance(core::seconds{40});
        check_always();
    }

    void check_always()
    {
        for (const auto& [work, n] : world_.runs())
            if (non_repeatable_work_.contains(work))
                REQUIRE(n <= 1);
        for (const auto& [bill, entries] : world_.bills())
            REQUIRE(entries.size() == 1);
        for (const auto& [id, it] : world_.callers())
            check_caller(id, it);
    }

    void check_caller(const core::request_id& id, const caller_view& it)
    {
        if (it.whole && !it.head.replayed)
            REQUIRE(it.text == "answer to " + id.str());
        const bool refused = it.ended && !it.whole;
        if (refused && it.refusal.outcome == core::run_outcome::not_run)
        {
            const auto found = world_.runs_by_request().find(id);
            REQUIRE((found == world_.runs_by_request().end() || found->second == 0));
        }
    }

    void check_at_the_end()
    {
        const auto bills = world_.bills();
        for (const auto& [id, it] : world_.callers())
            if (it.whole && !it.head.replayed && !may_have_lost_bills_)
                REQUIRE(bills.contains(world_.bill_of(id)));
        for (const auto& name : world_.names())
            REQUIRE(world_.at(name).ledger().pending_count() == 0);
    }

    std::mt19937_64 random_;
    fake_world world_;
    std::vector<std::string> log_;
    std::set<std::string> non_repeatable_work_;
    int requests_ = 0;
    bool may_have_lost_bills_ = false;
    int kills_before_flush_ = 0;
};

std::uint64_t seed_count()
{
    const char* text = std::getenv("RUNLINK_PROPERTY_SEEDS");
    return text == nullptr ? default_seeds : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("random histories keep the promises of runs, bills, refusals and answers")
{
    const auto first = std::getenv("RUNLINK_PROPERTY_FIRST");
    const auto begin = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
    for (std::uint64_t seed = begin; seed < begin + seed_count(); ++seed)
    {
        history it{seed};
        INFO("seed " << seed << ": RUNLINK_PROPERTY_FIRST=" << seed
                     << " RUNLINK_PROPERTY_SEEDS=1 property_test");
        try
        {
            it.run();
        }
        catch (...)
        {
            if (std::getenv("RUNLINK_PROPERTY_LOG") != nullptr)
                std::puts(it.log().c_str());
            throw;
        }
    }
}
