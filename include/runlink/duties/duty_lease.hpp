/// \file
/// The lease under which one instance at a time carries out the duties of the deployment.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "runlink/core/clock.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/core/store_revision.hpp"
#include "runlink/core/units.hpp"

namespace runlink::duties
{

using core::milliseconds;
using core::time_point;

/// The lease as it is stored. Every renewal writes it again, so that its revision changes.
struct lease_record
{
    core::instance_id holder;
    core::incarnation_id process;    ///< one start of the holder
    core::fencing_number epoch;      ///< increases with each new holder
    core::store_revision revision{}; ///< assigned by the store

    friend bool operator==(const lease_record&, const lease_record&) = default;
};

/// Result of a conditional write.
struct write_result
{
    enum class outcome
    {
        committed,
        conflict, ///< the condition did not hold; nothing was written
        refused,  ///< the store rejected the call; nothing was written
        unknown,  ///< no answer: the write may have been applied, or may be applied later
    };

    outcome what = outcome::unknown;
    core::store_revision revision{}; ///< of the written record, if committed
};

/// Times of the lease.
struct lease_options
{
    /// Time without a renewal after which another instance may take the lease over.
    milliseconds lease{3000};
    /// No duty is started in this last part of a lease, so that its call arrives before another instance
    /// can hold the lease.
    milliseconds margin{800};
    milliseconds retry_delay{400}; ///< after a failed renewal
    /// Candidates try at different times within this range, so that usually one write is sent.
    milliseconds candidate_jitter{500};

    milliseconds renew_every() const { return lease / 2; }
};

/// Actions of the lease.
struct lease_hooks
{
    /// Writes the record if the stored one is at the expected revision; none: if there is no record.
    std::function<void(const lease_record& next, const core::store_revision& expected,
                       std::function<void(write_result)>)>
        write;
    /// Returns the current time when a write returns.
    core::clock_source now;
    /// The lease was acquired (true) or lost (false).
    std::function<void(time_point, bool is_held)> changed = [](auto, auto) {};
};

/// Competes for the lease, and tells whether this instance holds it.
///
/// The holder's lease counts from the time when it sent the write. Another instance takes the lease over
/// after it has seen the same revision for a whole lease on its own clock; no clocks are compared between
/// instances. A write whose answer is lost counts as applied only once the record is seen in the store, and
/// then from the time of the earliest such write. A holder whose lease has expired continues only after a
/// renewal, which succeeds only if no other instance has held the lease meanwhile.
///
/// After a return of the store from a copy all instances, the holder included, wait for a whole lease before
/// they take it over: the copy may lack another holder. The epoch of a new holder is above all others, also
/// above those that were lost with the store: it is made of the store's era and the revision that it
/// replaces.
class duty_lease
{
public:
    duty_lease(lease_options options, core::instance_id self, core::incarnation_id process,
               lease_hooks hooks);
    duty_lease(const duty_lease&) = delete;
    duty_lease& operator=(const duty_lease&) = delete;

    /// Whether this instance may take the lease over. Only instances that follow the store without a relay
    /// compete, since the others see renewals late.
    void set_candidate(bool it) { is_candidate_ = it; }
    /// The store holds this record.
    void on_record(time_point now, const lease_record& it);
    /// A complete list of the store contains no record.
    void on_absent(time_point now);
    /// The store has returned from a copy.
    void on_era(time_point now, core::store_era era);

    /// Stops renewing the lease and competing for it.
    void resign();

    void tick(time_point now);
    std::optional<time_point> next_due() const;

    /// Whether a duty may be carried out now.
    bool may_act(time_point now) const;
    core::fencing_number epoch() const { return known_.epoch; }
    core::store_era era() const { return era_; }
    /// The current holder as far as is known; empty without one.
    const core::instance_id& holder() const { return known_.holder; }

private:
    /// The last record was written by this process, in the present era of the store.
    bool is_own() const;
    void write(time_point now, core::fencing_number epoch);
    void on_written(time_point sent_at, const lease_record& it, write_result result);
    void set_known(time_point now, const lease_record& it);
    /// The epoch of this instance if it takes the lease over.
    core::fencing_number next_epoch() const;
    /// Reports a change of `may_act`.
    void report(time_point now);
    time_point takeover_time() const;

    lease_options options_;
    core::instance_id self_;
    core::incarnation_id process_;
    lease_hooks hooks_;
    lease_record known_;
    core::fencing_number highest_epoch_; ///< that this process has seen
    core::store_era era_;
    std::optional<time_point> known_since_; ///< when the revision was first seen; empty before the first view
    std::optional<time_point> own_until_;
    std::optional<time_point> oldest_unanswered_; ///< when the earliest write of unknown outcome was sent
    time_point next_write_{};
    bool is_candidate_ = false;
    bool has_resigned_ = false;
    bool is_writing_ = false;
    bool was_held_ = false;
};

} // namespace runlink::duties
