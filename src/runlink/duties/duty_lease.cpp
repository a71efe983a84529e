#include "runlink/duties/duty_lease.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::duties
{

duty_lease::duty_lease(lease_options options, core::instance_id self, core::incarnation_id process,
                       lease_hooks hooks)
    : options_{options}, self_{std::move(self)}, process_{std::move(process)}, hooks_{std::move(hooks)}
{
}

// Observations

void duty_lease::on_record(time_point now, const lease_record& it)
{
    if (it.revision <= known_.revision)
        return;
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
    if (!known_since_)
        known_since_ = now - options_.lease;
}

void duty_lease::set_known(time_point now, const lease_record& it)
{
    known_ = it;
    known_since_ = now;
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
        write(now, core::fencing_number{known_.epoch.value() + 1});
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
                 [this, now, next](write_result result) { on_written(now, next, result); });
}

void duty_lease::on_written(time_point sent_at, const lease_record& it, write_result result)
{
    is_writing_ = false;
    const auto now = hooks_.now();
    switch (result.what)
    {
    case write_result::outcome::committed:
        if (result.revision < known_.revision)
            break; // a later record has been seen meanwhile
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
