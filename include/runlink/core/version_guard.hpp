/// \file
/// Limits the unrated answers of versions that are rolled out, and stops bad versions.
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
    double initial_window = 4; ///< initial limit of unrated answers of a version, for the whole deployment
    double max_window = 512;
    double growth_per_good = 0.5;     ///< added to the window by each good rating
    double shrink_on_bad = 0.8;       ///< factor on the window for each bad rating
    double accepted_bad_share = 0.05; ///< share of bad answers that an acceptable version has
    /// Shares of bad answers to detect; each is above the accepted one.
    std::array<double, 4> detected_bad_shares{0.08, 0.15, 0.35, 0.9};
    double stop_threshold = 12.0; ///< cumulative log-likelihood ratio at which a version is stopped
    seconds unrated_timeout{600}; ///< after this time an unrated answer no longer counts
};

/// Detects an increase of the share of bad answers at any time (CUSUM): one cumulative sum of log-likelihood
/// ratios for each share to detect.
class bad_share_detector
{
public:
    explicit bad_share_detector(const guard_options& options) : options_{&options} {}

    void add(std::uint64_t good, std::uint64_t bad);
    bool is_bad() const;
    double highest_sum() const;

private:
    const guard_options* options_;
    std::array<double, 4> sums_{};
};

/// The version guard of one instance. It adds up the counts of all instances. The window limits the unrated
/// answers of a version that is rolled out; each live instance may have an equal share of it, at least one.
/// Stopping a version takes effect locally at once; it only makes `admits` reject new sessions and requests.
class version_guard
{
public:
    version_guard(guard_options options, std::function<std::size_t()> live_instances);

    /// Whether a bad version may be stopped; otherwise it is only reported.
    std::function<bool(const version_ref&)> may_stop = [](const version_ref&) { return true; };
    /// Called when a version is found bad, here or by a peer, and again if it is stopped after it was only
    /// reported.
    std::function<void(const version_ref&, bool stopped)> on_bad;

    /// Whether a new session or request may start on the version.
    bool admits(time_point now, const version_ref& version, version_state state);
    bool is_stopped(const version_ref& version) const;

    void started(time_point now, const version_ref& version);
    /// Records a rating of an answer.
    void rated(const version_ref& version, bool good);
    /// Records an error or a malformed answer of the version, which counts as a bad rating. The loss of an
    /// endpoint is not evidence against its version.
    void failed(const version_ref& version);

    /// Counts of this instance, for the heartbeat.
    std::vector<version_counts> counts() const;
    /// Adds the counts of a peer that are new since its last heartbeat.
    void on_peer(const incarnation_id& peer, const std::vector<version_counts>& counts);
    /// Lifts the stop of a version and forgets its counts, so that an operator can let it run again.
    void clear(const version_ref& version);

    /// Current limit of unrated answers in the whole deployment.
    double window(const version_ref& version) const;

private:
    struct record
    {
        version_counts own;
        std::deque<time_point> unrated; ///< start times of unrated answers of this instance, oldest first
        double window = 0;
        bad_share_detector detector;
        bool stopped = false;
        bool reported = false;
    };

    record& record_of(const version_ref& version);
    void add_ratings(const version_ref& version, record& it, std::uint64_t good, std::uint64_t bad);
    void stop(const version_ref& version, record& it);

    guard_options options_;
    std::function<std::size_t()> live_instances_;
    std::map<version_ref, record> records_;
    std::map<incarnation_id, std::map<version_ref, version_counts>> peers_;
};

} // namespace runlink::core
