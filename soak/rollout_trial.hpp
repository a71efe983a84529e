/// \file
/// One roll-out of a new version, good or with one kind of defect reported by users, and the actions of the
/// platform during the roll-out.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <QTimer>

#include "soak/fleet.hpp"

namespace runlink::soak
{

/// The defect of a version, if any.
struct version_kind
{
    std::string name;
    standins::served_endpoint::mode answers = standins::served_endpoint::mode::normal;
    double share = 0;     ///< fraction of its responses with the defect
    double times = 8;     ///< slowdown factor of slow responses
    milliseconds from{};  ///< time after the start of the roll-out at which the defect begins
    double old_share = 0; ///< fraction of the old version's responses with the defect at the same time
    bool is_bad() const { return share > 0; }
};

/// Starts the roll-out on construction. Acts as the platform does: stops the old endpoints once the roll-out
/// has succeeded, or the new ones some seconds after it was rolled back.
class rollout_trial
{
public:
    /// Faults of the platform and of other endpoints may occur at the same time.
    rollout_trial(fleet& on, promise_checker& checker, std::uint64_t seed);
    rollout_trial(const rollout_trial&) = delete;
    rollout_trial& operator=(const rollout_trial&) = delete;

    const std::string& name() const { return kind_.name; }
    /// Checks that the roll-out ended as expected, if its time is over and nothing disturbed all instances.
    void finish();

private:
    void add_new_endpoints();
    void misbehave(proxied_endpoint& it, double share);
    void poll_status();
    void stop(const std::string& version);
    bool happens(double share) { return std::uniform_real_distribution<>{0, 1}(random_) < share; }

    fleet& fleet_;
    promise_checker& checker_;
    std::mt19937_64 random_;
    version_kind kind_;
    time_point began_{};
    std::string state_;
    QTimer poll_timer_;
    QObject context_; ///< cancels pending timers when the trial is destroyed
};

} // namespace runlink::soak
