/// \file
/// How an instance that starts comes to know the store and the other instances.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "runlink/control/relay.hpp"

namespace runlink::control
{

/// Parameters of a start.
struct join_options
{
    /// After this the next seed is asked: above the way and back and the time in which a small processor
    /// compresses the view. Where all start at once a seed may start a moment later and hear nothing before.
    milliseconds answer_timeout{120};
    /// After this the store is read instead. Seeds need a moment themselves when all start at once.
    milliseconds patience{1500};
    /// The own entry is to be listed within this; else it is written by this instance itself.
    milliseconds listing_time{3000};
    /// Relays are chosen this long after the own entry is listed: those of instances that started at the
    /// same moment are listed by then.
    milliseconds settle_time{600};
};

/// What the store holds at a revision, and deletions behind an earlier one.
struct joined_view
{
    std::vector<kv_event> events;
    std::uint64_t revision = 0;
    std::uint64_t complete_since = 0;
};

/// What a start orders.
struct join_hooks
{
    std::function<void(const instance_id& to, const sync_request&)> ask;
    /// Read the store itself.
    std::function<void()> list;
    /// The store as another instance knows it, whole.
    std::function<void(time_point, const joined_view&)> take_view;
    /// Which instance is asked for changes until relays are chosen; the own id stands for the store itself.
    std::function<void(time_point, const instance_id&)> introduce;
    /// Relays may be chosen.
    std::function<void(time_point)> settle;
};

/// Asks a seed for its view of the store, or reads the store where no seed answers; then waits until the own
/// entry is listed.
///
/// Answers starts of a whole fleet and of a half of it: only seeds read the store, and nobody follows it
/// because the other instances' entries are not there yet. A start of 295 instances costs the store 3 lists
/// in place of 295 lists, watches and proofs each (calls counted by kind in the logs of a start).
class fleet_join
{
public:
    /// `seeds`: instances that may be there; empty for one that is a seed itself.
    fleet_join(join_options options, instance_id self, std::vector<instance_id> seeds, join_hooks hooks);
    fleet_join(const fleet_join&) = delete;
    fleet_join& operator=(const fleet_join&) = delete;

    void start(time_point now);
    /// An answer of a seed; taken only while one is waited for.
    void on_reply(time_point now, const sync_reply& it);
    /// The store has been read.
    void on_listed(time_point now);
    /// The store holds the own entry.
    void on_own_entry(time_point now);
    /// Whether the own entry should have been listed by others.
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

    void ask_next(time_point now);
    void ask(time_point now);
    void read_store(time_point now);
    void begin_settling(time_point now);

    join_options options_;
    instance_id self_;
    std::vector<instance_id> seeds_;
    join_hooks hooks_;
    phase phase_ = phase::asking;
    std::size_t seed_ = 0;
    std::uint64_t number_ = 0;
    joined_view view_; ///< as far as it is here
    time_point give_up_at_{};
    time_point list_by_{};
    bool is_listed_ = false;
    std::optional<time_point> next_;
};

} // namespace runlink::control
