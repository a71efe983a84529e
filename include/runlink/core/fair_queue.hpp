/// \file
/// Queue of requests that wait for a free slot at an endpoint.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "runlink/core/ids.hpp"

namespace runlink::core
{

/// Serves quick requests first, accounts in round-robin order, and the requests of one account first in,
/// first out.
class fair_queue
{
public:
    void push(const account_id& account, const request_id& request, bool quick);
    /// Returns a request that is to be tried again to the head of its account's queue.
    void push_front(const account_id& account, const request_id& request, bool quick);
    void remove(const request_id& request);
    /// Offers the head of each account's queue in turn, until `try_start` rejects the heads of all accounts.
    void offer(const std::function<bool(const request_id&)>& try_start);
    std::size_t size() const;

private:
    using account_queues = std::map<account_id, std::deque<request_id>>;

    /// Offers the heads of the accounts after `last_served` in turn until one is started. Returns whether one
    /// was.
    static bool offer_until_started(account_queues& queues, account_id& last_served,
                                    const std::function<bool(const request_id&)>& try_start);

    static std::optional<request_id> take_front(account_queues& queues, const account_id& account);

    account_queues quick_;
    account_queues normal_;
    account_id quick_last_served_;
    account_id normal_last_served_;
};

} // namespace runlink::core
