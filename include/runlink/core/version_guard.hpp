/// \file
/// Limits how many answers a version may give before they are rated, and stops bad versions.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "runlink/core/configuration.hpp"
#include "runlink/core/peer_messages.hpp"

namespace runlink::core
{

/// Parameters of the guard.
struct guard_options
{
    double first_window = 4; ///< unrated answers that a young version may have, in the whole deployment
    double widest_window = 512;
    double growth_per_good = 0.5; ///< window added by each good rating
    double shrink_on_bad = 0.8;   ///< window left after a bad rating
    double accepted_bad = 0.05;   ///< rate of bad answers of a sound version
    /// Rates of bad answers that the test looks for, above the accepted one.
    std::array<double, 4> looked_for{0.08, 0.15, 0.35, 0.9};
    double stop_threshold = 12.0; ///< log-likelihood ratio at which a version is stopped
    seconds unrated_expires{600}; ///< an answer that nobody rated leaves the window then
};

/// Detects a change of the rate of bad answers at any time in a version's life: cumulative sums of the
/// log-likelihood ratio, one for each degree of badness.
class badness_test
{
public:
    explicit badness_test(const guard_options& options) : options_{&options} {}

    void add(std::uint64_t good, std::uint64_t bad);
    bool is_bad() const;
    double highest() const;

private:
    const guard_options* options_;
    std::array<double, 4> sums_{};
};

/// The guard of one instance. It adds up what all instances report, and its share of a young version's
/// window is the window divided by the live instances. Stopping only ever denies, at once and locally.
class version_guard
{
public:
    version_guard(guard_options options, std::function<std::size_t()> live_instances);

    /// Whether a version may be stopped; one that may not is only reported.
    std::function<bool(const version_ref&)> may_stop = [](const version_ref&) { return true; };
    /// Called once for each version that this instance's guard finds bad.
    std::function<void(const version_ref&, bool stopped)> on_bad;

    /// Whether a new session or request may start on the version.
    bool admits(time_point now, const version_ref& version, version_state state);
    bool is_stopped(const version_ref& version) const;

    void started(time_point now, const version_ref& version);
    /// An answer was rated. `failed` ratings count as bad.
    void rated(const version_ref& version, bool good);
    /// The version gave an error or a malformed answer. An endpoint that is lost says nothing of its version.
    void failed(const version_ref& version);

    /// Own counts, for the heartbeat.
    std::vector<version_counts> counts() const;
    /// Counts of a peer; only what is new since its last heartbeat is added.
    void on_peer(const incarnation_id& peer, const std::vector<version_counts>& counts);
    /// An operator has looked at a stopped version and lets it go on.
    void clear(const version_ref& version);

    double window(const version_ref& version) const;

private:
    struct record
    {
        version_counts own;
        std::deque<time_point> unrated; ///< own answers, oldest first
        double window = 0;
        badness_test test;
        bool stopped = false;
        bool reported = false;
    };

    record& at(const version_ref& version);
    void evidence(const version_ref& version, record& it, std::uint64_t good, std::uint64_t bad);
    void stop(const version_ref& version, record& it);

    guard_options options_;
    std::function<std::size_t()> live_instances_;
    std::map<version_ref, record> records_;
    std::map<incarnation_id, std::map<version_ref, version_counts>> peers_;
};

} // namespace runlink::core
