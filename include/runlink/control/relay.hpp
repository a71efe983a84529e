/// \file
/// Two instances of each failure domain follow the store; the others ask them by datagram.
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
    std::size_t relays_per_domain = 2; ///< one and a stand-by
    /// With fewer instances all follow the store: the calls that relays save are worth less than the time by
    /// which a follower learns later that its relay has lost the store.
    std::size_t least_members = 16;
    milliseconds first_choice{500}; ///< after the start; by then the others' entries have come
    milliseconds ask_interval{600};
    milliseconds answer_timeout{300};      ///< far above the way and back
    milliseconds oldest_proof{1350};       ///< older ones are not taken: the store is asked directly
    milliseconds subscription{3000};       ///< changes are sent to who asked within this
    std::size_t kept_events = 1000;        ///< a roll-out brings an entry for each endpoint of a service
    std::size_t largest_value = 4096;      ///< of a change that is sent on, bytes
    std::size_t largest_reply = 16 * 1024; ///< bytes of values in one datagram

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
    std::function<void(const instance_id& to, const sync_reply&)> reply;
    std::function<store_view(time_point)> view;
    /// Follow the store directly, or not any more.
    std::function<void(time_point, bool direct)> set_direct;
    /// Changes behind the own revision, up to the given one.
    std::function<void(time_point, const std::vector<kv_event>&, std::uint64_t revision)> apply;
    /// Keys whose values must be read from the store.
    std::function<void(time_point, const std::vector<std::string>& keys)> fetch;
    std::function<void()> list_again;
    std::function<void(time_point sent_at)> proven;
};

/// Decides whether this instance follows the store itself, answers followers, and asks relays.
class relay
{
public:
    relay(relay_options options, instance_id self, core::failure_domain_id domain, relay_hooks hooks);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void start(time_point now);
    void put_peer(const instance_id& id, const core::failure_domain_id& domain);
    void remove_peer(const instance_id& id);

    /// A change that this instance has taken, for those that ask.
    void remember(const kv_event& it);
    /// All changes up to the revision are remembered; sends them to subscribers.
    void publish(time_point now, std::uint64_t revision);
    /// What came before the revision is not remembered.
    void forget_before(std::uint64_t revision);

    void on_request(time_point now, const sync_request& it);
    void on_reply(time_point now, const sync_reply& it);
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

    std::vector<instance_id> relays() const;
    bool follows_store() const;
    void ask(time_point now);
    void on_no_answer(time_point now);
    void set_direct(time_point now, bool direct);
    sync_reply make_reply(time_point now, std::uint64_t since) const;
    bool take_events(time_point now, const sync_reply& it);

    relay_options options_;
    instance_id self_;
    core::failure_domain_id domain_;
    relay_hooks hooks_;
    std::map<instance_id, core::failure_domain_id> peers_;
    std::map<instance_id, subscriber> subscribers_;
    std::deque<kv_event> events_;
    std::uint64_t complete_since_ = 0; ///< all changes behind this revision are in `events_`
    bool direct_ = false;              ///< until the first choice nothing is followed
    std::size_t choice_ = 0;           ///< which of the relays is asked
    std::size_t misses_ = 0;           ///< relays that did not answer, in a row
    std::uint64_t number_ = 0;
    std::optional<time_point> asked_at_; ///< of the question that waits
    std::optional<time_point> next_;
};

} // namespace runlink::control
