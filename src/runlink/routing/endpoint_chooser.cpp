#include "runlink/routing/endpoint_chooser.hpp"

#include <algorithm>
#include <limits>

namespace runlink::routing
{
namespace
{

/// Limit on the doublings of an ejection; `longest_ejection` applies before it is reached.
constexpr std::uint32_t max_doublings = 6;
/// Draws per endpoint of a sample: enough to find endpoints that may be used where half may not.
constexpr std::size_t max_draws_per_sample = 8;

/// A bit mixer (splitmix64): consecutive numbers become independent ones.
std::uint64_t mixed(std::uint64_t n)
{
    n += 0x9e3779b97f4a7c15U;
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31U);
}

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

void endpoint_chooser::started(const endpoint_id& id)
{
    ++loads_[id].in_flight;
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
    it.backoff_until = std::max(it.backoff_until, now + options_.refusal_pause);
}

void endpoint_chooser::eject(time_point now, load& it)
{
    const auto doublings = std::min(it.failures, max_doublings);
    const auto time = std::min(options_.first_ejection * (1U << doublings) / 2, options_.longest_ejection);
    it.backoff_until = std::max(it.backoff_until, now + time);
}

void endpoint_chooser::connect_failed(time_point now, const endpoint_id& id)
{
    auto& it = loads_[id];
    ++it.failures;
    eject(now, it);
}

void endpoint_chooser::forgive(const endpoint_id& id)
{
    const auto found = loads_.find(id);
    if (found == loads_.end())
        return;
    found->second.failures = 0;
    found->second.backoff_until = time_point::min();
}

void endpoint_chooser::answer_failed(time_point now, const endpoint_id& id)
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

endpoint_chooser::candidates endpoint_chooser::fitting(time_point now, const endpoint_directory& from,
                                                       const endpoint_need& need) const
{
    const auto is_out = [&](const auto* it)
    {
        return (need.versions.excluded && it->version == *need.versions.excluded) ||
               (need.tried != nullptr && need.tried->contains(it->id)) || !need.may_use(*it);
    };
    auto all = from.usable(now, need.service);
    std::erase_if(all, is_out);
    if (all.empty())
    {
        all = from.last_resorts(now, need.service);
        std::erase_if(all, is_out);
    }
    const auto& [only, excluded, avoided, is_strict] = need.versions;
    if (!only && !avoided)
        return all;
    candidates preferred;
    for (const auto* it : all)
        if (only ? it->version == *only : it->version != *avoided)
            preferred.push_back(it);
    return preferred.empty() && !is_strict ? all : preferred;
}

endpoint_chooser::candidates endpoint_chooser::without_backoff(time_point now, const candidates& from) const
{
    candidates out;
    for (const auto* it : from)
        if (!is_backing_off(now, it->id))
            out.push_back(it);
    return out;
}

const endpoint_entry* endpoint_chooser::lowest_cost(time_point now, const candidates& from,
                                                    const prompt_need& need) const
{
    std::vector<prompt_placement::candidate> all;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const auto* it = from[(n + rotation_) % from.size()];
        all.push_back({it, at(it->id).in_flight});
    }
    return placement_.choose(now, all, need, prompt_placement::home_of(all, need));
}

const endpoint_entry* endpoint_chooser::least_loaded(const candidates& from) const
{
    const endpoint_entry* best = nullptr;
    std::uint64_t lowest = 0;
    for (std::size_t n = 0; n < from.size(); ++n)
    {
        const auto* it = from[(n + rotation_) % from.size()];
        const auto& load = at(it->id);
        const auto far = it->failure_domain == own_domain_ ? 0U : options_.local_domain_bonus;
        const std::uint64_t cost = static_cast<std::uint64_t>(load.in_flight) + far;
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
    const auto* out = peek(now, from, need);
    rotate();
    return out;
}

const endpoint_entry* endpoint_chooser::peek(time_point now, const endpoint_directory& from,
                                             const endpoint_need& need) const
{
    const bool is_tracked = need.prompt && placement_.tracks_streams();
    const auto* quick = is_tracked ? sampled_choice(now, from, need) : quick_choice(now, from, need);
    return quick != nullptr ? quick : compare_all(now, from, need);
}

const endpoint_entry* endpoint_chooser::compare_all(time_point now, const endpoint_directory& from,
                                                    const endpoint_need& need) const
{
    const auto all = fitting(now, from, need);
    if (all.empty())
        return nullptr;
    const auto good = without_backoff(now, all);
    const auto& usable = good.empty() ? all : good;
    return need.prompt ? lowest_cost(now, usable, *need.prompt) : least_loaded(usable);
}

// Choice without a look at each endpoint

bool endpoint_chooser::is_preferred(time_point now, const endpoint_directory& from, const endpoint_need& need,
                                    const endpoint_entry& it) const
{
    const auto& [only, excluded, avoided, is_strict] = need.versions;
    if ((excluded && it.version == *excluded) || (only && it.version != *only) ||
        (!only && avoided && it.version == *avoided))
        return false;
    return from.may_get_work(now, it.id) && (need.tried == nullptr || !need.tried->contains(it.id)) &&
           need.may_use(it) && !is_backing_off(now, it.id);
}

bool endpoint_chooser::is_idle(time_point now, const endpoint_need& need, const endpoint_entry& it) const
{
    return at(it.id).in_flight == 0 && (!need.prompt || placement_.is_idle(now, it.id));
}

const endpoint_entry* endpoint_chooser::find_idle(time_point now, const endpoint_directory& from,
                                                  const endpoint_need& need) const
{
    const auto* group = from.index().group(need.service);
    if (group == nullptr)
        return nullptr;
    const auto local = group->by_domain.find(own_domain_);
    if (local == group->by_domain.end())
        return nullptr;
    const auto& near = local->second;
    const auto probes = std::min(near.size(), options_.max_idle_probes);
    for (std::size_t n = 0; n < probes; ++n)
    {
        const auto* it = near[(n + rotation_) % near.size()];
        if (is_idle(now, need, *it) && is_preferred(now, from, need, *it))
            return it;
    }
    return nullptr;
}

endpoint_chooser::ranked_home endpoint_chooser::best_below(const endpoint_group& group,
                                                           const endpoint_need& need, std::uint64_t below)
{
    ranked_home out{&group, group.revision, need.prompt->shared, nullptr, 0};
    for (std::size_t n = 0; n < group.all.size(); ++n)
    {
        const auto score = prompt_placement::home_score(group.hashes[n], *need.prompt);
        if (score >= below || (out.endpoint != nullptr && score <= out.score))
            continue;
        out.endpoint = group.all[n];
        out.score = score;
    }
    return out;
}

const endpoint_chooser::ranked_home& endpoint_chooser::top_home(const endpoint_group& group,
                                                                const endpoint_need& need) const
{
    const bool is_known = last_home_.endpoint != nullptr && last_home_.group == &group &&
                          last_home_.revision == group.revision && last_home_.shared == need.prompt->shared;
    if (!is_known)
        last_home_ = best_below(group, need, std::numeric_limits<std::uint64_t>::max());
    return last_home_;
}

std::optional<const endpoint_entry*>
endpoint_chooser::find_home(time_point now, const endpoint_directory& from, const endpoint_need& need) const
{
    const auto* group = from.index().group(need.service);
    auto home = top_home(*group, need);
    for (std::size_t probe = 0; probe < options_.max_home_probes; ++probe)
    {
        if (home.endpoint == nullptr || is_preferred(now, from, need, *home.endpoint))
            return home.endpoint;
        home = best_below(*group, need, home.score);
    }
    return std::nullopt;
}

const endpoint_entry* endpoint_chooser::quick_choice(time_point now, const endpoint_directory& from,
                                                     const endpoint_need& need) const
{
    const auto* idle = find_idle(now, from, need);
    if (idle == nullptr || !need.prompt || need.prompt->shared_tokens == 0)
        return idle;
    const auto home = find_home(now, from, need);
    if (!home)
        return nullptr;
    std::vector<prompt_placement::candidate> all{{idle, 0}};
    const auto add = [&](const endpoint_entry* it)
    {
        if (it != nullptr && it != idle)
            all.push_back({it, at(it->id).in_flight});
    };
    add(*home);
    for (const auto hash : placement_.endpoints_with(now, *need.prompt))
        if (const auto* it = from.index().find(hash);
            it != nullptr && it->service == need.service && is_preferred(now, from, need, *it))
            add(it);
    return placement_.choose(now, all, *need.prompt, *home);
}

// Choice with tracked streams

void endpoint_chooser::add_sample(time_point now, const endpoint_directory& directory,
                                  const endpoint_need& need, const candidates& from, std::size_t size,
                                  std::uint64_t seed, candidates& to) const
{
    std::size_t found = 0;
    const auto draws = size * max_draws_per_sample;
    for (std::size_t n = 0; n < draws && found < size && !from.empty(); ++n)
    {
        seed = mixed(seed + n);
        const auto* it = from[seed % from.size()];
        if (std::find(to.begin(), to.end(), it) != to.end() || !is_preferred(now, directory, need, *it))
            continue;
        to.push_back(it);
        ++found;
    }
}

endpoint_chooser::candidates endpoint_chooser::near_with_parts(time_point now, const endpoint_directory& from,
                                                               const endpoint_need& need) const
{
    candidates out;
    for (const auto hash : placement_.endpoints_with(now, *need.prompt))
        if (const auto* it = from.index().find(hash);
            it != nullptr && it->service == need.service && it->failure_domain == own_domain_)
            out.push_back(it);
    return out;
}

const endpoint_entry* endpoint_chooser::sampled_choice(time_point now, const endpoint_directory& from,
                                                       const endpoint_need& need) const
{
    const auto* group = from.index().group(need.service);
    if (group == nullptr)
        return nullptr;
    // Equal until the next rotation, since a request is placed twice: for its admission and for its send.
    const auto seed = mixed(rotation_ ^ mixed(options_.rotation_start));
    candidates sample;
    const endpoint_entry* home = nullptr;
    if (need.prompt->shared_tokens > 0)
    {
        const auto found = find_home(now, from, need);
        if (!found)
            return nullptr;
        home = *found;
        if (home != nullptr)
            sample.push_back(home);
        add_sample(now, from, need, near_with_parts(now, from, need), options_.sample_size, seed, sample);
    }
    if (const auto near = group->by_domain.find(own_domain_); near != group->by_domain.end())
        add_sample(now, from, need, near->second, options_.sample_size, mixed(seed + 1), sample);
    add_sample(now, from, need, group->all, 1, mixed(seed + 2), sample);
    std::vector<prompt_placement::candidate> all;
    for (const auto* it : sample)
        all.push_back({it, 0});
    return placement_.choose(now, all, *need.prompt, home);
}

} // namespace runlink::routing
