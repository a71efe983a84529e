#include "runlink/control/store_follower.hpp"

#include <algorithm>
#include <utility>

namespace runlink::control
{
namespace
{

/// Maximum number of doublings of the retry delay; by then the upper limit applies anyway.
constexpr std::uint32_t max_doublings = 5;
/// A revision that no item has. A condition on it always fails, so that the answer contains the item.
constexpr std::uint64_t unused_revision = (std::uint64_t{1} << 53U) - 1;

} // namespace

std::string_view to_string(kv_error it)
{
    switch (it)
    {
    case kv_error::unavailable: return "unavailable";
    case kv_error::refused: return "refused";
    case kv_error::history_gone: return "history_gone";
    case kv_error::malformed: return "malformed";
    case kv_error::outdated: return "outdated";
    }
    return "unknown";
}

store_follower::store_follower(follower_options options, kv_store store, follower_hooks hooks)
    : options_{std::move(options)}, store_{std::move(store)}, hooks_{std::move(hooks)}
{
}

void store_follower::start()
{
    started_at_ = clock();
    list();
}

void store_follower::start_with(std::vector<kv_item> items, const core::store_revision& revision)
{
    era_ = std::max(era_, revision.era);
    const auto now = clock();
    started_at_ = now;
    take_list(now, std::move(items), revision);
}

void store_follower::tick(time_point now)
{
    const auto is_due = [&](std::optional<time_point>& at)
    {
        if (!at || now < *at)
            return false;
        at.reset();
        return true;
    };
    if (is_due(next_list_))
        list();
    if (is_due(next_watch_))
        watch();
    if (is_due(next_watch_check_))
        check_watch();
    if (is_due(next_proof_))
        prove(now);
}

std::optional<time_point> store_follower::next_due() const
{
    std::optional<time_point> out;
    for (const auto& it : {next_list_, next_watch_, next_proof_, next_watch_check_})
        if (it)
            out = out ? std::min(*out, *it) : it;
    return out;
}

milliseconds store_follower::retry_delay() const
{
    const auto doublings = std::min(failures_, max_doublings);
    return std::min(options_.min_retry_delay * (1U << doublings), options_.max_retry_delay);
}

void store_follower::note_failure(time_point now, kv_error why)
{
    ++failures_;
    if (lost_at_)
        return;
    lost_at_ = now;
    hooks_.lost(now, why);
}

void store_follower::note_success(time_point now)
{
    failures_ = 0;
    if (!lost_at_)
        return;
    const auto away = now - *lost_at_;
    lost_at_.reset();
    if (!from_copy_.empty())
        recovery_ends_at_ = now + options_.recovery_time; // nothing could be written again meanwhile
    hooks_.regained(now, away);
    restart_watch(); // the previous watch may wait on a dead connection
}

void store_follower::prove_soon(time_point now, milliseconds after)
{
    const auto at = now + after;
    next_proof_ = next_proof_ ? std::min(*next_proof_, at) : at;
}

void store_follower::set_direct(time_point now, bool direct)
{
    if (std::exchange(is_direct_, direct) == direct)
        return;
    if (direct)
    {
        watch();
        // Without an earlier proof, e.g. if the list had no configuration, there is nothing to prove yet.
        return prove_soon(now, proven_at_ ? time_to_proof(now) : options_.startup_gather_delay);
    }
    ++watch_number_;
    if (std::exchange(is_watching_, false))
        store_.cancel_watch();
    next_watch_.reset();
    next_proof_.reset();
}

void store_follower::apply(time_point now, const std::vector<kv_event>& events,
                           const core::store_revision& revision)
{
    if (revision <= revision_)
        return;
    if (revision.era > era_)
        begin_era(now, revision.era);
    revision_ = revision;
    if (era_began_at_.is_none())
        era_began_at_ = revision;
    for (const auto& it : events)
        report(now, it);
    hooks_.caught_up(now, revision_);
}

void store_follower::take_configuration(time_point now, const kv_item& it)
{
    if (it.key == options_.configuration_key && it.revision > configuration_revision_)
        report(now, {it});
}

// Era

void store_follower::on_era(core::store_era era)
{
    if (era <= era_)
        return;
    if (!is_listed_)
    {
        era_ = era;
        return;
    }
    begin_era(clock(), era);
    if (is_direct_)
        list(); // otherwise the relay reports the changes
}

void store_follower::begin_era(time_point now, core::store_era era)
{
    const auto previous = std::exchange(era_, era);
    era_began_at_ = {};
    recovery_ends_at_ = now + options_.recovery_time;
    settled_at_ = recovery_ends_at_;
    hooks_.era_began(now, previous, era);
}

void store_follower::report(time_point now, const kv_event& it)
{
    if (it.is_from_copy)
        from_copy_[it.item.key] = it;
    else
        from_copy_.erase(it.item.key);
    remember(now, it.item, it.is_deleted);
    hooks_.changed(now, it);
}

void store_follower::end_recovery(time_point now)
{
    if (from_copy_.empty() || !proven_at_ || *proven_at_ < recovery_ends_at_)
        return;
    for (auto& [key, it] : std::exchange(from_copy_, {}))
    {
        it.is_from_copy = false;
        report(now, it);
    }
}

void store_follower::settle(time_point now)
{
    if (now >= settled_at_)
        return;
    settled_at_ = now;
    prove_soon(now, milliseconds{0});
}

// List

void store_follower::list()
{
    if (is_listing_)
        return;
    is_listing_ = true;
    ++list_number_;
    ++watch_number_; // ignores the result of a pending watch, which is older than the list
    if (std::exchange(is_watching_, false))
        store_.cancel_watch();
    next_watch_.reset();
    pages_.clear();
    list_revision_ = {};
    list_sent_at_ = clock();
    request_page({});
}

void store_follower::request_page(const std::string& after)
{
    store_.list(after,
                [this, list_number = list_number_](kv_result<kv_page> it)
                {
                    if (list_number == list_number_)
                        on_page(std::move(it));
                });
}

void store_follower::on_page(kv_result<kv_page> page)
{
    const auto now = clock();
    if (const auto* why = std::get_if<kv_error>(&page))
    {
        is_listing_ = false;
        note_failure(now, *why);
        next_list_ = now + retry_delay();
        return;
    }
    auto& it = std::get<kv_page>(page);
    const bool is_same_era = list_revision_.is_none() || list_revision_.era == it.store_revision.era;
    if (it.store_revision.era < era_ || !is_same_era)
    {
        is_listing_ = false; // pages of different eras don't belong together
        return list();
    }
    // The pages are no snapshot, so changes are watched from the revision of the first page.
    if (list_revision_.is_none())
        list_revision_ = it.store_revision;
    if (it.has_more && it.items.empty())
    {
        // The next page would begin after the same key again.
        is_listing_ = false;
        note_failure(now, kv_error::malformed);
        next_list_ = now + retry_delay();
        return;
    }
    std::move(it.items.begin(), it.items.end(), std::back_inserter(pages_));
    if (!it.has_more)
        return finish_list();
    request_page(pages_.back().key);
}

void store_follower::finish_list()
{
    const auto now = clock();
    is_listing_ = false;
    note_success(now);
    const auto is_configuration = [&](const kv_item& it) { return it.key == options_.configuration_key; };
    const bool has_configuration = std::any_of(pages_.begin(), pages_.end(), is_configuration);
    take_list(now, std::exchange(pages_, {}), list_revision_);
    watch();
    // Without a known configuration, a list without one proves that there is none.
    if (has_configuration || configuration_revision_.is_none())
        note_proof(list_sent_at_);
    if (is_direct_)
        prove_soon(now, options_.proof_interval);
}

void store_follower::take_list(time_point now, std::vector<kv_item> items, core::store_revision revision)
{
    const bool is_copy = is_listed_ && (revision.era > revision_.era || now < recovery_ends_at_);
    is_listed_ = true;
    revision_ = revision;
    if (era_began_at_.is_none())
        era_began_at_ = revision;
    for (const auto& it : items)
        remember(now, it, false);
    if (!is_copy)
        hooks_.listed(now, std::move(items));
    else
        for (const auto& it : hooks_.known().difference(items, revision, hooks_.is_versioned))
            report(now, it);
    hooks_.caught_up(now, revision_);
}

void store_follower::remember(time_point now, const kv_item& item, bool is_deleted)
{
    if (item.key != options_.configuration_key || item.revision < configuration_revision_)
        return;
    configuration_revision_ = is_deleted ? core::store_revision{} : item.revision;
    if (!era_began_at_.is_none() && item.revision > era_began_at_)
        settle(now); // written after the return, so it is the newest
}

// Watch

void store_follower::watch()
{
    if (is_watching_ || is_listing_ || !is_listed_ || !is_direct_)
        return;
    if (revision_.era != era_)
        return list(); // the revision means nothing in this era
    is_watching_ = true;
    const auto watch_number = ++watch_number_;
    store_.watch(revision_.number, options_.watch_wait,
                 [this, watch_number](kv_result<kv_changes> it)
                 {
                     if (watch_number == watch_number_)
                         on_changes(std::move(it));
                 });
}

void store_follower::restart_watch()
{
    if (!is_watching_)
        return;
    ++watch_number_;
    is_watching_ = false;
    store_.cancel_watch();
    watch();
}

void store_follower::on_wake(time_point now)
{
    if (!is_direct_)
        return;
    restart_watch();
    prove_soon(now, milliseconds{0});
}

void store_follower::check_watch()
{
    if (proven_revision_ > revision_)
        restart_watch();
}

void store_follower::on_changes(kv_result<kv_changes> changes)
{
    const auto now = clock();
    is_watching_ = false;
    if (const auto* why = std::get_if<kv_error>(&changes))
    {
        if (*why == kv_error::history_gone)
            return list();
        note_failure(now, *why);
        next_watch_ = now + retry_delay();
        return;
    }
    const auto& it = std::get<kv_changes>(changes);
    note_success(now);
    revision_ = std::max(revision_, it.store_revision);
    for (const auto& e : it.events)
        report(now, e);
    hooks_.caught_up(now, revision_);
    next_watch_ = it.events.empty() ? now : now + watch_delay(now);
}

milliseconds store_follower::watch_delay(time_point now) const
{
    return now - started_at_ < options_.startup_time ? options_.startup_gather_delay : options_.gather_delay;
}

void store_follower::note_proof(time_point sent_at)
{
    if (sent_at >= settled_at_)
        hooks_.proven(sent_at);
    on_proven(clock(), sent_at);
}

void store_follower::on_proven(time_point now, time_point sent_at)
{
    proven_at_ = std::max(proven_at_.value_or(sent_at), sent_at);
    end_recovery(now);
}

milliseconds store_follower::time_to_proof(time_point now) const
{
    const auto due = *proven_at_ + options_.proof_interval;
    return std::max(std::chrono::ceil<milliseconds>(due - now), milliseconds{0});
}

// Proof

void store_follower::prove(time_point now)
{
    if (is_proving_ || !is_listed_)
        return;
    is_proving_ = true;
    next_proof_.reset();
    kv_transaction check;
    check.conditions.push_back({options_.configuration_key, revision_to_prove()});
    store_.commit(check,
                  [this, now, sent_in = era_](const kv_commit_result& it)
                  {
                      if (sent_in == era_)
                          return on_proof(now, it);
                      is_proving_ = false;
                      prove_soon(clock(), milliseconds{0}); // the revision belongs to an earlier era
                  });
}

std::uint64_t store_follower::revision_to_prove() const
{
    if (configuration_revision_.is_none() || configuration_revision_.era == era_)
        return configuration_revision_.number;
    return unused_revision;
}

void store_follower::on_proof(time_point sent_at, const kv_commit_result& result)
{
    const auto now = clock();
    is_proving_ = false;
    if (const auto* why = std::get_if<kv_error>(&result))
    {
        note_failure(now, *why);
        if (is_direct_)
            next_proof_ = now + retry_delay();
        return;
    }
    note_success(now);
    if (const auto* conflict = std::get_if<kv_conflict>(&result))
        for (const auto& it : conflict->items)
        {
            report(now, {it, it.revision.is_none()});
        }
    note_proof(sent_at);
    if (const auto* done = std::get_if<kv_committed>(&result))
    {
        proven_revision_ = done->revision;
        if (proven_revision_ > revision_)
            next_watch_check_ = now + options_.max_watch_lag;
    }
    if (is_direct_)
        next_proof_ = sent_at + std::max(options_.proof_interval, milliseconds{1});
    if (sent_at < settled_at_)
        prove_soon(now, std::chrono::ceil<milliseconds>(settled_at_ - now));
}

} // namespace runlink::control
