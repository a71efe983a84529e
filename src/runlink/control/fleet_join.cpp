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
    give_up_at_ = now + options_.patience;
    // Instances spread over the seeds.
    seed_ = core::stable_hash(self_.str()) % seeds_.size();
    ask(now);
}

void fleet_join::ask(time_point now)
{
    sync_request out;
    out.sender.id = self_;
    out.number = ++number_;
    out.store_revision = view_.revision;
    out.is_joining = true;
    next_ = now + options_.answer_timeout;
    hooks_.ask(seeds_[seed_ % seeds_.size()], out);
}

void fleet_join::ask_next(time_point now)
{
    // Parts of the views of two instances do not fit together.
    view_ = {};
    ++seed_;
    ask(now);
}

void fleet_join::on_reply(time_point now, const sync_reply& it)
{
    // A seed that had no view yet may answer after the next one was asked. A whole view is one at any time.
    const bool is_whole = it.since == 0 && !it.has_more;
    const bool is_next = it.number == number_ && it.since == view_.revision;
    if (phase_ != phase::asking || it.store_revision == 0 || (!is_whole && !is_next))
        return;
    if (is_whole)
        view_ = {};
    if (!it.omitted.empty())
        return read_store(now); // a value that no datagram carries
    view_.events.insert(view_.events.end(), it.events.begin(), it.events.end());
    view_.revision = it.store_revision;
    view_.complete_since = it.complete_since;
    if (it.has_more)
        return ask(now);
    hooks_.take_view(now, std::exchange(view_, {}));
    begin_settling(now);
    hooks_.introduce(now, it.sender);
}

void fleet_join::read_store(time_point now)
{
    phase_ = phase::reading;
    next_.reset();
    view_ = {};
    hooks_.list();
    hooks_.introduce(now, self_);
}

void fleet_join::on_listed(time_point now)
{
    if (phase_ == phase::reading)
        begin_settling(now);
}

void fleet_join::begin_settling(time_point now)
{
    phase_ = phase::settling;
    list_by_ = now + options_.listing_time;
    next_ = list_by_ + options_.settle_time;
    if (is_listed_)
        next_ = now + options_.settle_time;
}

void fleet_join::on_own_entry(time_point now)
{
    if (std::exchange(is_listed_, true) || phase_ != phase::settling)
        return;
    next_ = now + options_.settle_time;
}

bool fleet_join::must_announce_itself(time_point now) const
{
    return phase_ == phase::settled || (phase_ == phase::settling && now >= list_by_);
}

void fleet_join::tick(time_point now)
{
    if (!next_ || now < *next_)
        return;
    next_.reset();
    if (phase_ == phase::asking && now >= give_up_at_)
        return read_store(now);
    if (phase_ == phase::asking)
        return ask_next(now);
    if (phase_ != phase::settling)
        return;
    phase_ = phase::settled;
    hooks_.settle(now);
}

} // namespace runlink::control
