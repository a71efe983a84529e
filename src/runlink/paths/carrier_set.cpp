#include "runlink/paths/carrier_set.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::paths
{

carrier_set::carrier_set(carrier_options options, const instance_id& self, failure_domain_id own_domain)
    : options_{options}, own_domain_{std::move(own_domain)}, random_{core::stable_hash(self.str())}
{
}

void carrier_set::put_instance(const instance_id& id, const failure_domain_id& domain)
{
    const auto found = domains_.find(id);
    if (found != domains_.end() && found->second == domain)
        return;
    remove_instance(id);
    domains_.emplace(id, domain);
    (domain == own_domain_ ? own_ : other_).push_back(id);
}

void carrier_set::remove_instance(const instance_id& id)
{
    if (domains_.erase(id) == 0)
        return;
    std::erase(own_, id);
    std::erase(other_, id);
    offers_.erase(id);
    avoided_until_.erase(id);
}

bool carrier_set::is_own_domain(const instance_id& id) const
{
    const auto found = domains_.find(id);
    return found != domains_.end() && found->second == own_domain_;
}

std::uint64_t carrier_set::next_random()
{
    random_ = core::stable_hash({}, random_ + 1);
    return random_;
}

void carrier_set::add_random(time_point now, const std::vector<instance_id>& from, std::size_t n,
                             std::vector<instance_id>& to)
{
    const auto tries = std::min(from.size(), 2 * n + options_.asked_at_once);
    const auto start = from.empty() ? 0 : next_random() % from.size();
    for (std::size_t i = 0; i < tries && n > 0; ++i)
    {
        const auto& id = from[(start + i) % from.size()];
        const auto avoided = avoided_until_.find(id);
        const bool is_avoided = avoided != avoided_until_.end() && now < avoided->second;
        if (is_avoided || std::find(to.begin(), to.end(), id) != to.end())
            continue;
        to.push_back(id);
        --n;
    }
}

std::vector<instance_id> carrier_set::pick(time_point now)
{
    std::vector<instance_id> out;
    add_random(now, own_, options_.asked_at_once / 2, out);
    add_random(now, other_, options_.asked_at_once - out.size(), out);
    add_random(now, own_, options_.asked_at_once - out.size(), out);
    return out;
}

std::vector<instance_id> carrier_set::due_queries(time_point now)
{
    std::vector<instance_id> out;
    if (offers_.size() < options_.wanted && now >= next_search_)
    {
        next_search_ = now + options_.refresh_interval;
        out = pick(now);
        std::erase_if(out, [&](const auto& id) { return offers_.contains(id); });
    }
    for (auto& [id, it] : offers_)
    {
        if (now < std::max(it.renewed, it.asked) + options_.refresh_interval)
            continue;
        it.asked = now;
        out.push_back(id);
    }
    return out;
}

void carrier_set::on_offer(time_point now, const instance_id& id)
{
    const auto avoided = avoided_until_.find(id);
    if (!contains(id) || (avoided != avoided_until_.end() && now < avoided->second))
        return;
    avoided_until_.erase(id);
    offers_[id].renewed = now;
}

bool carrier_set::on_failed(time_point now, const instance_id& id)
{
    if (!contains(id))
        return false;
    avoided_until_[id] = now + options_.avoided_for;
    return offers_.erase(id) > 0;
}

void carrier_set::on_unreached(time_point now, const instance_id& id)
{
    const auto found = offers_.find(id);
    if (found != offers_.end() && ++found->second.unreached >= options_.max_unreached)
        on_failed(now, id);
}

void carrier_set::on_reached(const instance_id& id)
{
    const auto found = offers_.find(id);
    if (found != offers_.end())
        found->second.unreached = 0;
}

std::vector<instance_id> carrier_set::take_expired(time_point now)
{
    std::vector<instance_id> out;
    for (const auto& [id, it] : offers_)
        if (now - it.renewed >= options_.offer_lifetime)
            out.push_back(id);
    for (const auto& id : out)
        offers_.erase(id);
    return out;
}

std::optional<instance_id> carrier_set::choose() const
{
    const auto cost = [this](const auto& it)
    { return it.second.in_flight + (is_own_domain(it.first) ? 0 : options_.far_cost); };
    const auto best = std::min_element(offers_.begin(), offers_.end(),
                                       [&](const auto& a, const auto& b) { return cost(a) < cost(b); });
    return best == offers_.end() ? std::nullopt : std::optional{best->first};
}

void carrier_set::started(const instance_id& id)
{
    if (const auto found = offers_.find(id); found != offers_.end())
        ++found->second.in_flight;
}

void carrier_set::finished(const instance_id& id)
{
    if (const auto found = offers_.find(id); found != offers_.end() && found->second.in_flight > 0)
        --found->second.in_flight;
}

std::optional<time_point> carrier_set::next_due() const
{
    auto out = offers_.size() < options_.wanted ? std::optional{next_search_} : std::nullopt;
    for (const auto& [id, it] : offers_)
    {
        const auto at = std::min(std::max(it.renewed, it.asked) + options_.refresh_interval,
                                 it.renewed + options_.offer_lifetime);
        out = std::min(out.value_or(at), at);
    }
    return out;
}

} // namespace runlink::paths
