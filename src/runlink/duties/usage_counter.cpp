#include "runlink/duties/usage_counter.hpp"

#include <algorithm>

namespace runlink::duties
{

void usage_counter::count(wall_time at, const core::account_id& account)
{
    ++windows_[options_.window_at(at)][account];
}

std::vector<window_counts> usage_counter::totals(wall_time at)
{
    const auto oldest = options_.expired_end(at);
    std::erase_if(windows_, [&](const auto& it) { return options_.end_of(it.first) <= oldest; });
    std::vector<window_counts> out;
    for (const auto& [window, accounts] : windows_)
        out.push_back({window, accounts});
    return out;
}

void usage_collector::on_report(wall_time at, const usage_report& it)
{
    const auto oldest = options_.expired_end(at);
    std::erase_if(windows_, [&](const auto& e) { return options_.end_of(e.first) <= oldest; });
    for (const auto& window : it.windows)
    {
        if (options_.end_of(window.window) <= oldest)
            continue;
        auto& known = windows_[window.window][it.process];
        for (const auto& [account, n] : window.accounts)
            known[account] = std::max(known[account], n);
    }
}

account_counts usage_collector::sum(window_number it) const
{
    account_counts out;
    const auto found = windows_.find(it);
    if (found == windows_.end())
        return out;
    for (const auto& [process, accounts] : found->second)
        for (const auto& [account, n] : accounts)
            out[account] += n;
    return out;
}

} // namespace runlink::duties
