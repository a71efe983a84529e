#include "runlink/routing/newer_versions.hpp"

#include <algorithm>
#include <cstddef>

namespace runlink::routing
{
namespace
{

/// Versions that are kept, which bounds the memory. The oldest ones decide.
constexpr std::size_t max_known = 64;

} // namespace

bool newer_versions::on_known(time_point now, std::uint64_t version)
{
    if (version <= in_force_ || known_since_.size() >= max_known)
        return false;
    return known_since_.try_emplace(version, now).second;
}

void newer_versions::on_applied(std::uint64_t version)
{
    in_force_ = std::max(in_force_, version);
    known_since_.erase(known_since_.begin(), known_since_.upper_bound(in_force_));
}

void newer_versions::on_proven(time_point at)
{
    std::erase_if(known_since_, [&](const auto& it) { return it.second <= at; });
}

std::optional<time_point> newer_versions::since() const
{
    std::optional<time_point> out;
    for (const auto& [version, at] : known_since_)
        out = std::min(out.value_or(at), at);
    return out;
}

std::uint64_t newer_versions::newest() const
{
    return known_since_.empty() ? in_force_ : known_since_.rbegin()->first;
}

} // namespace runlink::routing
