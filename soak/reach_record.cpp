#include "soak/reach_record.hpp"

#include <algorithm>
#include <utility>

namespace runlink::soak
{
namespace
{

/// Time after which an instance that has lost its paths has to serve again.
constexpr milliseconds contact_time{3000};
/// Failures that are allowed in any case, and per request.
constexpr double allowed_failures = 10;
constexpr double allowed_failure_ratio = 1.0 / 50;
constexpr double min_ratio = 2.0 / 3;

double share(const reach_counts& it)
{
    return it.sent == 0 ? 0 : static_cast<double>(it.served) / static_cast<double>(it.sent);
}

std::string text(const reach_counts& it)
{
    return std::to_string(it.served) + " of " + std::to_string(it.sent);
}

} // namespace

void reach_record::cut_began(time_point now, std::set<int> instances)
{
    cuts_.push_back({std::move(instances), now, now + contact_time, std::nullopt, {}, {}});
}

void reach_record::cut_ended(time_point now)
{
    cuts_.back().until = now;
}

bool reach_record::was_cut(time_point now, milliseconds before) const
{
    return std::any_of(cuts_.begin(), cuts_.end(),
                       [&](const cut& it)
                       { return it.began <= now && (!it.until || now - *it.until <= before); });
}

void reach_record::ended(time_point sent_at, int instance, bool is_served)
{
    for (auto& it : cuts_)
    {
        if (sent_at < it.from || (it.until && sent_at >= *it.until))
            continue;
        auto& side = it.instances.contains(instance) ? it.inside : it.outside;
        ++side.sent;
        side.served += is_served ? 1 : 0;
    }
}

std::vector<std::string> reach_record::faults() const
{
    std::vector<std::string> out;
    for (const auto& it : cuts_)
    {
        const auto failed = static_cast<double>(it.inside.sent - it.inside.served);
        const auto allowed = allowed_failures + allowed_failure_ratio * static_cast<double>(it.inside.sent);
        if (failed > allowed && share(it.inside) < min_ratio * share(it.outside))
            out.push_back("cut off: instances without a path to endpoints served " + text(it.inside) +
                          " requests, the others " + text(it.outside));
    }
    return out;
}

std::uint64_t reach_record::counted() const
{
    std::uint64_t out = 0;
    for (const auto& it : cuts_)
        out += it.inside.sent;
    return out;
}

} // namespace runlink::soak
