/// \file
/// Start-up of an instance: loads the contents of the store and joins the fleet.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "runlink/control/relay.hpp"

namespace runlink::control
{

/// Timeouts of the start-up.
struct join_options
{
    /// After this the next seed is asked. Longer than a round trip plus the time in which a small processor
    /// compresses the view. If all instances start at once, a seed may start later and miss the first
    /// request.
    milliseconds answer_timeout{120};
    /// Requests for the same further part before another seed is asked from the beginning. The timeout
    /// doubles with each, since a seed serves many joining instances one after the other.
    std::uint32_t max_part_requests = 3;
    /// Time after which an instance that waits in a seed's queue asks again, in case the seed is gone.
    milliseconds queued_interval{800};
    /// After this time without a part of the view the instance reads the store instead. Leaves time for the
    /// seeds to read the store first if all instances start at once.
    milliseconds store_fallback_delay{1500};
    /// Other instances should write this instance's entry to the store within this time; otherwise it writes
    /// the entry itself.
    milliseconds listing_timeout{3000};
    /// Time between the listing of this instance's entry and the choice of relays. Within it, the entries of
    /// instances that started at the same time are listed too.
    milliseconds settle_delay{600};
};

/// The contents of the store at a revision, and the deletions after an earlier revision.
struct joined_view
{
    std::vector<kv_event> events;
    core::store_revision revision;
    core::store_revision complete_since; ///< all deletions after this revision are included
    std::vector<omitted_value> omitted;  ///< changes whose values are too large
};

/// Actions that the start-up triggers.
struct join_hooks
{
    std::function<void(const instance_id& to, const sync_request&)> ask;
    /// Reads the store.
    std::function<void()> list;
    /// Takes over the complete view of another instance.
    std::function<void(time_point, const joined_view&)> take_view;
    /// Whether a view without the value of this key can be taken over. If not, the store is read.
    std::function<bool(const std::string& key)> may_omit = [](const auto&) { return false; };
    /// Gets values that the view lacks from the instance that has sent it.
    std::function<void(time_point, const std::vector<omitted_value>&, const instance_id& from)> fetch;
    /// Sets the instance that is asked for changes until relays are chosen. The own id means the store
    /// itself.
    std::function<void(time_point, const instance_id&)> set_initial_source;
    /// The start-up is complete; relays may be chosen.
    std::function<void(time_point)> settle;
};

/// Asks a seed for its view of the store, or reads the store if no seed answers. Then waits until this
/// instance's own entry is in the store.
///
/// This limits the load on the store when all or half of the instances start at once. Only seeds read the
/// store. No instance follows the store merely because the entries of the others are not written yet. A start
/// of 295 instances takes 3 lists instead of 295 each of lists, watches and proofs (calls by kind in the logs
/// of a start).
class fleet_join
{
public:
    /// `seeds`: instances that may be running; empty if this instance is a seed itself.
    fleet_join(join_options options, instance_id self, std::vector<instance_id> seeds, join_hooks hooks);
    fleet_join(const fleet_join&) = delete;
    fleet_join& operator=(const fleet_join&) = delete;

    void start(time_point now);
    /// Handles the reply of a seed. Ignored unless the instance is waiting for one.
    void on_reply(time_point now, const sync_reply& it);
    /// The store has been read.
    void on_listed(time_point now);
    /// The store holds this instance's entry.
    void on_own_entry(time_point now);
    /// Whether the instance has to write its entry itself, since no other instance has done so in time.
    bool must_announce_itself(time_point now) const;
    bool is_asking() const { return phase_ == phase::asking; }
    bool is_settled() const { return phase_ == phase::settled; }
    void tick(time_point now);
    std::optional<time_point> next_due() const { return next_; }

private:
    enum class phase
    {
        asking,
        reading,
        settling,
        settled,
    };

    /// Asks the next seed for its view from the beginning.
    void ask_next(time_point now);
    /// The seed is busy and serves this instance later.
    void on_queued(time_point now);
    /// Asks the same seed again if parts of its view are known, else the next one.
    void ask_again(time_point now);
    void ask(time_point now);
    /// Takes a part; a later part may change or delete items of an earlier one.
    void take_part(const sync_reply& it);
    void read_store(time_point now);
    void begin_settling(time_point now);

    join_options options_;
    instance_id self_;
    std::vector<instance_id> seeds_;
    join_hooks hooks_;
    phase phase_ = phase::asking;
    std::size_t seed_index_ = 0;
    std::uint64_t request_number_ = 0;
    joined_view view_;                       ///< the parts received so far
    instance_id source_;                     ///< sender of these parts
    std::map<std::string, kv_event> events_; ///< of these parts, by key
    std::uint32_t part_requests_ = 0;        ///< for the next part
    bool is_queued_ = false;                 ///< the seed has this instance in its queue
    time_point store_fallback_at_{};
    time_point listing_deadline_{};
    bool is_listed_ = false;
    std::optional<time_point> next_;
};

} // namespace runlink::control
