/// \file
/// Which instances are alive, and which of them owns a ledger partition.
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

/// Times of the membership.
struct membership_options
{
    milliseconds heartbeat_interval{500};
    milliseconds dead_after{2500};
    /// A longer gap between two ticks means that this process was paused, not that its peers died.
    milliseconds pause_threshold{1000};
};

/// View of the instances, made from their heartbeats. It decides where to send, never who may write:
/// two instances may disagree for a while, and the ledger's create-if-absent settles it.
class membership
{
public:
    membership(member_info self, membership_options options);

    const member_info& self() const { return self_; }
    void set_self_state(bool ready, bool stopping);

    /// Takes a heartbeat in. Returns whether the set of members changed.
    bool on_heartbeat(time_point now, const member_info& sender, const heartbeat& it);
    /// Drops members that have been silent. Returns those that died.
    std::vector<member_info> tick(time_point now);

    /// An address to send heartbeats to, from the settings or the platform's list.
    void add_address(const std::string& address);
    /// Every address that heartbeats go to: known members and those never heard of.
    std::vector<std::string> addresses() const;

    bool is_alive(const incarnation_id& it) const;
    const member_info* find(const incarnation_id& it) const;
    /// Live members without this instance.
    std::vector<member_info> peers() const;
    std::size_t live_count() const { return members_.size() + 1; }
    /// The member that serves a partition: ready, not stopping, highest rendezvous score.
    /// Answers are kept until a member comes, goes or changes its state.
    std::optional<member_info> owner_of(partition_id partition) const;
    /// Live peers to hold copies, in failure domains as different as there are.
    std::vector<member_info> copy_holders(std::size_t n) const;

    /// Grows whenever a member comes, goes or changes its state.
    std::uint64_t change_count() const { return changes_; }

    /// The last heartbeat of a live member.
    const heartbeat* last_heartbeat(const incarnation_id& it) const;

private:
    struct member
    {
        member_info info;
        heartbeat last;
        time_point seen{};
    };

    void changed();
    std::optional<member_info> find_owner(partition_id partition) const;

    member_info self_;
    membership_options options_;
    bool self_ready_ = false;
    bool self_stopping_ = false;
    std::map<incarnation_id, member> members_;
    std::set<incarnation_id> replaced_;
    std::set<std::string> addresses_;
    std::uint64_t changes_ = 1;
    std::optional<time_point> last_tick_;
    mutable std::map<partition_id, std::optional<member_info>> owners_; ///< found since the last change
};

} // namespace runlink::core
