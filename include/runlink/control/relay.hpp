/// \file
/// Relays reduce the number of store calls. One instance of each failure domain, the relay, follows the
/// store. The others are followers: they ask the relay, its stand-by or the relays of other failure domains
/// by datagram.
///
/// A proof is a store call which confirms that the local configuration is the newest; its age counts from
/// when the call was sent. A reply carries the age of the relay's proof at the time of the reply. A follower
/// dates this proof back by that age from the time of its request, which is at or before the time when the
/// relay's proof was sent. Delayed datagrams therefore make a proof look older, never younger.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "runlink/control/change_history.hpp"
#include "runlink/control/kv_store.hpp"
#include "runlink/control/peer_entry.hpp"
#include "runlink/core/ids.hpp"

namespace runlink::control
{

using core::duration;
using core::instance_id;
using core::milliseconds;
using core::time_point;

/// A follower's request for the changes since its revision.
struct sync_request
{
    peer_entry sender; ///< where the reply is sent; relays write this entry to the store
    std::uint64_t number = 0;
    core::store_revision store_revision;
    /// The sender has no view of the store yet, or only parts of the receiver's view.
    bool is_joining = false;
    std::uint64_t configuration_version = 0; ///< in force at the sender; 0: not told
};

/// A relay's reply. With number 0 it was sent without a request and is no proof.
struct sync_reply
{
    instance_id sender;
    std::uint64_t number = 0;
    std::optional<milliseconds> proof_age;
    /// The sender waits until what the store lost is written again; it has no proof before.
    bool is_recovering = false;
    std::uint64_t configuration_version = 0; ///< which the proof confirms
    core::store_revision since;              ///< the events contain all changes after this revision
    /// For a joining instance: all deletions after this revision are included.
    core::store_revision complete_since;
    core::store_revision store_revision;
    bool has_more = false; ///< more changes follow; `store_revision` is the revision of the last one included
    /// The sender has a queue of joining instances and replies later.
    bool is_queued = false;
    bool history_gone = false; ///< the relay doesn't know all changes after the requested revision
    std::vector<kv_event> events;
    std::vector<omitted_value> omitted; ///< changes whose values are too large
};

/// Parameters of the relays.
struct relay_options
{
    /// The relay, which follows the store, and a stand-by, which asks the relay.
    std::size_t relays_per_domain = 2;
    /// With fewer instances, all of them follow the store: the few calls saved would not outweigh the delay
    /// with which a follower notices that its relay has lost the store.
    std::size_t min_members = 16;
    /// Delay of the first choice of relays after the start. By then the entries of the other instances are
    /// known.
    milliseconds first_choice_delay{500};
    milliseconds ask_interval{600};
    milliseconds answer_timeout{300}; ///< far longer than a round trip
    /// Relays collect changes for this long before they watch again. Otherwise each endpoint that crashes or
    /// starts would cost each relay one call.
    milliseconds gather_delay{200};
    milliseconds max_proof_age{1350};         ///< with an older proof, another relay is asked
    milliseconds subscription_lifetime{3000}; ///< changes are sent to instances that asked within this time
    history_options history;
    /// Requests of joining instances within this time get a common reply. Compressing the view for each of
    /// them would take a small processor several seconds.
    milliseconds joiners_delay{40};
    /// Length of the queue of joining instances from which they are told that they wait.
    std::size_t min_queue_to_tell = 16;
    /// Part of the own link that replies to joining instances may use. A link that is full loses datagrams,
    /// and each lost part is requested again.
    double joiners_link_share = 0.8;
    /// Factor by which the parts of a view are compressed, for the estimate of their size.
    std::size_t compression_ratio = 10;
    /// An instance is considered gone after this time without a message. Instances may pause for a few
    /// seconds.
    milliseconds forget_after{20000};
    /// Unanswered requests after which an instance may be considered gone. A single datagram may be lost.
    std::uint32_t min_unanswered = 2;
    /// Followers notice that a relay is gone at different times within this range, so that not all of them
    /// remove its entry.
    milliseconds forget_jitter{10000};
    /// Interval at which instances that follow the store without being relays report to the relay.
    milliseconds heartbeat{5000};
    /// Instances that are asked for a large value before it is read from the store.
    std::size_t max_value_sources = 2;
    /// Consecutive replies that prove a configuration which this instance lacks; then it reads the
    /// configuration from the store.
    std::uint32_t max_mismatches = 3;
    /// Time between two rounds while no relay has a valid proof. The store itself is asked in rounds 1, 2, 4,
    /// 8 and so on.
    milliseconds no_proof_interval{1200};

    /// Returns options with which a follower applies a change within the given time even if its relay loses
    /// the store: the maximum age of a proof, one request interval and two answer timeouts add up to 0.85 of
    /// it.
    static relay_options within(milliseconds apply);
    /// Interval at which relays renew their proofs, so that followers accept them.
    milliseconds proof_interval() const { return max_proof_age * 2 / 3; }
};

/// State of this instance's view of the store.
struct store_view
{
    core::store_revision store_revision;
    std::uint64_t configuration_version = 0; ///< of the configuration in force
    std::optional<duration> proof_age;       ///< empty without a proof
    bool is_recovering = false;              ///< see `sync_reply`
};

/// Actions and queries of the relay logic.
struct relay_hooks
{
    std::function<void(const instance_id& to, const sync_request&)> ask;
    std::function<void(const std::vector<instance_id>& to, const sync_reply&)> reply;
    std::function<store_view(time_point)> view;
    /// Starts or stops following the store directly.
    std::function<void(time_point, bool direct)> set_direct;
    /// Applies all changes after the own revision, up to the given one.
    std::function<void(time_point, const std::vector<kv_event>&, const core::store_revision&)> apply;
    /// Reads the configuration from the store.
    std::function<void(time_point)> fetch;
    /// Gets these values, which are too large for a reply, from the first of the instances that has them.
    std::function<void(time_point, const std::vector<omitted_value>&, const std::vector<instance_id>& from)>
        fetch_from;
    /// Reads the whole store again.
    std::function<void()> list_again;
    /// Requests one proof from the store itself, since no relay has a valid one.
    std::function<void(time_point)> probe;
    /// A relay's proof, sent at this time or later, confirms the configuration of this instance.
    std::function<void(time_point sent_at)> proven;
    /// An instance has not been heard from for longer than `forget_after`.
    std::function<void(time_point, const instance_id&)> forget = [](auto, const auto&) {};
};

/// Decides whether this instance follows the store itself, answers followers and asks relays.
class relay
{
public:
    relay(relay_options options, instance_id self, core::failure_domain_id domain, std::uint32_t link_mbps,
          relay_hooks hooks);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Starts choosing relays.
    void start(time_point now);
    /// Sets the instance that is asked until relays are chosen. With the own id, the store is followed.
    void set_initial_source(time_point now, const instance_id& by);
    /// Adds or updates an instance. Those with faster links are preferred as relays, since a relay sends each
    /// change to its whole failure domain at once.
    void put_peer(const instance_id& id, const core::failure_domain_id& domain, std::uint32_t link_mbps);
    void remove_peer(const instance_id& id);

    /// Records a change for replies to followers.
    void remember(const kv_event& it);
    /// Sends the recorded changes to subscribers. All changes up to the revision must be recorded.
    void publish(time_point now, const core::store_revision& revision);
    /// Records the store's items at the given revision. Earlier changes are forgotten.
    void remember_all(time_point now, const std::vector<kv_item>& items,
                      const core::store_revision& revision);
    /// The known items, and what changed in them.
    const change_history& history() const { return history_; }

    /// Records the view received from another instance, including the deletions after `complete_since`. With
    /// them, followers of a relay that has just started need not read the store.
    void remember_view(const std::vector<kv_event>& events, const core::store_revision& complete_since)
    {
        history_.reset({}, complete_since);
        for (const auto& it : events)
            history_.remember(it);
    }

    void on_request(time_point now, const sync_request& it);
    void on_reply(time_point now, const sync_reply& it);
    /// The process was suspended: messages missed meanwhile don't count as silence, and a new proof is due.
    void on_wake(time_point now);
    /// The store itself has confirmed the configuration.
    void on_own_proof(time_point now);
    void tick(time_point now);
    std::optional<time_point> next_due() const;
    /// Whether this instance follows the store itself.
    bool is_direct() const { return direct_; }
    /// Whether this instance is the relay of its failure domain.
    bool is_relay() const { return relay_since_ && uses_relays(); }
    /// The first relay of each other failure domain.
    std::vector<instance_id> other_relays() const;
    /// Whether there are enough instances to use relays.
    bool uses_relays() const { return peers_.size() + 1 >= options_.min_members; }

private:
    struct subscriber
    {
        time_point asked{};
        core::store_revision revision;
    };

    struct peer
    {
        core::failure_domain_id domain;
        std::uint32_t link_mbps = 0;
    };

    /// The relays of a failure domain, in order. They are chosen anew only after instances were added,
    /// changed or removed, since each round asks for them and all instances have to be compared.
    const std::vector<instance_id>& relays(const core::failure_domain_id& domain) const;
    std::map<core::failure_domain_id, std::vector<instance_id>> choose_relays() const;
    /// Instances to ask, in order: the relays of the own failure domain, then the first of each other one.
    std::vector<instance_id> sources() const;
    /// Instances that may have a value which `first` has, this one first.
    std::vector<instance_id> sources_from(const instance_id& first) const;
    bool follows_store() const;
    bool has_proof(time_point now) const;
    void begin_round(time_point now);
    void ask(time_point now);
    void ask_one(time_point now, const instance_id& to);
    void on_join_request(time_point now, const sync_request& it, bool has_view);
    /// Replies to as many joining instances as the link allows; the others stay in the queue.
    void answer_joiners(time_point now);
    /// Bytes that replies to joining instances may take in one `joiners_delay`.
    std::size_t joiner_bytes() const;
    /// The estimated size of a reply as it is sent.
    std::size_t compressed_size(const sync_reply& it) const;
    /// Reports instances of the own failure domain that are gone.
    void check_members(time_point now);
    bool has_stopped_asking(time_point now, const instance_id& id) const;
    bool has_stopped_answering(time_point now, const instance_id& id) const;
    void on_no_proof(time_point now);
    void on_no_source_left(time_point now);
    void on_proof(time_point now, const sync_reply& it);
    void on_recovering(time_point now);
    void set_direct(time_point now, bool direct);
    sync_reply make_reply(time_point now, const core::store_revision& since, bool is_joining) const;
    /// Applies the events of a reply. Returns false if changes are missing between the own revision and the
    /// reply.
    bool take_events(time_point now, const sync_reply& it);

    relay_options options_;
    instance_id self_;
    core::failure_domain_id domain_;
    relay_hooks hooks_;
    std::uint32_t link_mbps_;
    std::map<instance_id, peer> peers_;
    /// Memo of `choose_relays`; empty after a change of the instances.
    mutable std::map<core::failure_domain_id, std::vector<instance_id>> relays_;
    std::map<instance_id, subscriber> subscribers_;
    /// Joining instances that may get the same reply.
    /// Instances that wait for the part of the view after a revision. Those that have got further come first,
    /// so that they are done sooner.
    std::map<core::store_revision, std::vector<instance_id>, std::greater<>> joiners_;
    std::optional<time_point> answer_joiners_at_;
    change_history history_;
    std::optional<instance_id> initial_source_;
    /// Time of the last request of each instance of the own failure domain.
    std::map<instance_id, time_point> last_request_at_;
    std::optional<time_point> relay_since_;
    struct unanswered_questions
    {
        time_point first{};
        std::uint32_t count = 0;
    };
    std::map<instance_id, unanswered_questions> unanswered_;
    time_point next_heartbeat_{};
    bool direct_ = false;           ///< the store is not followed before the first choice
    std::size_t first_source_ = 0;  ///< index of the source that is asked first
    std::size_t sources_tried_ = 0; ///< sources that gave no valid proof (see top of file) in this round
    std::uint64_t rounds_ = 0;
    std::uint32_t rounds_without_proof_ = 0; ///< consecutive rounds in which no source had a proof
    std::uint32_t mismatches_ = 0;           ///< consecutive replies that prove another configuration
    std::uint64_t request_number_ = 0;
    std::optional<time_point> asked_at_; ///< when the pending request was sent
    std::optional<time_point> next_;
};

} // namespace runlink::control
