/// \file
/// The endpoints listed in the store, and which of them are shutting down.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "runlink/routing/endpoint_entry.hpp"
#include "runlink/routing/endpoint_index.hpp"

namespace runlink::routing
{

/// Time limits of the directory.
struct directory_options
{
    /// How long an entry that vanished with an outage of the store is still used. Live endpoints write their
    /// entries again within about two seconds of the store's return.
    milliseconds vanished_grace{1700};
    /// An entry that vanishes within this time after the store's return counts as lost by the outage.
    milliseconds store_recovery_window{2500};
    /// How long an endpoint that announced its shutdown in an answer may still get requests that no other
    /// endpoint can take; 0: never. Must be below the endpoint's remaining service time minus the network
    /// delay.
    milliseconds last_resort_time{1400};
    /// How long the leaving mark of an unlisted incarnation is kept, since its entry may reappear.
    milliseconds leaving_mark_ttl{600'000};
};

/// Tracks the endpoint entries of the store, and tells which endpoints may get new work.
///
/// A leaving mark lasts for the whole incarnation. Updates of an earlier incarnation are ignored, also after
/// its entry was removed.
class endpoint_directory
{
public:
    explicit endpoint_directory(directory_options options = {}) : options_{options} {}

    /// Effect of an update on an entry.
    enum class change
    {
        none,
        added,
        updated,
        leaving,
        restarted, ///< a later incarnation replaced the known one
        outdated,  ///< the update belongs to an earlier incarnation and was ignored
        removed,
    };

    /// Adds or updates an entry.
    change put(const endpoint_entry& it);
    /// The entry was deleted from the store. Shortly after an outage it stays usable for a grace period.
    change remove(time_point now, const endpoint_name& name);
    /// Removes an entry that cannot be parsed. A foreign writer overwrote it, so it does not describe a live
    /// endpoint, and no grace period applies.
    change drop(const endpoint_name& name);
    /// Takes the complete list of entries; entries that are not in it are removed.
    void replace(time_point now, const std::vector<endpoint_entry>& all);
    /// The endpoint has announced its shutdown itself, at time `since`. The mark holds for the incarnation,
    /// whatever its entry says. Returns false if the mark was already known.
    bool mark_leaving(time_point since, const endpoint_id& id);
    /// Whether the endpoint is known to be shutting down, by its entry or by its own announcement.
    bool is_leaving(const endpoint_id& id) const;
    /// Incarnations that announced their shutdown themselves, and when.
    const std::map<endpoint_id, time_point>& leaving_marks() const { return leaving_marks_; }
    /// The store is reachable again after an outage.
    void store_returned(time_point now) { store_returned_at_ = now; }

    /// Endpoints of a service that may get new work, without those that are leaving.
    std::vector<const endpoint_entry*> usable(time_point now, const service_id& service) const;
    /// Endpoints of a service that announced their shutdown themselves but are not yet listed as leaving.
    /// They may still get requests that no other endpoint can take, for
    /// `directory_options::last_resort_time`.
    std::vector<const endpoint_entry*> last_resorts(time_point now, const service_id& service) const;
    bool is_last_resort(time_point now, const endpoint_id& id) const;
    std::vector<const endpoint_entry*> of_domain(const failure_domain_id& domain) const;
    const endpoint_entry* find(const endpoint_id& id) const;
    /// All endpoints by service and hash, including those that may get no new work.
    const endpoint_index& index() const { return index_; }
    /// The first entry for which `fits` returns true, or null.
    const endpoint_entry* find_if(const std::function<bool(const endpoint_entry&)>& fits) const;
    bool may_get_work(time_point now, const endpoint_id& id) const;
    std::size_t size() const { return records_.size(); }
    /// Removes entries whose grace period is over, and old leaving marks.
    void forget_vanished(time_point now);

private:
    struct record
    {
        endpoint_entry entry;
        bool is_listed_as_leaving = false;
    };

    /// Whether the grace period of an entry that vanished with an outage is over.
    bool has_vanished(time_point now, const endpoint_id& id) const;
    bool is_usable(time_point now, const endpoint_entry& it) const
    {
        return !it.leaving && !has_vanished(now, it.id);
    }

    bool is_last_resort(time_point now, const record& it) const;
    void forget_old_incarnations();
    void forget_old_leaving_marks(time_point now);

    directory_options options_;
    std::map<endpoint_id, record> records_;
    endpoint_index index_;                        ///< of the entries in `records_`
    std::map<endpoint_id, time_point> vanishing_; ///< entries that vanished with an outage, and their end
    std::map<endpoint_name, endpoint_id> current_ids_;           ///< current incarnation, in `records_`
    std::map<endpoint_name, endpoint_incarnation> incarnations_; ///< latest known incarnation
    std::map<endpoint_id, time_point>
        leaving_marks_; ///< by incarnation: when it announced its shutdown itself
    time_point store_returned_at_ = time_point::min();
};

} // namespace runlink::routing
