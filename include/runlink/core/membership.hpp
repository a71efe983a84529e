/// \file
/// Live instances of the deployment and their ownership of ledger partitions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/core/peer_messages.hpp"

namespace runlink::core
{

/// Timing parameters of the membership.
struct membership_options
{
    milliseconds heartbeat_interval{500};
    milliseconds dead_after{2500}; ///< without a heartbeat
    /// After a longer gap between two ticks this process was paused, so silence of its peers in that time
    /// does not count.
    milliseconds pause_threshold{1000};
};

/// One instance's view of the live instances, based on their heartbeats. It determines where messages are
/// sent but not who may write: two instances may disagree for a while, and the create-if-absent operation of
/// the ledger resolves such conflicts.
class membership
{
public:
    membership(member_info self, membership_options options);

    const member_info& self() const { return self_; }
    void set_self_state(bool ready, bool stopping);

    /// Processes a heartbeat. Returns whether a member joined or changed its state.
    bool on_heartbeat(time_point now, const member_info& sender, const heartbeat& it);
    /// Removes and returns members without a heartbeat for longer than `dead_after`.
    std::vector<member_info> tick(time_point now);

    /// Adds an address that heartbeats are sent to, from the settings, the platform's list or a heartbeat.
    void add_address(const std::string& address);
    /// All addresses that heartbeats are sent to, including those that no heartbeat has come from yet.
    std::vector<std::string> addresses() const;

    bool is_alive(const incarnation_id& it) const;
    const member_info* find(const incarnation_id& it) const;
    /// Live members except this instance.
    std::vector<member_info> peers() const;
    /// Live members including this instance.
    std::size_t live_count() const { return members_.size() + 1; }
    /// The member that serves a partition: the one with the highest rendezvous score among those that are
    /// ready and not stopping. Results are cached until a member joins, leaves or changes its state.
    std::optional<member_info> owner_of(partition_id partition) const;
    /// Up to `n` live peers to hold copies: first one in each other failure domain, then any.
    std::vector<member_info> copy_holders(std::size_t n) const;

    /// Increases whenever a member joins, leaves or changes its state.
    std::uint64_t change_count() const { return change_count_; }

    /// The last heartbeat of a live peer; null for others.
    const heartbeat* last_heartbeat(const incarnation_id& it) const;

private:
    struct member
    {
        member_info info;
        heartbeat last_heartbeat;
        time_point last_seen{};
    };

    void record_change();
    std::optional<member_info> find_owner(partition_id partition) const;

    member_info self_;
    membership_options options_;
    bool self_ready_ = false;
    bool self_stopping_ = false;
    std::map<incarnation_id, member> members_;
    std::set<incarnation_id> replaced_incarnations_; ///< restarted since; their late heartbeats are ignored
    std::set<std::string> addresses_;
    std::uint64_t change_count_ = 1;
    std::optional<time_point> last_tick_;
    mutable std::map<partition_id, std::optional<member_info>> owner_cache_;
};

} // namespace runlink::core
