#include "runlink/places/brittle_services.hpp"

#include <algorithm>

namespace runlink::places
{

bool brittle_services::on_answer(time_point now, const service_id& service,
                                 std::optional<double> refusals_per_s, time_point asked_at)
{
    const auto found = services_.find(service);
    if (!refusals_per_s)
    {
        // An answer that was under way when the service became brittle does not end that.
        if (found == services_.end() || asked_at < found->second.stated_at)
            return false;
        services_.erase(found);
        return true;
    }
    const bool is_new = found == services_.end() || found->second.refusals_per_s != *refusals_per_s;
    const auto began_at = found == services_.end() ? now : found->second.began_at;
    services_[service] = {*refusals_per_s, began_at, now};
    return is_new;
}

void brittle_services::sent(time_point now, const endpoint_id& id)
{
    auto& it = loads_[id];
    const auto* word = word_of(id);
    if (word != nullptr && it.in_flight >= share(id))
        it.next_try = now + try_interval(*word);
    ++it.in_flight;
}

void brittle_services::finished(time_point now, const endpoint_id& id, time_point sent_at)
{
    const auto found = loads_.find(id);
    if (found == loads_.end() || found->second.in_flight == 0)
        return;
    constexpr int weight = 8; ///< of the earlier measurements
    auto& it = found->second;
    --it.in_flight;
    const auto took = now - sent_at;
    it.run_time = it.run_time == duration{} ? took : it.run_time + (took - it.run_time) / weight;
}

void brittle_services::refused(time_point now, const endpoint_id& id)
{
    if (is_brittle(id))
        loads_[id].paused_until = now + options_.refusal_pause;
}

const brittle_services::word* brittle_services::word_of(const endpoint_id& id) const
{
    if (services_.empty())
        return nullptr;
    const auto place = place_of(id);
    const auto found = place ? services_.find(place->service) : services_.end();
    return found == services_.end() ? nullptr : &found->second;
}

bool brittle_services::is_brittle(const endpoint_id& id) const
{
    return word_of(id) != nullptr;
}

std::uint32_t brittle_services::share(const endpoint_id& id) const
{
    const auto place = place_of(id);
    if (!place)
        return 0;
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(instances_.size(), 1));
    const bool has_extra = instances_.rank(id) < place->slots % count;
    return place->slots / count + (has_extra ? 1 : 0);
}

duration brittle_services::try_interval(const word& it) const
{
    constexpr double us_per_s = 1e6;
    const auto per_s = std::max(it.refusals_per_s, 1.0) * options_.try_fraction /
                       static_cast<double>(std::max<std::size_t>(instances_.size(), 1));
    return duration{static_cast<duration::rep>(us_per_s / per_s)};
}

time_point brittle_services::next_try(const endpoint_id& id, const word& it, const load& at) const
{
    const auto count = static_cast<duration::rep>(std::max<std::size_t>(instances_.size(), 1));
    const auto turn = static_cast<duration::rep>(instances_.rank(id) + 1);
    return std::max(at.next_try, it.began_at + try_interval(it) * turn / count);
}

duration brittle_services::run_time(const load& it) const
{
    return it.run_time == duration{} ? duration{options_.first_run_time} : it.run_time;
}

time_point brittle_services::next_send(time_point now, const endpoint_id& id) const
{
    const auto* word = word_of(id);
    const auto found = loads_.find(id);
    if (word == nullptr)
        return now;
    static const load unused;
    const auto& it = found == loads_.end() ? unused : found->second;
    const auto part = share(id);
    const auto free_at =
        it.in_flight < part ? now : now + run_time(it) / static_cast<duration::rep>(it.in_flight + 1);
    const auto first = part == 0 ? next_try(id, *word, it) : std::min(free_at, next_try(id, *word, it));
    return std::max({first, it.paused_until, now});
}

bool brittle_services::has_free_part(const endpoint_id& id) const
{
    if (!is_brittle(id))
        return true;
    const auto found = loads_.find(id);
    return (found == loads_.end() ? 0 : found->second.in_flight) < share(id);
}

duration brittle_services::interval(const endpoint_id& id) const
{
    const auto* word = word_of(id);
    if (word == nullptr)
        return {};
    const auto found = loads_.find(id);
    const auto part = share(id);
    if (part == 0)
        return try_interval(*word);
    return run_time(found == loads_.end() ? load{} : found->second) / static_cast<duration::rep>(part);
}

void brittle_services::expire(time_point now)
{
    std::erase_if(services_, [&](const auto& it) { return now - it.second.stated_at >= options_.lifetime; });
    std::erase_if(loads_,
                  [&](const auto& it) {
                      return it.second.in_flight == 0 && it.second.paused_until <= now && !place_of(it.first);
                  });
}

} // namespace runlink::places
