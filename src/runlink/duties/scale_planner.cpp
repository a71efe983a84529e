#include "runlink/duties/scale_planner.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::duties
{

std::optional<std::uint32_t> scale_planner::needed_by_load(time_point now, const scale_input& in)
{
    std::erase_if(loads_, [&](const auto& it) { return now - it.first > options_.peak_memory; });
    // Without requests the load is unknown rather than zero: traffic may be about to begin.
    if (in.running && *in.running > 0)
        loads_[now] = *in.running;
    // A short history may hold only a quiet moment.
    if (loads_.empty() || now - loads_.begin()->first < options_.peak_memory / 2)
        return std::nullopt;
    const auto peak = std::max_element(loads_.begin(), loads_.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
    const auto per_endpoint = options_.target_occupancy * std::max(in.slots, 1U);
    return static_cast<std::uint32_t>(std::ceil(peak->second / per_endpoint));
}

std::map<failure_domain_id, domain_order> scale_planner::plan(time_point now, const scale_input& in)
{
    std::map<failure_domain_id, domain_order> out;
    if (in.domains.empty())
        return out;
    const auto needed = needed_by_load(now, in);
    std::uint32_t ready = 0;
    for (const auto& [id, it] : in.domains)
        ready += it.ready;
    const auto domains = static_cast<std::uint32_t>(in.domains.size());
    const auto share = (needed.value_or(0) + domains - 1) / domains;
    const bool is_short = needed && ready < *needed;
    for (const auto& [id, it] : in.domains)
    {
        const auto target = needed ? target_of(in, it, share, is_short) : it.ordered.target;
        out[id] = split(in, it, target, is_short);
    }
    return out;
}

std::uint32_t scale_planner::target_of(const scale_input& in, const domain_state& domain, std::uint32_t share,
                                       bool is_short) const
{
    const auto old = domain.ordered.target;
    const auto wanted = std::clamp(share, in.limits.min_per_domain,
                                   std::max(in.limits.min_per_domain, in.limits.max_per_domain));
    if (wanted > old)
        return is_short ? wanted : old;
    const bool is_excess = old > wanted * (1 + options_.min_excess);
    if (in.keeps_capacity || !domain.has_settled || !is_excess)
        return old;
    const auto step = static_cast<std::uint32_t>(std::ceil(old * options_.max_shrink));
    return std::max(wanted, old - std::min(step, old));
}

domain_order scale_planner::split(const scale_input& in, const domain_state& domain, std::uint32_t target,
                                  bool is_short) const
{
    const auto& now = domain.ordered;
    if (!in.limits.preemptible_price || *in.limits.preemptible_price >= 1)
        return {target, target, 0};
    if (domain.preemptible_denied)
        return {target, is_short ? std::max(now.regular, target) : now.regular, now.preemptible};
    const auto min_regular = std::max(1.0, std::ceil(target * options_.regular_share));
    const auto wanted_regular = std::min(target, static_cast<std::uint32_t>(min_regular));
    domain_order out{target, std::max(now.regular, wanted_regular), target - wanted_regular};
    // New endpoints serve before old ones are taken away.
    const bool is_converted = domain.has_settled && now.preemptible >= out.preemptible &&
                              domain.ready >= now.total() * options_.ready_share && !in.keeps_capacity;
    if (is_converted)
        out.regular = wanted_regular;
    const auto room = in.limits.max_per_domain - std::min(in.limits.max_per_domain, out.regular);
    out.preemptible = std::min(out.preemptible, room);
    return out;
}

} // namespace runlink::duties
