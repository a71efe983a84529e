// Several instances with a shared store and platform, under random faults: delayed and lost answers, calls
// that are carried out late, suspended and killed instances, outages of the store, returns of it from a copy.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "runlink/duties/duty_lease.hpp"
#include "runlink/duties/usage_reporter.hpp"

using namespace runlink;
using namespace runlink::duties;

namespace
{

constexpr milliseconds step{25};
constexpr milliseconds run_time{120'000};
constexpr milliseconds wall_start{1'000'000};

/// A call that the platform has carried out.
struct carried_out
{
    std::size_t instance = 0;
    core::fencing_number epoch;
    window_counts counts;
    time_point sent_at{};
    bool is_late = false; ///< not counted for the order of the holders
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed) : random_{seed}
    {
        for (std::size_t n = 0; n < instance_count; ++n)
            start(n);
    }

    void run()
    {
        for (milliseconds n{0}; n < run_time; n += step)
        {
            clock_.advance(step);
            inject_faults();
            deliver();
            for (auto& it : instances_)
                tick(it);
        }
    }

    std::vector<carried_out> calls;
    std::size_t killed = 0;
    std::size_t suspended = 0;
    std::size_t copies = 0;
    lease_options lease;

private:
    static constexpr std::size_t instance_count = 5;

    struct instance
    {
        std::size_t index = 0;
        std::uint64_t start = 0;
        std::uint64_t seen_lease = 0;
        std::uint64_t seen_usage = 0;
        core::store_era seen_era;
        core::store_era viewed_era;
        time_point suspended_until{};
        time_point down_until{};
        time_point next_view{};
        std::unique_ptr<duty_lease> lease;
        std::unique_ptr<usage_reporter> reporter;
    };
    struct snapshot
    {
        time_point taken{};
        lease_record lease;
        usage_record usage;
        std::uint64_t revision = 0;
    };
    struct event
    {
        std::size_t to = 0;
        std::uint64_t start = 0;
        std::function<void()> what;
    };

    bool chance(double p) { return std::uniform_real_distribution<>{0, 1}(random_) < p; }
    milliseconds within(int ms) { return milliseconds{std::uniform_int_distribution<>{0, ms}(random_)}; }
    wall_time wall() const
    {
        return wall_start + std::chrono::floor<milliseconds>(clock_.now().time_since_epoch());
    }

    void start(std::size_t n)
    {
        if (instances_.size() <= n)
            instances_.resize(n + 1);
        auto& it = instances_[n];
        it.index = n;
        ++it.start;
        it.seen_lease = it.seen_usage = 0;
        it.seen_era = it.viewed_era = {};
        it.lease = std::make_unique<duty_lease>(
            lease, core::instance_id{"i" + std::to_string(n)},
            core::incarnation_id{"i" + std::to_string(n) + "/" + std::to_string(it.start)},
            lease_hooks_of(n));
        it.lease->set_candidate(true);
        it.reporter = std::make_unique<usage_reporter>(report_options{}, report_hooks_of(n));
        it.reporter->on_listed();
        it.reporter->set_restore_delay(milliseconds{100 * static_cast<milliseconds::rep>(n)});
    }

    /// Passes a call to the store or the platform, and its result back, with faults.
    void call(std::size_t from, const std::function<write_result()>& carry_out,
              const std::function<void(write_result)>& done)
    {
        using outcome = write_result::outcome;
        const auto start = instances_[from].start;
        const bool is_lost = chance(0.1);
        const bool is_late = is_lost && chance(0.5);
        const auto at = clock_.now() + (is_late ? within(6000) : within(60));
        const auto answered_at = clock_.now() + (is_lost ? milliseconds{900} : milliseconds{120});
        auto result = std::make_shared<write_result>();
        events_.emplace(at, event{none, 0,
                                  [=, this]
                                  {
                                      if (!is_store_down_)
                                          *result = carry_out();
                                  }});
        events_.emplace(answered_at, event{from, start,
                                           [=, this]
                                           {
                                               if (!is_lost)
                                                   see_era(instances_[from], result->revision.era);
                                               if (is_lost)
                                                   done({outcome::unknown, 0});
                                               else
                                                   done(*result);
                                           }});
    }

    lease_hooks lease_hooks_of(std::size_t n)
    {
        lease_hooks out;
        out.now = clock_.source();
        out.write = [this, n](const lease_record& next, const core::store_revision& expected,
                              const std::function<void(write_result)>& done)
        {
            if (is_outdated(n, expected))
                return done({write_result::outcome::refused, {}});
            call(
                n,
                [=, this]() -> write_result
                {
                    if (stored_lease_.revision.number != expected.number)
                        return {write_result::outcome::conflict, {}};
                    stored_lease_ = next;
                    stored_lease_.revision = ++revision_;
                    return {write_result::outcome::committed, {era_, revision_}};
                },
                done);
        };
        out.changed = [this, n](time_point now, bool is_held)
        {
            if (is_held)
                instances_[n].reporter->on_acquired(now);
        };
        return out;
    }

    report_hooks report_hooks_of(std::size_t n)
    {
        report_hooks out;
        out.now = clock_.source();
        out.may_act = [this, n](time_point now) { return instances_[n].lease->may_act(now); };
        // Each instance knows other counts, and more at each look.
        out.sum = [this, n](window_number) { return account_counts{{core::account_id{"a"}, n + ++looks_}}; };
        out.write = [this, n](const usage_record& next, const std::function<void(write_result)>& done)
        {
            if (is_outdated(n, next.revision))
                return done({write_result::outcome::refused, {}});
            call(
                n,
                [=, this]() -> write_result
                {
                    if (stored_usage_.revision.number != next.revision.number)
                        return {write_result::outcome::conflict, {}};
                    stored_usage_ = next;
                    stored_usage_.revision = ++revision_;
                    return {write_result::outcome::committed, {era_, revision_}};
                },
                done);
        };
        out.send = [this, n](const window_counts& it, const std::function<void(call_outcome)>& done)
        {
            const auto sent_at = clock_.now();
            const auto epoch = instances_[n].lease->epoch();
            call(
                n,
                [=, this]() -> write_result
                {
                    const bool is_late = clock_.now() - sent_at > lease.margin;
                    calls.push_back({n, epoch, it, sent_at, is_late});
                    return {write_result::outcome::committed, 1};
                },
                [done](write_result result)
                {
                    done(result.what == write_result::outcome::committed ? call_outcome::accepted
                                                                         : call_outcome::unanswered);
                });
        };
        return out;
    }

    void inject_faults()
    {
        for (auto& it : instances_)
        {
            if (chance(0.0008))
            {
                ++suspended;
                it.suspended_until = clock_.now() + within(9000);
            }
            if (chance(0.0008))
            {
                ++killed;
                it.down_until = clock_.now() + within(4000);
                start(it.index);
            }
        }
        if (snapshots_.empty() || clock_.now() - snapshots_.back().taken > milliseconds{500})
            snapshots_.push_back({clock_.now(), stored_lease_, stored_usage_, revision_});
        if (chance(0.0008))
            return_from_copy();
        if (clock_.now() >= store_change_)
        {
            is_store_down_ = !is_store_down_ && chance(0.3);
            store_change_ = clock_.now() + within(is_store_down_ ? 5000 : 15'000);
        }
    }

    /// The store loses its last seconds, and gives its revisions out again.
    void return_from_copy()
    {
        ++copies;
        const auto oldest = clock_.now() - within(5000);
        while (snapshots_.size() > 1 && snapshots_.back().taken > oldest)
            snapshots_.pop_back();
        const auto& from = snapshots_.back();
        stored_lease_ = from.lease;
        stored_usage_ = from.usage;
        revision_ = from.revision;
        era_ = core::store_era{era_.value() + 1};
    }

    /// Whether the revision belongs to an earlier era than the instance knows.
    bool is_outdated(std::size_t n, const core::store_revision& it) const
    {
        return !it.is_none() && it.era != instances_[n].lease->era();
    }

    void see_era(instance& it, core::store_era era)
    {
        if (era > it.seen_era)
            it.lease->on_era(clock_.now(), era);
        it.seen_era = std::max(it.seen_era, era);
    }

    bool is_running(const instance& it) const
    {
        return clock_.now() >= it.suspended_until && clock_.now() >= it.down_until;
    }

    void deliver()
    {
        while (!events_.empty() && events_.begin()->first <= clock_.now())
        {
            const auto next = events_.begin()->second;
            events_.erase(events_.begin());
            if (next.to == none)
                next.what();
            else if (instances_[next.to].start == next.start)
            {
                if (is_running(instances_[next.to]))
                    next.what();
                else // answers wait until the process goes on
                    events_.emplace(clock_.now() + step, next);
            }
        }
    }

    void tick(instance& it)
    {
        const auto now = clock_.now();
        if (!is_running(it))
            return;
        if (now >= it.next_view && !is_store_down_)
        {
            it.next_view = now + within(700);
            const bool is_new_era = it.seen_era != core::store_era{} && era_ > it.viewed_era;
            it.viewed_era = era_;
            see_era(it, era_);
            auto lease_record = stored_lease_;
            lease_record.revision.era = era_;
            if (lease_record.revision.is_none())
                it.lease->on_absent(now);
            else
                it.lease->on_record(now, lease_record);
            auto usage = stored_usage_;
            usage.revision.era = era_;
            if (!usage.revision.is_none())
                it.reporter->on_record(now, usage);
            else if (is_new_era)
                it.reporter->on_record_lost(now);
        }
        it.lease->tick(now);
        it.reporter->tick(now, wall());
    }

    static constexpr std::size_t none = static_cast<std::size_t>(-1);

    std::mt19937_64 random_;
    core::manual_clock clock_;
    std::vector<instance> instances_;
    std::multimap<time_point, event> events_;
    lease_record stored_lease_;
    usage_record stored_usage_;
    std::vector<snapshot> snapshots_;
    core::store_era era_{1};
    std::uint64_t revision_ = 0;
    std::uint64_t looks_ = 0;
    bool is_store_down_ = false;
    time_point store_change_{};
};

void check_calls(const fleet& it)
{
    std::map<window_number, account_counts> reports;
    std::map<core::fencing_number, std::size_t> holders;
    for (const auto& call : it.calls)
    {
        const auto report = reports.try_emplace(call.counts.window, call.counts.accounts).first;
        CHECK(report->second == call.counts.accounts);
        CHECK(holders.try_emplace(call.epoch, call.instance).first->second == call.instance);
    }
    // Calls in the order in which they were sent.
    std::vector<carried_out> sent;
    for (const auto& call : it.calls)
        if (!call.is_late)
            sent.push_back(call);
    std::sort(sent.begin(), sent.end(), [](const auto& a, const auto& b) { return a.sent_at < b.sent_at; });
    for (std::size_t n = 1; n < sent.size(); ++n)
    {
        CHECK(sent[n].epoch >= sent[n - 1].epoch);
        for (std::size_t before = n; before-- > 0;)
        {
            if (sent[n].sent_at - sent[before].sent_at >= it.lease.lease)
                break;
            const bool is_back =
                sent[before].instance == sent[n].instance && sent[n - 1].instance != sent[n].instance;
            CHECK_FALSE(is_back);
        }
    }
}

std::uint64_t number_of(const char* variable, std::uint64_t fallback)
{
    const auto* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("under random faults no two reports of a window differ, and the duties never go back to a holder "
          "within a "
          "lease")
{
    const auto first = number_of("RUNLINK_DUTY_FIRST", 1);
    const auto seeds = number_of("RUNLINK_DUTY_SEEDS", 40);
    std::size_t calls = 0;
    std::size_t faults = 0;
    std::size_t copies = 0;
    for (auto seed = first; seed < first + seeds; ++seed)
    {
        INFO("seed " << seed);
        fleet it{seed};
        it.run();
        check_calls(it);
        calls += it.calls.size();
        faults += it.killed + it.suspended;
        copies += it.copies;
    }
    // Reports are due each five seconds, and some are lost with the store.
    constexpr std::uint64_t least_calls = 10;
    CHECK(calls >= seeds * least_calls);
    CHECK(faults > seeds);
    CHECK(copies > seeds);
}
