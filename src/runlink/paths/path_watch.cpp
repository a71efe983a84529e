#include "runlink/paths/path_watch.hpp"

#include <algorithm>
#include <utility>

namespace runlink::paths
{

void path_watch::on_connected(time_point now, const failure_domain_id& domain)
{
    const auto found = states_.extract(domain);
    if (!found.empty() && found.mapped().lost_at)
        hooks_.regained(now, domain, now - *found.mapped().lost_at);
}

void path_watch::on_failed(time_point now, const failure_domain_id& domain, const endpoint_id& endpoint)
{
    auto& it = states_[domain];
    if (!it.lost_at)
        drop_old_failures(now, it);
    if (it.failed.empty())
        it.failing_since = now;
    if (it.failed.size() < options_.max_failed || it.failed.contains(endpoint))
        it.failed[endpoint] = now;
    if (!it.lost_at && !it.next_action && is_doubtful(now, it))
        it.next_action = now;
}

void path_watch::on_peer_connected(time_point now, const instance_id& peer, const endpoint_id& endpoint)
{
    const auto found = std::find_if(states_.begin(), states_.end(),
                                    [&](const auto& it)
                                    { return !it.second.lost_at && it.second.failed.contains(endpoint); });
    if (found == states_.end())
        return;
    auto& it = found->second;
    drop_old_failures(now, it);
    if (!is_doubtful(now, it))
        return;
    it.lost_at = now;
    it.next_action = now + options_.probe_interval;
    const auto domain = found->first; // the callback may change the states
    hooks_.lost(now, domain, {it.failed.size(), now - it.failing_since, peer});
}

bool path_watch::is_lost(const failure_domain_id& domain) const
{
    const auto found = states_.find(domain);
    return found != states_.end() && found->second.lost_at.has_value();
}

bool path_watch::is_any_lost() const
{
    return std::any_of(states_.begin(), states_.end(),
                       [](const auto& it) { return it.second.lost_at.has_value(); });
}

bool path_watch::is_failing(time_point now, const failure_domain_id& domain) const
{
    const auto found = states_.find(domain);
    if (found == states_.end())
        return false;
    return found->second.lost_at || count_recent(now, found->second) > 0;
}

std::size_t path_watch::count_recent(time_point now, const state& it) const
{
    const auto is_recent = [&](const auto& e) { return now - e.second < options_.failure_lifetime; };
    return static_cast<std::size_t>(std::count_if(it.failed.begin(), it.failed.end(), is_recent));
}

void path_watch::drop_old_failures(time_point now, state& it) const
{
    std::erase_if(it.failed, [&](const auto& e) { return now - e.second >= options_.failure_lifetime; });
}

bool path_watch::is_doubtful(time_point now, const state& it) const
{
    if (it.failed.size() >= options_.min_failed)
        return true;
    // A failure domain with a single endpoint is judged together with the others.
    std::size_t failed = 0;
    for (const auto& [domain, e] : states_)
        failed += count_recent(now, e);
    return !it.failed.empty() && failed >= options_.min_failed;
}

const endpoint_id& path_watch::next_endpoint(state& it) const
{
    auto next = it.failed.upper_bound(it.last_used);
    if (next == it.failed.end())
        next = it.failed.begin();
    it.last_used = next->first;
    return next->first;
}

void path_watch::act(time_point now, state& it)
{
    it.next_action.reset();
    if (!it.lost_at)
        drop_old_failures(now, it);
    if (it.failed.empty())
        return;
    if (it.lost_at)
    {
        it.next_action = now + options_.probe_interval;
        return hooks_.probe(next_endpoint(it));
    }
    if (!is_doubtful(now, it))
        return;
    it.next_action = now + options_.query_interval;
    hooks_.query(now, next_endpoint(it));
}

void path_watch::tick(time_point now)
{
    for (auto& [domain, it] : states_)
        if (it.next_action && *it.next_action <= now)
            act(now, it);
    std::erase_if(states_, [](const auto& it) { return it.second.failed.empty() && !it.second.lost_at; });
}

std::optional<time_point> path_watch::next_due() const
{
    std::optional<time_point> out;
    for (const auto& [domain, it] : states_)
        if (it.next_action)
            out = std::min(out.value_or(*it.next_action), *it.next_action);
    return out;
}

} // namespace runlink::paths
