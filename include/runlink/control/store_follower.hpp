/// \file
/// Follows the store: lists, watches, and proves again and again that the configuration is the newest.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

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
    milliseconds watch_wait{15000}; ///< a waiting watch; longer ones cost fewer calls
    /// Changes are gathered for this long before the next watch: each call has a price, and what changes
    /// must be in force within two seconds.
    milliseconds gather{150};
    /// Instead of that, soon after the start: all instances may start at once, and each one's entry is a
    /// change.
    milliseconds first_gather{700};
    milliseconds start_time{2000};     ///< what counts as soon
    milliseconds proof_interval{1500}; ///< three of them fit into the age that keys allow
    /// Changes of which a proof tells are to have come by the watch within this; then it is begun anew.
    milliseconds watch_lag{250};
    milliseconds first_retry{150};
    milliseconds longest_retry{700};
};

/// What the follower tells.
struct follower_hooks
{
    std::function<void(time_point, std::vector<kv_item>)> listed; ///< all there is
    /// All changes up to the revision have been told.
    std::function<void(time_point, std::uint64_t revision)> caught_up;
    std::function<void(time_point, const kv_event&)> changed;
    /// A call sent at this time proved that the configuration is the one that was told last.
    std::function<void(time_point sent_at)> proven;
    std::function<void(time_point, kv_error)> lost;
    std::function<void(time_point, duration away)> regained;
};

/// Keeps a view of the store current. Nothing that it tells ever goes back to an older revision of a key.
class store_follower
{
public:
    store_follower(follower_options options, kv_store store, follower_hooks hooks);
    store_follower(const store_follower&) = delete;
    store_follower& operator=(const store_follower&) = delete;

    /// The time when answers arrive.
    std::function<time_point()> clock;

    /// Reads everything. A list that has the configuration proves it as a transaction does.
    void start();
    /// Takes all there is as another instance knows it.
    void start_with(std::vector<kv_item> items, std::uint64_t revision);
    /// Watches and proves by itself, or leaves both to a relay.
    void set_direct(time_point now, bool direct);
    void set_proof_interval(milliseconds it) { options_.proof_interval = it; }
    void set_gather(milliseconds it) { options_.gather = it; }
    /// Takes changes that a relay has told: all up to the revision.
    void apply(time_point now, const std::vector<kv_event>& events, std::uint64_t revision);
    /// Reads everything anew.
    void list_again() { list(); }
    /// Proves the configuration's revision after a while, which brings a newer document.
    void prove_soon(time_point now, milliseconds after);
    std::uint64_t revision() const { return revision_; }
    std::uint64_t configuration_revision() const { return configuration_revision_; }
    void tick(time_point now);
    std::optional<time_point> next_due() const;
    /// Told by whoever else calls the store.
    void on_call_failed(time_point now, kv_error why) { note_failure(now, why); }
    void on_call_succeeded(time_point now) { note_success(now); }

    /// The process stood still: a watch may wait on a connection that is dead, and a proof is due.
    void on_wake(time_point now);

    bool is_connected() const { return !lost_at_; }

private:
    void list();
    void on_page(kv_result<kv_page> page);
    void finish_list();
    void take_list(time_point now, std::vector<kv_item> items, std::uint64_t revision);
    void watch();
    void watch_anew();
    void check_watch();
    void on_changes(kv_result<kv_changes> changes);
    void prove(time_point now);
    void on_proof(time_point sent_at, const kv_commit_result& result);
    void note_failure(time_point now, kv_error why);
    void note_success(time_point now);
    void remember(const kv_item& item, bool is_deleted);
    void note_proof(time_point sent_at);
    milliseconds gather(time_point now) const;
    /// Until the latest proof is an interval old.
    milliseconds time_to_proof(time_point now) const;
    milliseconds retry_delay() const;

    follower_options options_;
    kv_store store_;
    follower_hooks hooks_;
    std::vector<kv_item> pages_;
    std::uint64_t revision_ = 0; ///< all changes up to here are known
    std::uint64_t list_revision_ = 0;
    time_point list_sent_at_{}; ///< of the first page
    std::uint64_t configuration_revision_ = 0;
    bool is_direct_ = true; ///< unless `set_direct` says otherwise
    bool is_listed_ = false;
    bool is_listing_ = false;
    bool is_watching_ = false;
    bool is_proving_ = false;
    std::uint32_t failures_ = 0; ///< in a row
    time_point started_at_{};
    std::optional<time_point> proven_at_;
    std::optional<time_point> lost_at_;
    std::optional<time_point> next_list_;
    std::optional<time_point> next_watch_;
    std::optional<time_point> next_proof_;
    std::optional<time_point> check_watch_at_;
    std::uint64_t proven_revision_ = 0; ///< of the store, as the latest proof told
    std::uint64_t watch_number_ = 0;
};

} // namespace runlink::control
