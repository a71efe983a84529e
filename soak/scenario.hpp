/// \file
/// One seeded run: callers that never stop, faults that come in series and overlap, and the checks.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/caller.hpp"
#include "soak/fleet.hpp"
#include "soak/key_rotation.hpp"
#include "soak/rollout_trial.hpp"
#include "soak/statement_series.hpp"

namespace runlink::soak
{

/// How long a run takes and what may happen in it.
struct scenario_options
{
    std::uint64_t seed = 1;
    milliseconds length{20000};
    /// After the last fault: everybody must be served again within this.
    milliseconds recovery{8000};
    int callers_per_instance = 4;
    /// Only stops, reloads and changes that operators plan: then nothing at all may be cut.
    bool only_planned = false;
    /// Streams of many seconds that pause, and keys that are removed in series meanwhile.
    bool pauses = false;
    /// A roll-out from the beginning, of one kind of version or another (see `rollout_trial`).
    bool rolls_out = false;
    /// Nothing happens but load, and the roll-out if there is one.
    bool is_quiet = false;
    /// Callers that send a request which ends each endpoint that runs it, again and again at any instance.
    int harmful_callers = 0;
    /// Endpoints say in their answers what they bear.
    bool has_statements = false;
    /// Instances are suspended: their steady clock stands still meanwhile.
    bool suspends = false;
};

/// Drives a fleet.
class scenario
{
public:
    scenario(scenario_options options, fleet& on, promise_checker& checker);

    /// Runs to the end on the event loop of the thread.
    void run();
    /// What happened when, for whoever traces a failure.
    const std::vector<std::string>& story() const { return story_; }
    /// The version that was rolled out from the beginning, or empty.
    std::string rolled_out() const { return trial_ ? trial_->name() : std::string{}; }

private:
    static constexpr int most_fault_ms = 3500;

    struct fault
    {
        const char* name;
        bool is_planned;
        std::function<void()> strike;
    };

    void wait(milliseconds it);
    void wait_until_ready(milliseconds patience, const std::string& else_fault);
    void begin_load();
    void begin_trial();
    void call_again(std::size_t caller);
    void call_long(std::size_t caller);
    void send(caller& by, const call& it, int instance, request_kind kind, std::function<void()> then);
    void call_harmful(int n);
    void on_outcome(const call& of, int instance, time_point sent_at, const caller_outcome& it);
    std::vector<fault> make_faults();
    void strike_one();
    void note(const std::string& what);
    /// Unplanned, of an instance, or of the store.
    void trouble(milliseconds time, std::optional<int> instance);

    // Faults
    void stop_instance();
    void kill_instance();
    void pause_instance();
    void suspend_instance();
    void reload_instance();
    void break_store_link();
    void break_store();
    void break_endpoint_link();
    void reset_endpoint_links();
    void misbehave();
    void drain_endpoint();
    void remove_key();
    void forget_history();
    void roll_out_bad_version();

    int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
    milliseconds pick_time(int least, int most) { return milliseconds{least + pick(most - least)}; }
    int pick_instance() { return pick(static_cast<int>(fleet_.instances().size())); }
    proxied_endpoint& pick_endpoint();
    void later(milliseconds after, std::function<void()> what);

    scenario_options options_;
    fleet& fleet_;
    promise_checker& checker_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<std::unique_ptr<caller>> harmful_callers_;
    std::vector<std::unique_ptr<caller>> long_callers_;
    QObject context_; ///< ends what is still planned with the scenario
    std::vector<std::string> story_;
    time_point began_{};
    std::uint64_t next_request_ = 1;
    bool key_b_removed_ = false;
    bool rollout_began_ = false;
    std::unique_ptr<rollout_trial> trial_;
    std::unique_ptr<key_rotation> keys_;
    std::unique_ptr<statement_series> statements_;
    bool is_loading_ = false;
};

} // namespace runlink::soak
