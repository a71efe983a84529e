#include "runlink/paths/path_control.hpp"

#include <algorithm>
#include <utility>

namespace runlink::paths
{

path_control::path_control(path_options options, const instance_id& self, const failure_domain_id& own_domain,
                           path_hooks hooks)
    : options_{options}, self_{self}, hooks_{std::move(hooks)},
      watch_{options_.watch,
             {[this](time_point now, const endpoint_id& it) { query(now, it); },
              [this](const endpoint_id& it) { hooks_.probe(it); },
              [this](time_point now, const failure_domain_id& domain, const path_evidence& it)
              { hooks_.lost(now, domain, it); },
              [this](time_point now, const failure_domain_id& domain, duration lost_for)
              { hooks_.regained(now, domain, lost_for); }}},
      carriers_{options_.carriers, self, own_domain}
{
}

void path_control::put_instance(const instance_id& id, const failure_domain_id& domain)
{
    if (id != self_)
        carriers_.put_instance(id, domain);
}

void path_control::remove_instance(time_point now, const instance_id& id)
{
    on_carrier_failed(now, id);
    carriers_.remove_instance(id);
}

void path_control::send(const std::vector<instance_id>& to, const endpoint_id& endpoint)
{
    if (!to.empty())
        hooks_.query(to, {self_, next_query_++, endpoint});
}

void path_control::query(time_point now, const endpoint_id& endpoint)
{
    send(carriers_.pick(now), endpoint);
}

void path_control::on_failed(time_point now, const failure_domain_id& domain, const endpoint_id& endpoint)
{
    if (carriers_.instance_count() > 0)
        watch_.on_failed(now, domain, endpoint);
}

void path_control::judge_refusal(time_point now, const endpoint_id& endpoint)
{
    if (carriers_.instance_count() == 0)
        return hooks_.refusal_judged(now, endpoint, core::contact::refused);
    if (refused_.emplace(endpoint, now + options_.confirm_time).second)
        query(now, endpoint);
}

void path_control::judge(time_point now, const endpoint_id& endpoint, core::contact what)
{
    if (refused_.erase(endpoint) > 0)
        hooks_.refusal_judged(now, endpoint, what);
}

void path_control::on_reply(time_point now, const reach_reply& it)
{
    if (!carriers_.contains(it.sender))
        return;
    if (it.contact == core::contact::refused)
        judge(now, it.endpoint, core::contact::refused);
    if (it.contact == core::contact::answered)
        judge(now, it.endpoint, core::contact::silent);
    if (!it.carries)
        on_carrier_failed(now, it.sender);
    else if (it.contact != core::contact::silent)
        carriers_.on_offer(now, it.sender);
    if (it.contact == core::contact::answered)
        watch_.on_peer_connected(now, it.sender, it.endpoint);
}

std::optional<instance_id> path_control::carrier(const failure_domain_id& domain) const
{
    return watch_.is_lost(domain) ? carriers_.choose() : std::nullopt;
}

void path_control::on_carrier_failed(time_point now, const instance_id& id)
{
    if (carriers_.on_failed(now, id))
        hooks_.carrier_gone(now, id);
}

void path_control::on_carried(time_point now, const instance_id& id, bool has_connected)
{
    if (has_connected)
        carriers_.on_reached(id);
    else
        carriers_.on_unreached(now, id);
}

void path_control::tick(time_point now)
{
    watch_.tick(now);
    while (!refused_.empty())
    {
        const auto due =
            std::find_if(refused_.begin(), refused_.end(), [&](const auto& it) { return it.second <= now; });
        if (due == refused_.end())
            break;
        const auto endpoint = due->first;
        judge(now, endpoint, core::contact::silent);
    }
    if (!watch_.is_any_lost())
        return carriers_.clear();
    for (const auto& id : carriers_.take_expired(now))
        hooks_.carrier_gone(now, id);
    send(carriers_.due_queries(now), {});
}

std::optional<time_point> path_control::next_due() const
{
    auto out = watch_.next_due();
    for (const auto& [endpoint, at] : refused_)
        out = std::min(out.value_or(at), at);
    if (const auto at = carriers_.next_due(); at && watch_.is_any_lost())
        out = std::min(out.value_or(*at), *at);
    return out;
}

} // namespace runlink::paths
