#include "runlink/core/fair_queue.hpp"

#include <algorithm>
#include <vector>

namespace runlink::core
{

void fair_queue::push(const account_id& account, const request_id& request, bool quick)
{
    (quick ? quick_ : normal_)[account].push_back(request);
}

void fair_queue::push_front(const account_id& account, const request_id& request, bool quick)
{
    (quick ? quick_ : normal_)[account].push_front(request);
}

void fair_queue::remove(const request_id& request)
{
    for (auto* queues : {&quick_, &normal_})
    {
        for (auto& [unused, it] : *queues)
            std::erase(it, request);
        std::erase_if(*queues, [](const auto& it) { return it.second.empty(); });
    }
}

bool fair_queue::offer_until_started(account_queues& queues, account_id& last_served,
                                     const std::function<bool(const request_id&)>& try_start)
{
    std::vector<account_id> accounts;
    const auto first = queues.upper_bound(last_served);
    for (auto next = first; next != queues.end(); ++next)
        accounts.push_back(next->first);
    for (auto next = queues.begin(); next != first; ++next)
        accounts.push_back(next->first);
    for (const auto& account : accounts)
    {
        const auto request = take_front(queues, account);
        if (!request)
            continue;
        if (try_start(*request))
        {
            last_served = account;
            return true;
        }
        queues[account].push_front(*request);
    }
    return false;
}

std::optional<request_id> fair_queue::take_front(account_queues& queues, const account_id& account)
{
    const auto found = queues.find(account);
    if (found == queues.end())
        return std::nullopt;
    auto out = found->second.front();
    found->second.pop_front();
    if (found->second.empty())
        queues.erase(found);
    return out;
}

void fair_queue::offer(const std::function<bool(const request_id&)>& try_start)
{
    while (offer_until_started(quick_, quick_last_served_, try_start) ||
           offer_until_started(normal_, normal_last_served_, try_start))
    {
    }
}

std::size_t fair_queue::size() const
{
    std::size_t out = 0;
    for (const auto* queues : {&quick_, &normal_})
        for (const auto& [unused, it] : *queues)
            out += it.size();
    return out;
}

} // namespace runlink::core
