#include "runlink/routing/endpoint_chooser.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::routing
{
namespace
{

/// Doublings of an ejection before the longest one holds anyway.
constexpr std::uint32_t max_doublings = 6;

} // namespace

const endpoint_chooser::load& endpoint_chooser::at(const endpoint_id& id) const
{
    static const load none;
    const auto found = loads_.find(id);
    return found == loads_.end() ? none : found->second;
}

std::uint32_t endpoint_chooser::in_flight(const endpoint_id& id) const
{
    return at(id).in_flight;
}

// Events

void endpoint_chooser::started(const endpoint_id& id, std::uint32_t prompt_tokens)
{
    auto& it = loads_[id];
    ++it.in_flight;
    it.waiting_tokens += prompt_tokens;
}

void endpoint_chooser::prompt_read(const endpoint_id& id, std::uint32_t prompt_tokens)
{
    auto& it = loads_[id];
    it.waiting_tokens -= std::min(it.waiting_tokens, prompt_tokens);
}

void endpoint_chooser::finished(const endpoint_id& id)
{
    auto& it = loads_[id];
    if (it.in_flight > 0)
        --it.in_flight;
}

void endpoint_chooser::answered(const endpoint_id& id)
{
    loads_[id].failures = 0;
}

void endpoint_chooser::refused(time_point now, const endpoint_id& id)
{
    auto& it = loads_[id];
    it.aside_until = std::max(it.aside_until, now + options_.refusal_pause);
}

void endpoint_chooser::eject(time_point now, load& it)
{
    const auto doublings = std::min(it.failures, max_doublings);
    const auto time = std::min(options_.first_ejection * (1U << doublings) / 2, options_.longest_ejection);
    it.aside_until = std::max(it.aside_until, now + time);
}

void endpoint_chooser::not_reached(time_point now, const endpoint_id& id)
{
    auto& it = loads_[id];
    ++it.failures;
    eject(now, it);
}

void endpoint_chooser::broke(time_point now, const endpoint_id& id)
{
    auto& it = loads_[id];
    ++it.failures;
    if (it.failures >= options_.failures_to_eject)
        eject(now, it);
}

void endpoint_chooser::keep_only(const endpoint_directory& directory)
{
    std::erase_if(loads_, [&](const auto& it)
                  { return it.second.in_flight == 0 && directory.find(it.first) == nullptr; });
}

// Choice

endpoint_chooser::candidates endpoint_chooser::allowed(time_point now, const endpoint_directory& from,
                                                       const endpoint_need& need) const
{
    auto all = from.usable(now, need.service);
    std::erase_if(all,
                  [&](const auto* it)
                  {
                      return (need.versions.excluded && it->version == *need.versions.excluded) ||
                             (need.tried != nullptr && need.tried->contains(it->id));
                  });
    if (!need.versions.only)
        return all;
    candidates preferred;
    for (const auto* it : all)
        if (it->version == *need.versions.only)
            preferred.push_back(it);
    return preferred.empty() && !need.versions.is_strict ? all : preferred;
}

endpoint_chooser::candidates endpoint_chooser::sound(time_point now, const candidates& from) const
{
    candidates out;
    for (const auto* it : from)
        if (now >= at(it->id).aside_until)
            out.push_back(it);
    return out;
}

std::uint32_t endpoint_chooser::most_in_flight(const candidates& from) const
{
    std::uint32_t sum = 0;
    for (const auto* it : from)
        sum += at(it->id).in_flight;
    const auto mean = static_cast<double>(sum) / static_cast<double>(from.size());
    return std::max(options_.affinity_least, static_cast<std::uint32_t>(options_.affinity_load * mean));
}

const endpoint_entry* endpoint_chooser::by_affinity(const candidates& from, const endpoint_need& need) const
{
    const auto most = most_in_flight(from);
    const endpoint_entry* best = nullptr;
    std::uint64_t highest = 0;
    for (const auto* it : from)
    {
        const auto& load = at(it->id);
        const auto weight = core::stable_hash(it->id.str(), need.affinity);
        const bool has_room = load.waiting_tokens <= options_.affinity_tokens && load.in_flight <= most;
        if (has_room && (best == nullptr || weight > highest))
        {
            best = it;
            highest = weight;
        }
    }
    return best;
}

const endpoint_entry* endpoint_chooser::least_loaded(const candidates& from)
{
    ++turn_;
    const endpoint_entry* best = nullptr;
    std::uint64_t lowest = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const auto* it = from[(n + turn_) % from.size()];
        const auto& load = at(it->id);
        const auto far = it->failure_domain == own_domain_ ? 0U : options_.near_bonus;
        const std::uint64_t cost =
            (static_cast<std::uint64_t>(load.in_flight) + far) * 1000 + load.waiting_tokens;
        if (best == nullptr || cost < lowest)
        {
            best = it;
            lowest = cost;
        }
    }
    return best;
}

const endpoint_entry* endpoint_chooser::choose(time_point now, const endpoint_directory& from,
                                               const endpoint_need& need)
{
    const auto all = allowed(now, from, need);
    if (all.empty())
        return nullptr;
    const auto good = sound(now, all);
    const auto& usable = good.empty() ? all : good;
    if (need.affinity == 0)
        return least_loaded(usable);
    const auto* keeper = by_affinity(usable, need);
    return keeper != nullptr ? keeper : least_loaded(usable);
}

} // namespace runlink::routing
