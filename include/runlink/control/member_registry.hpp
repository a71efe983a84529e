/// \file
/// Keeps the instances' entries in the store, many with one call.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "runlink/control/peer_entry.hpp"
#include "runlink/core/units.hpp"

namespace runlink::control
{

/// Parameters of the registry.
struct registry_options
{
    /// Entries that come within this are written together: a whole fleet may start at once.
    core::milliseconds gather{300};
    core::milliseconds retry_after{1000};
    /// Writes and removals in one call; the store takes no more.
    std::size_t most_in_call = 32;
};

/// Entries to write and to remove with one call.
struct registry_batch
{
    std::vector<peer_entry> put;
    std::vector<core::instance_id> removed;
};

/// What a call became.
enum class registry_outcome
{
    done,
    failed,
};

/// Writes the entries of instances that announce themselves, and removes those of instances that are gone.
///
/// Answers starts of many instances at once: an entry with a lease of its own costs each instance two calls
/// and a renewal every few seconds; 295 of them cost 17 calls this way instead of 590, renewals apart
/// (calls counted by kind in the logs of a start). An instance that restarts at its address finds its
/// entry and costs none.
class member_registry
{
public:
    using done_handler = std::function<void(registry_outcome)>;
    using writer = std::function<void(const registry_batch&, done_handler)>;

    member_registry(registry_options options, writer write);
    member_registry(const member_registry&) = delete;
    member_registry& operator=(const member_registry&) = delete;

    /// The store has this entry.
    void listed(const peer_entry& it);
    /// The store has no entry of the instance.
    void unlisted(const core::instance_id& id);
    std::vector<core::instance_id> listed_ids() const;

    /// An instance tells of itself: its entry is written unless the store has it.
    void announce(core::time_point now, const peer_entry& it);
    /// An instance is gone.
    void withdraw(core::time_point now, const core::instance_id& id);

    void tick(core::time_point now);
    std::optional<core::time_point> next_due() const { return next_; }

private:
    void arm(core::time_point at);
    void send(core::time_point now);
    void on_done(core::time_point sent_at, const registry_batch& batch, registry_outcome outcome);

    registry_options options_;
    writer write_;
    std::map<core::instance_id, peer_entry> listed_;
    std::map<core::instance_id, peer_entry> to_put_;
    std::set<core::instance_id> to_remove_;
    std::optional<core::time_point> next_;
};

} // namespace runlink::control
