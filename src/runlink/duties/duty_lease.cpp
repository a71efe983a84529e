#include "runlink/duties/duty_lease.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::duties
{
namespace
{

/// Lower bits of an epoch, which order the holders within one era of the store.
constexpr unsigned revision_bits = 32;

} // namespace

duty_lease::duty_lease(lease_options options, core::instance_id self, core::incarnation_id process,
                       lease_hooks hooks)
    : options_{options}, self_{std::move(self)}, process_{std::move(process)}, hooks_{std::move(hooks)}
{
}

bool duty_lease::is_own() const
{
    const bool is_of_this_era = known_.epoch.value() >> revision_bits == era_.value();
    return is_of_this_era && known_.process == process_ && known_.holder == self_;
}

// Observations

void duty_lease::on_record(time_point now, const lease_record& it)
{
    if (it.revision <= known_.revision)
        return;
    on_era(now, it.revision.era);
    set_known(now, it);
    if (is_own() && oldest_unanswered_)
    {
        own_until_ = *oldest_unanswered_ + options_.lease;
        next_write_ = *oldest_unanswered_ + options_.renew_every();
        oldest_unanswered_.reset();
    }
    report(now);
}

void duty_lease::on_absent(time_point now)
{
    // There may have been a holder that the store has lost.
    if (!known_since_)
        known_since_ = now;
}

void duty_lease::on_era(time_point now, core::store_era era)
{
    if (era <= era_)
        return;
    const bool is_first = !known_since_;
    era_ = era;
    if (is_first)
        return;
    known_.revision = {};
    known_since_ = now;
    own_until_.reset();
    oldest_unanswered_.reset();
    report(now);
}

void duty_lease::set_known(time_point now, const lease_record& it)
{
    known_ = it;
    known_since_ = now;
    highest_epoch_ = std::max(highest_epoch_, it.epoch);
    if (!is_own())
    {
        own_until_.reset();
        oldest_unanswered_.reset();
    }
}

// Time

bool duty_lease::may_act(time_point now) const
{
    return is_own() && own_until_ && now + options_.margin < *own_until_;
}

void duty_lease::resign()
{
    has_resigned_ = true;
    own_until_.reset();
    report(hooks_.now());
}

time_point duty_lease::takeover_time() const
{
    const auto jitter = milliseconds{static_cast<milliseconds::rep>(
        core::stable_hash(self_.str()) % static_cast<std::uint64_t>(options_.candidate_jitter.count()))};
    return *known_since_ + options_.lease + jitter;
}

void duty_lease::tick(time_point now)
{
    report(now);
    if (has_resigned_ || is_writing_ || now < next_write_)
        return;
    if (is_own() && own_until_)
        return write(now, known_.epoch);
    if (is_candidate_ && known_since_ && now >= takeover_time())
        write(now, next_epoch());
}

core::fencing_number duty_lease::next_epoch() const
{
    // No two writes of one era replace the same revision.
    const auto replaced = (era_.value() << revision_bits) + known_.revision.number;
    return core::fencing_number{std::max(highest_epoch_.value(), replaced) + 1};
}

std::optional<time_point> duty_lease::next_due() const
{
    if (has_resigned_ || is_writing_)
        return std::nullopt;
    if (is_own() && own_until_)
        return next_write_;
    if (is_candidate_ && known_since_)
        return std::max(next_write_, takeover_time());
    return std::nullopt;
}

// Writes

void duty_lease::write(time_point now, core::fencing_number epoch)
{
    is_writing_ = true;
    next_write_ = now + options_.retry_delay;
    const lease_record next{self_, process_, epoch, 0};
    hooks_.write(next, known_.revision,
                 [this, now, next, sent_in = era_](write_result result)
                 {
                     on_era(hooks_.now(), result.revision.era);
                     if (sent_in == era_)
                         return on_written(now, next, result);
                     // The condition held in the copy, or for a revision that was given out again: this
                     // proves no lease.
                     is_writing_ = false;
                 });
}

void duty_lease::on_written(time_point sent_at, const lease_record& it, write_result result)
{
    is_writing_ = false;
    const auto now = hooks_.now();
    switch (result.what)
    {
    case write_result::outcome::committed:
        if (result.revision < known_.revision || result.revision.era < era_)
            break; // a later record has been seen meanwhile, or the store has lost this one
        highest_epoch_ = std::max(highest_epoch_, it.epoch);
        known_ = it;
        known_.revision = result.revision;
        known_since_ = now;
        own_until_ = sent_at + options_.lease;
        oldest_unanswered_.reset();
        next_write_ = sent_at + options_.renew_every();
        break;
    case write_result::outcome::unknown:
        oldest_unanswered_ = std::min(oldest_unanswered_.value_or(sent_at), sent_at);
        break;
    case write_result::outcome::conflict:
        // The record is at another revision; without the new record nothing may be done under the lease.
        // If an earlier write of this process caused the conflict, the record follows through the store.
        own_until_.reset();
        break;
    case write_result::outcome::refused: break;
    }
    report(now);
}

void duty_lease::report(time_point now)
{
    const bool is_held = may_act(now);
    if (std::exchange(was_held_, is_held) != is_held)
        hooks_.changed(now, is_held);
}

} // namespace runlink::duties
