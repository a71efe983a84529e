#include "runlink/core/endpoint_selector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::core
{
namespace
{

constexpr double first_byte_average_weight = 0.2;
constexpr std::uint32_t max_doublings = 8;

} // namespace

endpoint_selector::endpoint_selector(selector_options options,
                                     std::function<bool(const endpoint_id&)> is_leaving,
                                     std::mt19937_64& random)
    : options_{options}, is_leaving_{std::move(is_leaving)}, random_{random}
{
}

void endpoint_selector::apply(configuration_ptr configuration)
{
    configuration_ = std::move(configuration);
    std::erase_if(loads_, [&](const auto& it)
                  { return it.second.in_flight == 0 && configuration_->pool_of(it.first) == nullptr; });
}

const endpoint_selector::load* endpoint_selector::find(const endpoint_id& id) const
{
    const auto found = loads_.find(id);
    return found == loads_.end() ? nullptr : &found->second;
}

template <class Visit>
void endpoint_selector::for_each_endpoint(const endpoint_demand& demand, Visit visit) const
{
    if (!configuration_)
        return;
    for (const auto& pool : configuration_->pools)
    {
        if (demand.pool && pool.id != *demand.pool)
            continue;
        for (const auto& it : pool.endpoints)
            if (!demand.version || it.serves(*demand.version))
                visit(it);
    }
}

bool endpoint_selector::is_ejected(time_point now, const endpoint_id& id) const
{
    const auto* it = find(id);
    return it != nullptr && now < it->ejected_until;
}

bool endpoint_selector::is_usable(time_point now, const endpoint_settings& it,
                                  const endpoint_demand& demand) const
{
    if (it.leaving || is_leaving_(it.id) || is_ejected(now, it.id))
        return false;
    return demand.excluded == nullptr || !demand.excluded->contains(it.id);
}

bool endpoint_selector::has_free_slot(time_point now, const endpoint_settings& it, bool quick) const
{
    const auto* load = find(it.id);
    if (load == nullptr)
        return true;
    if (now < load->paused_until)
        return false;
    // After its ejection an endpoint gets one request at a time until it answers one.
    if (load->ejections > 0 && load->failures >= options_.failures_to_eject)
        return load->in_flight == 0;
    return load->in_flight < concurrency_limit(it, quick);
}

std::uint32_t endpoint_selector::concurrency_limit(const endpoint_settings& it, bool quick) const
{
    const double share = it.capacity * options_.oversubscription / options_.instances;
    const auto shared = std::clamp(static_cast<std::uint32_t>(std::ceil(share)), 1U, it.capacity);
    if (quick)
        return std::min(shared + 1, it.capacity);
    const auto reserved = static_cast<std::uint32_t>(it.capacity * options_.reserved_share);
    return std::min(shared, it.capacity - reserved);
}

std::vector<const endpoint_settings*> endpoint_selector::candidates(time_point now,
                                                                    const endpoint_demand& demand) const
{
    std::vector<const endpoint_settings*> out;
    for_each_endpoint(demand,
                      [&](const endpoint_settings& it)
                      {
                          if (is_usable(now, it, demand) && has_free_slot(now, it, demand.quick))
                              out.push_back(&it);
                      });
    return out;
}

bool endpoint_selector::any_usable(time_point now, const endpoint_demand& demand) const
{
    return capacity(now, demand) > 0;
}

std::uint32_t endpoint_selector::capacity(time_point now, const endpoint_demand& demand) const
{
    std::uint32_t out = 0;
    for_each_endpoint(demand,
                      [&](const endpoint_settings& it)
                      {
                          if (is_usable(now, it, demand))
                              out += it.capacity;
                      });
    return out;
}

double endpoint_selector::relative_load(const endpoint_settings& it) const
{
    const auto* load = find(it.id);
    return load == nullptr ? 0 : static_cast<double>(load->in_flight) / it.capacity;
}

double endpoint_selector::median_first_byte(const std::vector<const endpoint_settings*>& all) const
{
    std::vector<double> known;
    for (const auto* it : all)
        if (const auto* load = find(it->id); load != nullptr && load->first_byte_ms > 0)
            known.push_back(load->first_byte_ms);
    if (known.empty())
        return 0;
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

double endpoint_selector::cost(const endpoint_settings& it, double median) const
{
    const auto* load = find(it.id);
    const double slowness =
        load == nullptr || median <= 0 || load->first_byte_ms <= 0 ? 1.0 : load->first_byte_ms / median;
    const double penalty = slowness > options_.slow_factor ? slowness : 1.0;
    return (relative_load(it) + 1.0 / it.capacity) * penalty;
}

const endpoint_settings*
endpoint_selector::pick_by_prefix(const endpoint_demand& demand,
                                  const std::vector<const endpoint_settings*>& all) const
{
    if (demand.prefix_hash == 0)
        return nullptr;
    const auto key = std::to_string(demand.prefix_hash);
    const auto score = [&](const auto* it) { return rendezvous_score(key, it->id.str()); };
    const auto* preferred = *std::max_element(
        all.begin(), all.end(), [&](const auto* a, const auto* b) { return score(a) < score(b); });
    double sum = 0;
    for (const auto* it : all)
        sum += relative_load(*it);
    const double mean = sum / static_cast<double>(all.size());
    const double bound = std::max(mean * options_.affinity_bound, 1.0 / preferred->capacity);
    return relative_load(*preferred) <= bound ? preferred : nullptr;
}

const endpoint_settings* endpoint_selector::pick(time_point now, const endpoint_demand& demand)
{
    const auto all = candidates(now, demand);
    if (all.empty())
        return nullptr;
    if (all.size() == 1)
        return all.front();
    if (const auto* preferred = pick_by_prefix(demand, all))
        return preferred;
    return pick_least_cost(all);
}

const endpoint_settings* endpoint_selector::pick_least_cost(const std::vector<const endpoint_settings*>& all)
{
    const double median = median_first_byte(all);
    const endpoint_settings* best = nullptr;
    double best_cost = 0;
    std::uint64_t ties = 0;
    for (const auto* it : all)
    {
        const double c = cost(*it, median);
        if (best != nullptr && c > best_cost)
            continue;
        ties = best != nullptr && c == best_cost ? ties + 1 : 1;
        // Chooses among equal costs with equal probability; otherwise all instances would choose the same
        // endpoint.
        if (random_() % ties == 0)
            best = it;
        best_cost = c;
    }
    return best;
}

void endpoint_selector::started(const endpoint_id& id)
{
    ++loads_[id].in_flight;
}

void endpoint_selector::first_byte(const endpoint_id& id, duration after)
{
    auto& it = loads_[id];
    const double ms = static_cast<double>(after.count()) / 1000.0;
    it.first_byte_ms =
        it.first_byte_ms <= 0 ? ms : it.first_byte_ms + first_byte_average_weight * (ms - it.first_byte_ms);
}

void endpoint_selector::finished(time_point now, const endpoint_id& id, attempt_result result)
{
    auto& it = loads_[id];
    if (it.in_flight > 0)
        --it.in_flight;
    if (result == attempt_result::answered)
    {
        it.failures = 0;
        it.ejections = 0;
    }
    if (result == attempt_result::refused)
        it.paused_until = now + options_.refusal_pause;
    if (result != attempt_result::lost || ++it.failures < options_.failures_to_eject)
        return;
    const auto doubling = std::min(it.ejections++, max_doublings);
    const auto pause = std::min(options_.first_ejection * (1 << doubling), options_.longest_ejection);
    it.ejected_until = now + pause;
}

std::uint32_t endpoint_selector::in_flight(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it == nullptr ? 0 : it->in_flight;
}

} // namespace runlink::core
