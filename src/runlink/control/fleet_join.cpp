#include "runlink/control/fleet_join.hpp"

#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::control
{

fleet_join::fleet_join(join_options options, instance_id self, std::vector<instance_id> seeds,
                       join_hooks hooks)
    : options_{options}, self_{std::move(self)}, seeds_{std::move(seeds)}, hooks_{std::move(hooks)}
{
}

void fleet_join::start(time_point now)
{
    if (seeds_.empty())
        return read_store(now);
    store_fallback_at_ = now + options_.store_fallback_delay;
    // The hash distributes the instances over the seeds.
    seed_index_ = core::stable_hash(self_.str()) % seeds_.size();
    ask(now);
}

void fleet_join::ask(time_point now)
{
    sync_request out;
    out.sender.id = self_;
    out.number = ++request_number_;
    out.store_revision = view_.revision;
    out.is_joining = true;
    next_ = now + options_.answer_timeout;
    hooks_.ask(seeds_[seed_index_ % seeds_.size()], out);
}

void fleet_join::ask_next(time_point now)
{
    // Parts of the views of different instances can't be combined.
    view_ = {};
    ++seed_index_;
    ask(now);
}

void fleet_join::on_reply(time_point now, const sync_reply& it)
{
    // A seed that had no view yet may answer after the next seed was asked. A complete view is always usable.
    const bool is_complete = it.since == 0 && !it.has_more;
    const bool is_next = it.number == request_number_ && it.since == view_.revision;
    if (phase_ != phase::asking || it.store_revision == 0 || (!is_complete && !is_next))
        return;
    if (is_complete)
        view_ = {};
    if (!it.omitted.empty())
        return read_store(now); // a value is too large for a datagram
    view_.events.insert(view_.events.end(), it.events.begin(), it.events.end());
    view_.revision = it.store_revision;
    view_.complete_since = it.complete_since;
    if (it.has_more)
        return ask(now);
    hooks_.take_view(now, std::exchange(view_, {}));
    begin_settling(now);
    hooks_.set_initial_source(now, it.sender);
}

void fleet_join::read_store(time_point now)
{
    phase_ = phase::reading;
    next_.reset();
    view_ = {};
    hooks_.list();
    hooks_.set_initial_source(now, self_);
}

void fleet_join::on_listed(time_point now)
{
    if (phase_ == phase::reading)
        begin_settling(now);
}

void fleet_join::begin_settling(time_point now)
{
    phase_ = phase::settling;
    listing_deadline_ = now + options_.listing_timeout;
    next_ = listing_deadline_ + options_.settle_delay;
    if (is_listed_)
        next_ = now + options_.settle_delay;
}

void fleet_join::on_own_entry(time_point now)
{
    if (std::exchange(is_listed_, true) || phase_ != phase::settling)
        return;
    next_ = now + options_.settle_delay;
}

bool fleet_join::must_announce_itself(time_point now) const
{
    return phase_ == phase::settled || (phase_ == phase::settling && now >= listing_deadline_);
}

void fleet_join::tick(time_point now)
{
    if (!next_ || now < *next_)
        return;
    next_.reset();
    if (phase_ == phase::asking && now >= store_fallback_at_)
        return read_store(now);
    if (phase_ == phase::asking)
        return ask_next(now);
    if (phase_ != phase::settling)
        return;
    phase_ = phase::settled;
    hooks_.settle(now);
}

} // namespace runlink::control
