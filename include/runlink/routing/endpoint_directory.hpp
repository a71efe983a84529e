/// \file
/// The endpoints that the store lists, and which of them are leaving.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::routing
{

using core::duration;
using core::endpoint_id;
using core::endpoint_incarnation;
using core::endpoint_name;
using core::failure_domain_id;
using core::milliseconds;
using core::service_id;
using core::time_point;
using core::version_id;

/// The id of one life. Loads, failures, kept prompts and evidence are remembered by it, so that all of them
/// end with the life.
endpoint_id life_of(const endpoint_name& name, endpoint_incarnation incarnation);

/// One life of an endpoint.
struct endpoint_entry
{
    endpoint_id id; ///< see `life_of`
    endpoint_name name;
    endpoint_incarnation incarnation;
    service_id service;
    std::string host; ///< an IP number
    std::uint16_t port = 0;
    failure_domain_id failure_domain;
    version_id version; ///< of its software or weights
    std::uint32_t slots = 1;
    bool leaving = false;
    milliseconds cold_for{}; ///< how much longer it bears little load, as it said when it wrote this

    friend bool operator==(const endpoint_entry&, const endpoint_entry&) = default;
};

/// Bounds of the directory.
struct directory_options
{
    /// How long an entry that vanished around an outage of the store is still used: endpoints that live
    /// write theirs again within about two seconds of the store's return.
    milliseconds vanished_grace{1700};
    /// An entry that vanishes this soon after the store was back counts as lost with the outage.
    milliseconds outage_shadow{2500};
    /// How long an endpoint that says in an answer that it leaves may still get what fits nowhere else. Below
    /// the time for which it serves on, less the way there. 0: not at all.
    milliseconds last_resort{1400};
    /// Marks of lives that are not listed are kept for this long: their entries may be back.
    milliseconds marks_kept{600'000};
};

/// Takes what the store says and answers which endpoints may get new work. A leaving mark is never taken
/// back in one life. The news of an earlier life changes nothing, also when it comes after the entry is gone.
class endpoint_directory
{
public:
    explicit endpoint_directory(directory_options options = {}) : options_{options} {}

    /// What became of an entry.
    enum class change
    {
        none,
        added,
        updated,
        leaving,
        restarted, ///< a later life has taken the place of the one that was known
        outdated,  ///< news of an earlier life
        removed,
    };

    change put(const endpoint_entry& it);
    /// The entry is gone from the store.
    change remove(time_point now, const endpoint_name& name);
    /// The entry cannot be read: somebody else wrote it, so that it says nothing about an endpoint that
    /// lives.
    change drop(const endpoint_name& name);
    /// The whole list as it stands now; what it lacks is gone.
    void replace(time_point now, const std::vector<endpoint_entry>& all);
    /// The endpoint says itself that it leaves, since that time. Holds for its life, whatever its entry says.
    /// Returns whether it is news.
    bool mark_leaving(time_point since, const endpoint_id& id);
    /// Whether it leaves, by its entry or by its word, as far as is known.
    bool is_leaving(const endpoint_id& id) const;
    /// Lives that are leaving by their own word, and since when.
    const std::map<endpoint_id, time_point>& leaving_marks() const { return marks_; }
    /// The store was away until now.
    void store_returned(time_point now) { store_returned_at_ = now; }

    /// Endpoints of a service that may get new work. One that leaves may not.
    std::vector<const endpoint_entry*> usable(time_point now, const service_id& service) const;
    /// Endpoints of a service that leave by their own word, not by their entry, and may still get what fits
    /// nowhere else.
    std::vector<const endpoint_entry*> last_resorts(time_point now, const service_id& service) const;
    bool is_last_resort(time_point now, const endpoint_id& id) const;
    std::vector<const endpoint_entry*> of_domain(const failure_domain_id& domain) const;
    const endpoint_entry* find(const endpoint_id& id) const;
    /// The first one that fits, or null.
    const endpoint_entry* find_if(const std::function<bool(const endpoint_entry&)>& fits) const;
    bool may_get_work(time_point now, const endpoint_id& id) const;
    std::size_t size() const { return records_.size(); }
    /// Forgets entries whose grace is over, and old marks.
    void forget_vanished(time_point now);

private:
    struct record
    {
        endpoint_entry entry;
        time_point usable_until = time_point::max();
        bool is_listed_as_leaving = false;
    };

    static bool is_usable(time_point now, const record& it)
    {
        return !it.entry.leaving && now < it.usable_until;
    }

    bool is_last_resort(time_point now, const record& it) const;
    void forget_old_incarnations();
    void forget_old_marks(time_point now);

    directory_options options_;
    std::map<endpoint_id, record> records_;
    std::map<endpoint_name, endpoint_id> lives_;                 ///< of `records_`
    std::map<endpoint_name, endpoint_incarnation> incarnations_; ///< the latest that was heard of
    std::map<endpoint_id, time_point> marks_; ///< lives that said themselves that they leave, and when
    time_point store_returned_at_ = time_point::min();
};

} // namespace runlink::routing
