#include "runlink/control/fleet_join.hpp"

#include <algorithm>
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
    next_ = std::min<time_point>(now + options_.answer_timeout * (1U << part_requests_), store_fallback_at_);
    hooks_.ask(view_.revision.is_none() ? seeds_[seed_index_ % seeds_.size()] : source_, out);
}

void fleet_join::ask_next(time_point now)
{
    // Parts of the views of different instances can't be combined.
    view_ = {};
    events_.clear();
    part_requests_ = 0;
    ++seed_index_;
    ask(now);
}

void fleet_join::on_queued(time_point now)
{
    is_queued_ = true;
    store_fallback_at_ = now + options_.store_fallback_delay;
    next_ = now + options_.queued_interval;
}

void fleet_join::ask_again(time_point now)
{
    if (std::exchange(is_queued_, false))
        return ask(now);
    if (view_.revision.is_none() || part_requests_ + 1 >= options_.max_part_requests)
        return ask_next(now);
    ++part_requests_;
    ask(now);
}

void fleet_join::take_part(const sync_reply& it)
{
    source_ = it.sender;
    for (const auto& e : it.events)
        events_[e.item.key] = e;
    view_.revision = it.store_revision;
    view_.complete_since = it.complete_since;
    view_.omitted.insert(view_.omitted.end(), it.omitted.begin(), it.omitted.end());
}

void fleet_join::on_reply(time_point now, const sync_reply& it)
{
    if (phase_ == phase::asking && it.is_queued && it.since == view_.revision)
        return on_queued(now);
    // A seed that had no view yet may answer after the next seed was asked. A complete view is always usable.
    const bool is_complete = it.since.is_none() && !it.has_more;
    const bool is_next = it.since == view_.revision && (it.since.is_none() || it.sender == source_);
    if (phase_ != phase::asking || it.store_revision.is_none() || (!is_complete && !is_next))
        return;
    if (!std::all_of(it.omitted.begin(), it.omitted.end(),
                     [this](const auto& e) { return hooks_.may_omit(e.key); }))
        return read_store(now);
    if (is_complete)
    {
        events_.clear();
        view_.omitted.clear();
    }
    take_part(it);
    part_requests_ = 0;
    is_queued_ = false;
    store_fallback_at_ = now + options_.store_fallback_delay;
    if (it.has_more)
        return ask(now);
    for (auto& [key, e] : events_)
        view_.events.push_back(std::move(e));
    events_.clear();
    const auto view = std::exchange(view_, {});
    hooks_.take_view(now, view);
    begin_settling(now);
    hooks_.set_initial_source(now, it.sender);
    if (!view.omitted.empty())
        hooks_.fetch(now, view.omitted, it.sender);
}

void fleet_join::read_store(time_point now)
{
    phase_ = phase::reading;
    next_.reset();
    view_ = {};
    events_.clear();
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
        return ask_again(now);
    if (phase_ != phase::settling)
        return;
    phase_ = phase::settled;
    hooks_.settle(now);
}

} // namespace runlink::control
