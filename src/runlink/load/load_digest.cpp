#include "runlink/load/load_digest.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::load
{
namespace
{

/// One of this many digests holds stream counts: streams last for seconds, backlogs for tenths of a second.
constexpr int turns_per_streams = 2;
/// Size of an endpoint with its streams in a datagram.
constexpr double bytes_per_streams = 14;

void add_streams(const endpoint_load& from, endpoint_load& to)
{
    to.running += from.running;
    to.held_tokens += from.held_tokens;
    to.tokens_left += from.tokens_left;
}

} // namespace

void load_exchange::on_digest(core::time_point now, const load_digest& it)
{
    domains_[it.domain] = {now, it};
}

load_digest load_exchange::merged(core::time_point now) const
{
    std::map<endpoint_hash, endpoint_load> sums;
    for (const auto& [domain, it] : domains_)
    {
        const auto age = std::chrono::floor<core::milliseconds>(now - it.at);
        for (const auto& e : it.digest.loads)
        {
            if (e.left > age)
                sums[e.endpoint].left += e.left - age;
            if (e.running > 0 && age < options_.streams_ttl)
                add_streams(e, sums[e.endpoint]);
        }
    }
    load_digest out;
    for (auto& [endpoint, it] : sums)
    {
        it.endpoint = endpoint;
        if (it.left >= options_.least_load || it.running > 0)
            out.loads.push_back(it);
    }
    return out;
}

load_digest load_exchange::merged_for(core::time_point now, std::size_t receivers)
{
    auto out = merged(now);
    const auto per_turn = options_.streams_bytes_per_s *
                          std::chrono::duration<double>(options_.interval).count() * turns_per_streams;
    const auto most =
        static_cast<std::size_t>(per_turn / bytes_per_streams) / std::max<std::size_t>(receivers, 1);
    std::stable_sort(out.loads.begin(), out.loads.end(),
                     [](const auto& a, const auto& b) { return a.running > b.running; });
    has_stream_turn_ = !has_stream_turn_;
    for (std::size_t n = has_stream_turn_ ? most : 0; n < out.loads.size(); ++n)
        out.loads[n] = {out.loads[n].endpoint, out.loads[n].left};
    std::erase_if(out.loads,
                  [&](const auto& it) { return it.left < options_.least_load && it.running == 0; });
    return out;
}

} // namespace runlink::load
