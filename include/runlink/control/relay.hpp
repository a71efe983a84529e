/// \file
/// One instance of each failure domain follows the store; the others ask it, its stand-by or those of other
/// failure domains by datagram.
///
/// A follower's proof counts from when it asked: the relay's proof had the age it tells when it answered, so
/// it was sent at that age before the question or later. Datagrams that wait somewhere make a proof older,
/// never younger.
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

/// A question of a follower: what is new since its revision?
struct sync_request
{
    peer_entry sender; ///< where the answer goes; relays see to it that the store has the entry
    std::uint64_t number = 0;
    std::uint64_t store_revision = 0;
    bool is_joining = false; ///< has no view of the store yet, or parts of one from the asked instance
};

/// What the relay knows. Number 0: sent without a question, proves nothing.
struct sync_reply
{
    instance_id sender;
    std::uint64_t number = 0;
    std::optional<milliseconds> proof_age;
    std::uint64_t configuration_revision = 0;
    std::uint64_t since = 0; ///< the events follow this revision without a gap
    /// For an instance that starts: which deletions it learns as well, those behind this revision.
    std::uint64_t complete_since = 0;
    std::uint64_t store_revision = 0;
    bool has_more = false;     ///< more changes follow the last one here; `store_revision` is that one's
    bool history_gone = false; ///< the relay does not know all that came after the asked revision
    std::vector<kv_event> events;
    std::vector<std::string> omitted; ///< keys that changed and whose values are too large
};

/// Parameters of the relays.
struct relay_options
{
    std::size_t relays_per_domain = 2; ///< one that follows the store and a stand-by, which asks it
    /// With fewer instances all follow the store: the calls that relays save are worth less than the time by
    /// which a follower learns later that its relay has lost the store.
    std::size_t least_members = 16;
    /// After the start; by then the others' entries are there.
    milliseconds first_choice{500};
    milliseconds ask_interval{600};
    milliseconds answer_timeout{300}; ///< far above the way and back
    /// Relays gather changes for this long before they watch again: endpoints that crash or come one by one
    /// are a change each, and each relay pays a call for it.
    milliseconds gather{200};
    milliseconds oldest_proof{1350}; ///< older ones are not taken: another relay is asked
    milliseconds subscription{3000}; ///< changes are sent to who asked within this
    history_options history;
    /// Instances that start together are answered together after this: compressing a view once for each of
    /// them would keep a small processor busy for seconds.
    milliseconds joiners_gather{40};
    /// An instance that was not heard for this long is gone: a pause of a few seconds is not the end of it.
    milliseconds forget_after{20000};
    /// Datagrams may be lost: one question without an answer says nothing.
    std::uint32_t least_unanswered = 2;
    /// Followers notice that a relay is gone at times that differ by up to this; one removal is enough.
    milliseconds forget_spread{10000};
    /// Instances that follow the store without being relays tell of themselves this often.
    milliseconds heartbeat{5000};
    /// Replies in a row that prove a configuration which this instance lacks, after which the store is asked.
    std::uint32_t patience = 3;
    /// Between two rounds while no relay has a proof; the store itself is asked in rounds 1, 2, 4, 8 and so
    /// on.
    milliseconds lost_interval{1200};

    /// Times within which a follower whose relay loses the store still applies a change in the given time:
    /// a proof's age, an interval, and two answers that do not come are 0.85 of it.
    static relay_options within(milliseconds apply);
    /// How often relays prove, so that their proofs are young enough.
    milliseconds proof_interval() const { return oldest_proof * 2 / 3; }
};

/// What this instance knows of the store.
struct store_view
{
    std::uint64_t store_revision = 0;
    std::uint64_t configuration_revision = 0;
    std::optional<duration> proof_age;
};

/// What the relay logic orders.
struct relay_hooks
{
    std::function<void(const instance_id& to, const sync_request&)> ask;
    std::function<void(const std::vector<instance_id>& to, const sync_reply&)> reply;
    std::function<store_view(time_point)> view;
    /// Follow the store directly, or not any more.
    std::function<void(time_point, bool direct)> set_direct;
    /// Changes behind the own revision, up to the given one.
    std::function<void(time_point, const std::vector<kv_event>&, std::uint64_t revision)> apply;
    /// Keys whose values must be read from the store.
    std::function<void(time_point, const std::vector<std::string>& keys)> fetch;
    std::function<void()> list_again;
    /// One proof from the store itself, as no relay has one.
    std::function<void(time_point)> probe;
    std::function<void(time_point sent_at)> proven;
    /// An instance has not been heard for long.
    std::function<void(time_point, const instance_id&)> forget = [](auto, const auto&) {};
};

/// Decides whether this instance follows the store itself, answers followers, and asks relays.
class relay
{
public:
    relay(relay_options options, instance_id self, core::failure_domain_id domain, std::uint32_t link_mbps,
          relay_hooks hooks);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Chooses relays from now on.
    void start(time_point now);
    /// Until the choice another instance is asked, or, with the own id, the store is followed.
    void introduce(time_point now, const instance_id& by);
    /// Faster links are chosen first: a change goes out to all of a failure domain at once.
    void put_peer(const instance_id& id, const core::failure_domain_id& domain, std::uint32_t link_mbps);
    void remove_peer(const instance_id& id);

    /// A change that this instance has taken, for those that ask.
    void remember(const kv_event& it);
    /// All changes up to the revision are remembered; sends them to subscribers.
    void publish(time_point now, std::uint64_t revision);
    /// The store's items as they are at the revision; what came before is not remembered.
    void remember_all(time_point now, const std::vector<kv_item>& items, std::uint64_t revision);

    /// The same, as another instance told it, with the deletions behind `complete_since`. Those that ask a
    /// relay which has just started need not read the store then.
    void remember_view(const std::vector<kv_event>& events, std::uint64_t complete_since)
    {
        history_.reset({}, complete_since);
        for (const auto& it : events)
            history_.remember(it);
    }

    void on_request(time_point now, const sync_request& it);
    void on_reply(time_point now, const sync_reply& it);
    /// The process stood still: what it has not heard meanwhile says nothing, and a proof is due.
    void on_wake(time_point now);
    /// The store itself has answered this instance.
    void on_own_proof(time_point now);
    void tick(time_point now);
    std::optional<time_point> next_due() const;
    bool is_direct() const { return direct_; }
    /// Whether this instance is the relay of its failure domain.
    bool is_relay() const { return relay_since_ && is_used(); }
    /// The first relay of each other failure domain.
    std::vector<instance_id> other_relays() const;
    /// Whether there are enough instances for relays.
    bool is_used() const { return peers_.size() + 1 >= options_.least_members; }

private:
    struct subscriber
    {
        time_point asked{};
        std::uint64_t revision = 0;
    };

    struct peer
    {
        core::failure_domain_id domain;
        std::uint32_t link_mbps = 0;
    };

    std::vector<instance_id> relays(const core::failure_domain_id& domain) const;
    /// Whom to ask, in order: the own failure domain's relays, then the first of each other one.
    std::vector<instance_id> sources() const;
    bool follows_store() const;
    bool has_proof(time_point now) const;
    void begin_round(time_point now);
    void ask(time_point now);
    void ask_one(time_point now, const instance_id& to);
    void answer_joiners(time_point now);
    /// Finds instances of the own failure domain that are gone.
    void check_members(time_point now);
    bool asks_nothing(time_point now, const instance_id& id) const;
    bool answers_nothing(time_point now, const instance_id& id) const;
    void on_no_proof(time_point now);
    void on_all_lost(time_point now);
    void on_proof(time_point now, const sync_reply& it);
    void set_direct(time_point now, bool direct);
    sync_reply make_reply(time_point now, std::uint64_t since, bool is_joining) const;
    bool take_events(time_point now, const sync_reply& it);

    relay_options options_;
    instance_id self_;
    core::failure_domain_id domain_;
    relay_hooks hooks_;
    std::uint32_t link_mbps_;
    std::map<instance_id, peer> peers_;
    std::map<instance_id, subscriber> subscribers_;
    /// Instances that start and may get the same answer.
    struct joiner_group
    {
        std::uint64_t since = 0;  ///< revision up to which they have a view
        std::uint64_t number = 0; ///< of their question

        friend auto operator<=>(const joiner_group&, const joiner_group&) = default;
    };
    std::map<joiner_group, std::vector<instance_id>> joiners_;
    std::optional<time_point> answer_joiners_at_;
    change_history history_;
    std::optional<instance_id> introducer_;
    std::map<instance_id, time_point> heard_; ///< of the own failure domain, while this instance is its relay
    std::optional<time_point> relay_since_;
    struct unanswered_questions
    {
        time_point first{};
        std::uint32_t count = 0;
    };
    std::map<instance_id, unanswered_questions> unanswered_;
    time_point next_heartbeat_{};
    bool direct_ = false;    ///< until the first choice nothing is followed
    std::size_t choice_ = 0; ///< which of the sources is asked first
    std::size_t tried_ = 0;  ///< sources in this round
    std::uint64_t rounds_ = 0;
    std::uint32_t lost_rounds_ = 0; ///< in a row, without a source that has a proof
    std::uint32_t mismatches_ = 0;  ///< in a row
    std::uint64_t number_ = 0;
    std::optional<time_point> asked_at_; ///< of the question that waits
    std::optional<time_point> next_;
};

} // namespace runlink::control
