#include "runlink/load/load_digest.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::load
{

void load_exchange::on_digest(core::time_point now, const load_digest& it)
{
    domains_[it.domain] = {now, it};
}

load_digest load_exchange::merged(core::time_point now) const
{
    std::map<endpoint_hash, core::milliseconds> sums;
    for (const auto& [domain, it] : domains_)
    {
        const auto age = std::chrono::floor<core::milliseconds>(now - it.at);
        for (const auto& e : it.digest.loads)
            if (e.left > age)
                sums[e.endpoint] += e.left - age;
    }
    load_digest out;
    out.counts = merged_counts(now);
    for (const auto& [endpoint, left] : sums)
        if (left >= options_.least_load)
            out.loads.push_back({endpoint, left});
    return out;
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
    for (const auto& [endpoint, sum] : sums)
        out.push_back(sum);
    return out;
}

} // namespace runlink::load
