/// \file
/// One instance of each failure domain follows the store; the others ask it, its stand-by or those of other
/// failure domains by datagram.
///
/// A follower's proof counts from when it asked: the relay's proof had the age it tells when it answered, so
/// it was sent at that age before the question or later. Datagrams that wait somewhere make a proof older,
/// never younger.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "runlink/control/kv_store.hpp"
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
    instance_id sender;
    std::uint64_t number = 0;
    std::uint64_t store_revision = 0;
};

/// What the relay knows. Number 0: sent without a question, proves nothing.
struct sync_reply
{
    instance_id sender;
    std::uint64_t number = 0;
    std::optional<milliseconds> proof_age;
    std::uint64_t configuration_revision = 0;
    std::uint64_t since = 0; ///< the events follow this revision without a gap
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
    milliseconds oldest_proof{1350};  ///< older ones are not taken: another relay is asked
    milliseconds subscription{3000};  ///< changes are sent to who asked within this
    std::size_t kept_events = 1000;   ///< a roll-out brings an entry for each endpoint of a service
    /// Bytes of a change that is sent on, before the link compresses it: JSON shrinks to a fifth or less.
    std::size_t largest_value = 256 * 1024;
    std::size_t largest_reply = 256 * 1024; ///< bytes of values in one datagram, before it is compressed
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
};

/// Decides whether this instance follows the store itself, answers followers, and asks relays.
class relay
{
public:
    relay(relay_options options, instance_id self, core::failure_domain_id domain, std::uint32_t link_mbps,
          relay_hooks hooks);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void start(time_point now);
    /// Faster links are chosen first: a change goes out to all of a failure domain at once.
    void put_peer(const instance_id& id, const core::failure_domain_id& domain, std::uint32_t link_mbps);
    void remove_peer(const instance_id& id);

    /// A change that this instance has taken, for those that ask.
    void remember(const kv_event& it);
    /// All changes up to the revision are remembered; sends them to subscribers.
    void publish(time_point now, std::uint64_t revision);
    /// What came before the revision is not remembered.
    void forget_before(std::uint64_t revision);

    void on_request(time_point now, const sync_request& it);
    void on_reply(time_point now, const sync_reply& it);
    /// The store itself has answered this instance.
    void on_own_proof(time_point now);
    void tick(time_point now);
    std::optional<time_point> next_due() const { return next_; }
    bool is_direct() const { return direct_; }
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
    void on_no_proof(time_point now);
    void on_all_lost(time_point now);
    void on_proof(time_point now, const sync_reply& it);
    void set_direct(time_point now, bool direct);
    sync_reply make_reply(time_point now, std::uint64_t since) const;
    bool take_events(time_point now, const sync_reply& it);

    relay_options options_;
    instance_id self_;
    core::failure_domain_id domain_;
    relay_hooks hooks_;
    std::uint32_t link_mbps_;
    std::map<instance_id, peer> peers_;
    std::map<instance_id, subscriber> subscribers_;
    std::deque<kv_event> events_;
    std::uint64_t complete_since_ = 0; ///< all changes behind this revision are in `events_`
    bool direct_ = false;              ///< until the first choice nothing is followed
    std::size_t choice_ = 0;           ///< which of the sources is asked first
    std::size_t tried_ = 0;            ///< sources in this round
    std::uint64_t rounds_ = 0;
    std::uint32_t lost_rounds_ = 0; ///< in a row, without a source that has a proof
    std::uint32_t mismatches_ = 0;  ///< in a row
    std::uint64_t number_ = 0;
    std::optional<time_point> asked_at_; ///< of the question that waits
    std::optional<time_point> next_;
};

} // namespace runlink::control
