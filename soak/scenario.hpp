/// \file
/// One seeded run: continuous load, random faults that may overlap, and the checks.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "soak/caller.hpp"
#include "soak/cut_series.hpp"
#include "soak/fleet.hpp"
#include "soak/key_rotation.hpp"
#include "soak/rollout_trial.hpp"
#include "soak/statement_series.hpp"

namespace runlink::soak
{

/// Duration of a run, its load and its faults.
struct scenario_options
{
    std::uint64_t seed = 1;
    milliseconds length{20000};
    /// Time after the last fault within which all instances must be ready again.
    milliseconds recovery{8000};
    int callers_per_instance = 4;
    milliseconds call_pause{60}; ///< between two requests of a caller
    /// Only planned stops, reloads and changes by operators. No response may be cut in this case.
    bool only_planned = false;
    /// Adds streams that last many seconds and pause, while keys are removed in series.
    bool pauses = false;
    /// Starts a roll-out at the beginning, of a version chosen by the seed (see `rollout_trial`).
    bool rolls_out = false;
    /// Injects no random faults; load, roll-outs and harmful requests run as the other options say.
    bool is_quiet = false;
    /// Number of callers that repeatedly send, to random instances, a request that ends each endpoint that
    /// runs it.
    int harmful_callers = 0;
    /// Number of callers that send requests with a part in their prompts that ends each endpoint that runs
    /// them. No two of these requests are alike, and other streams have their other parts.
    int harmful_part_callers = 0;
    /// Endpoints state limits, rest periods or their departure in responses.
    bool has_statements = false;
    /// Instances are cut off from all endpoints for some seconds.
    bool cuts_off = false;
    /// All endpoints of the model service lose their answers from some time on, while most instances are
    /// killed again and again. Their retries are checked against the budget.
    bool checks_retries = false;
    /// The store also returns from copies some seconds old.
    bool has_copies = false;
    /// Instances are suspended, with their steady clock stopped in the meantime.
    bool suspends = false;
};

/// Runs load and faults against a fleet.
class scenario
{
public:
    scenario(scenario_options options, fleet& on, promise_checker& checker);

    /// Runs an event loop on the calling thread until the scenario is complete.
    void run();
    /// Log of events with their times, for diagnosing a failure.
    const std::vector<std::string>& event_log() const { return event_log_; }
    /// The kind of version that is rolled out from the beginning; empty if there is none.
    std::string rolled_out() const { return trial_ ? trial_->name() : std::string{}; }

private:
    static constexpr int max_fault_ms = 3500;

    struct fault
    {
        const char* name;
        bool is_planned;
        std::function<void()> inject;
    };

    void wait(milliseconds it);
    void wait_until_ready(milliseconds patience, const std::string& else_fault);
    void begin_load();
    void start_trial();
    void start_call(std::size_t caller);
    void start_long_call(std::size_t caller);
    void send(caller& by, const call& it, int instance, request_kind kind, std::function<void()> then);
    void start_harmful_call(int n);
    void begin_failing();
    /// Kills most instances, and again after an interval.
    void kill_most();
    std::string prompt_of(const std::string& id, const std::string& middle);
    void on_outcome(const call& of, int instance, time_point sent_at, const caller_outcome& it);
    std::vector<fault> make_faults();
    void inject_fault();
    void note(const std::string& what);
    /// Records an unplanned disturbance that starts now: of one instance, or of all if `instance` is empty.
    void record_disturbance(milliseconds time, std::optional<int> instance);

    // Faults
    void stop_instance();
    void kill_instance(int n);
    void pause_instance();
    void suspend_instance();
    void reload_instance();
    void break_store_link();
    void break_store();
    void break_endpoint_link();
    void reset_endpoint_links();
    void misbehave_endpoint();
    void drain_endpoint();
    void remove_key();
    void forget_history();
    void return_store_from_copy();
    void roll_out_bad_version();

    int pick(int below) { return static_cast<int>(random_() % static_cast<std::uint64_t>(below)); }
    milliseconds pick_time(int min_ms, int max_ms) { return milliseconds{min_ms + pick(max_ms - min_ms)}; }
    int pick_instance() { return pick(static_cast<int>(fleet_.instances().size())); }
    proxied_endpoint& pick_endpoint();
    void schedule(milliseconds after, std::function<void()> what);

    scenario_options options_;
    fleet& fleet_;
    promise_checker& checker_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<std::unique_ptr<caller>> harmful_callers_;
    std::vector<std::unique_ptr<caller>> long_callers_;
    QObject context_; ///< cancels pending timers when the scenario is destroyed
    std::vector<std::string> event_log_;
    time_point began_{};
    std::uint64_t next_request_ = 1;
    bool key_b_removed_ = false;
    bool rollout_began_ = false;
    std::unique_ptr<rollout_trial> trial_;
    std::unique_ptr<key_rotation> keys_;
    std::unique_ptr<statement_series> statements_;
    std::unique_ptr<cut_series> cut_offs_;
    bool is_loading_ = false;
};

} // namespace runlink::soak
