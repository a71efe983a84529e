#include "runlink/load/load_digest.hpp"

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
    for (const auto& [endpoint, left] : sums)
        if (left >= options_.least_load)
            out.loads.push_back({endpoint, left});
    return out;
}

} // namespace runlink::load
