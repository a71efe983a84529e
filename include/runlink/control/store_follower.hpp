/// \file
/// Follows the store: lists its items, watches for changes, and periodically proves that the known
/// configuration is the newest.
///
/// A proof is a store call which confirms that the known configuration is the newest; it is valid as of the
/// time when the call was sent.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runlink/control/change_history.hpp"
#include "runlink/control/kv_store.hpp"

namespace runlink::control
{

using core::duration;
using core::milliseconds;
using core::time_point;

/// Parameters of the follower.
struct follower_options
{
    std::string configuration_key;
    milliseconds watch_wait{15000}; ///< maximum time of one watch; longer watches cost fewer calls
    /// Delay between a watch that returned changes and the next one. Collecting changes saves calls, but each
    /// change must be in effect within two seconds.
    milliseconds gather_delay{150};
    /// This delay shortly after the start, since all instances may start at once and the entry of each is a
    /// change.
    milliseconds startup_gather_delay{700};
    milliseconds startup_time{2000};   ///< how long `startup_gather_delay` applies after the start
    milliseconds proof_interval{1500}; ///< three intervals fit into the maximum age allowed for account keys
    /// If a proof returns a store revision with unknown changes, the watch must deliver them within this
    /// time; otherwise it is restarted.
    milliseconds max_watch_lag{250};
    milliseconds min_retry_delay{150};
    milliseconds max_retry_delay{700};
    /// Time after a return of the store from a copy within which what it lost is written again. Until then
    /// the copy's configuration may lack changes that were acknowledged before, so that it proves nothing.
    milliseconds recovery_time{2000};
};

/// Notifications of the follower.
struct follower_hooks
{
    std::function<void(time_point, std::vector<kv_item>)> listed; ///< all items of the store
    /// The items that have been reported, for the comparison with a copy from which the store has returned.
    std::function<const change_history&()> known;
    /// Whether the revision of the key's item is used, e.g. as a condition of a write.
    std::function<bool(const std::string& key)> is_versioned = [](const auto&) { return false; };
    /// All changes up to the revision have been reported.
    std::function<void(time_point, core::store_revision)> caught_up;
    std::function<void(time_point, const kv_event&)> changed;
    /// A call sent at this time proved that the last reported configuration is the newest.
    std::function<void(time_point sent_at)> proven;
    std::function<void(time_point, kv_error)> lost;          ///< the store became unreachable
    std::function<void(time_point, duration away)> regained; ///< the store answers again after this time
    /// The store has returned from a copy.
    std::function<void(time_point, core::store_era previous, core::store_era)> era_began = [](auto, auto,
                                                                                              auto) {};
};

/// Keeps a view of the store up to date. The reported revisions of a key never decrease.
///
/// If the store returns from an older copy, its era rises: the view is read again, and answers to calls that
/// were sent in an earlier era are not used. The differences between the view and the copy are reported as
/// changes. Those that undo a lost change are reported as `is_from_copy`, and without that mark if the key
/// has not been written again after `recovery_time`.
class store_follower
{
public:
    store_follower(follower_options options, kv_store store, follower_hooks hooks);
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;

    /// Returns the current time when an answer arrives.
    std::function<time_point()> clock;

    /// Reads the whole store. A list that contains the configuration is a proof, like a transaction.
    void start();
    /// Starts with the items of another instance's view.
    void start_with(std::vector<kv_item> items, const core::store_revision& revision);
    /// Enables or disables the own watches and proofs. While disabled, a relay supplies both.
    void set_direct(time_point now, bool direct);
    /// A relay's proof, sent at this time or later.
    void on_proven(time_point now, time_point sent_at);
    void set_proof_interval(milliseconds it) { options_.proof_interval = it; }
    void set_gather_delay(milliseconds it) { options_.gather_delay = it; }
    /// Applies the changes received from a relay, which are complete up to the revision.
    void apply(time_point now, const std::vector<kv_event>& events, const core::store_revision& revision);
    /// The configuration that another instance has sent. An older one than is known is ignored.
    void take_configuration(time_point now, const kv_item& it);
    /// Reads the whole store again.
    void list_again() { list(); }
    /// Schedules a proof. If the store has a newer configuration, the proof returns it.
    void prove_soon(time_point now, milliseconds after);
    core::store_revision revision() const { return revision_; }
    core::store_revision configuration_revision() const { return configuration_revision_; }
    core::store_era era() const { return era_; }
    /// The store has given an answer in this era. To be called before the answer itself is handled.
    void on_era(core::store_era era);
    /// Whether what the store has lost may still be written again; there is no proof before.
    bool is_recovering(time_point now) const { return now < settled_at_; }
    void tick(time_point now);
    std::optional<time_point> next_due() const;
    /// Report the outcome of store calls made elsewhere in the process.
    void on_call_failed(time_point now, kv_error why) { note_failure(now, why); }
    void on_call_succeeded(time_point now) { note_success(now); }

    /// The process was suspended: restarts the watch, whose connection may be dead, and proves immediately.
    void on_wake(time_point now);

    bool is_connected() const { return !lost_at_; }

private:
    void begin_era(time_point now, core::store_era era);
    /// Reports a change.
    void report(time_point now, const kv_event& it);
    /// Reports the copy's state of the keys that have not been written again, once a proof shows that the
    /// store was there after the time for this.
    void end_recovery(time_point now);
    void list();
    void request_page(const std::string& after);
    void on_page(kv_result<kv_page> page);
    void finish_list();
    void take_list(time_point now, std::vector<kv_item> items, core::store_revision revision);
    void watch();
    void restart_watch();
    void check_watch();
    void on_changes(kv_result<kv_changes> changes);
    void prove(time_point now);
    /// The revision that a proof requires of the configuration.
    std::uint64_t revision_to_prove() const;
    void on_proof(time_point sent_at, const kv_commit_result& result);
    void note_failure(time_point now, kv_error why);
    void note_success(time_point now);
    void remember(time_point now, const kv_item& item, bool is_deleted);
    /// Proofs count from now on, since the store's contents are complete again.
    void settle(time_point now);
    void note_proof(time_point sent_at);
    milliseconds watch_delay(time_point now) const;
    /// Time until the latest proof is one `proof_interval` old.
    milliseconds time_to_proof(time_point now) const;
    milliseconds retry_delay() const;

    follower_options options_;
    kv_store store_;
    follower_hooks hooks_;
    std::vector<kv_item> pages_;
    core::store_era era_;           ///< latest that the store has told
    core::store_revision revision_; ///< all changes up to this revision are known
    core::store_revision list_revision_;
    /// The first known revision of the era; none before a list has told it.
    core::store_revision era_began_at_;
    time_point settled_at_ = time_point::min();       ///< from when proofs count, see `recovery_time`
    time_point recovery_ends_at_ = time_point::min(); ///< when the copy's state counts
    std::map<std::string, kv_event> from_copy_;       ///< by key, those that have not been written again
    std::uint64_t list_number_ = 0;
    time_point list_sent_at_{}; ///< of the first page
    core::store_revision configuration_revision_;
    bool is_direct_ = true; ///< see `set_direct`
    bool is_listed_ = false;
    bool is_listing_ = false;
    bool is_watching_ = false;
    bool is_proving_ = false;
    std::uint32_t failures_ = 0; ///< consecutive failed calls
    time_point started_at_{};
    std::optional<time_point> proven_at_;
    std::optional<time_point> lost_at_;
    std::optional<time_point> next_list_;
    std::optional<time_point> next_watch_;
    std::optional<time_point> next_proof_;
    std::optional<time_point> next_watch_check_;
    core::store_revision proven_revision_; ///< store revision returned by the latest proof
    std::uint64_t watch_number_ = 0;
};

} // namespace runlink::control
