#include "runlink/load/load_digest.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::load
{
namespace
{

/// One of this many digests to the own failure domain holds stream counts: streams last for seconds, backlogs
/// for tenths of a second.
constexpr int intervals_per_turn = 2;
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
    out.counts = merged_counts(now);
    return out;
}

std::size_t load_exchange::most_streams(std::size_t receivers, int intervals) const
{
    const auto time = std::chrono::duration<double>(options_.interval * intervals).count();
    const auto all = static_cast<std::size_t>(options_.streams_bytes_per_s * time / bytes_per_streams);
    return all / std::max<std::size_t>(receivers, 1);
}

void load_exchange::keep_most_streams(load_digest& it, std::size_t most) const
{
    const auto all = static_cast<std::size_t>(
        std::count_if(it.loads.begin(), it.loads.end(), [](const auto& e) { return e.running > 0; }));
    if (all <= most)
        return;
    std::stable_sort(it.loads.begin(), it.loads.end(),
                     [](const auto& a, const auto& b) { return a.running > b.running; });
    for (auto n = most; n < all; ++n)
        it.loads[n] = {it.loads[n].endpoint, it.loads[n].left};
    std::erase_if(it.loads, [&](const auto& e) { return e.left < options_.least_load && e.running == 0; });
}

void load_exchange::limit_streams(load_digest& it, std::size_t receivers) const
{
    keep_most_streams(it, most_streams(receivers, 1));
}

void load_exchange::limit_streams_by_turn(load_digest& it, std::size_t receivers)
{
    has_stream_turn_ = !has_stream_turn_;
    keep_most_streams(it, has_stream_turn_ ? most_streams(receivers, intervals_per_turn) : 0);
}

std::vector<request_counts> load_exchange::merged_counts(core::time_point now) const
{
    std::map<endpoint_hash, request_counts> sums;
    for (const auto& [domain, it] : domains_)
    {
        if (now - it.at >= options_.counts_expiry)
            continue;
        for (const auto& e : it.digest.counts)
        {
            auto& sum = sums[e.endpoint];
            sum.endpoint = e.endpoint;
            sum.in_flight += e.in_flight;
            sum.is_full = sum.is_full || e.is_full;
            sum.arrivals_per_1000_s += e.arrivals_per_1000_s;
            sum.answer_us = std::max(sum.answer_us, e.answer_us);
        }
    }
    std::vector<request_counts> out;
    out.reserve(sums.size());
    for (const auto& [endpoint, sum] : sums)
        out.push_back(sum);
    return out;
}

} // namespace runlink::load
