/// \file
/// Requests that come before a process has its first configuration.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "runlink/routing/messages.hpp"

namespace runlink::routing
{

/// Parameters of the queue.
struct start_queue_options
{
    /// After the start of the process; one that has no configuration by then has none for long, and says so.
    milliseconds patience{1500};
    /// Longest wait of one request. A start takes half of it; above, the caller is better off elsewhere.
    milliseconds longest_wait{700};
    /// Part of the time that a caller allows, so that a refusal still leaves it time for another instance.
    double part_of_time_left = 0.3;
    std::size_t most = 256; ///< requests; a small instance gets a few in this time
};

/// Answers the first moments after many instances have lost power: the balancer sends callers to processes
/// that are about to have their configuration. Each caller that is refused then comes back a moment later
/// and spends a retry on it. Held requests are decided on as soon as the configuration is proven: 120 ms to
/// 500 ms later in a start of 295 instances (time between `started` and `listed` in their logs).
class start_queue
{
public:
    explicit start_queue(start_queue_options options = {}) : options_{options} {}

    struct held
    {
        flow_id id{};
        time_point arrived{};
        time_point due{}; ///< it is refused then
        inbound_request request;
    };

    /// The process has started, or goes on after it stood still.
    void open(time_point now) { open_until_ = now + options_.patience; }
    /// Takes the request if waiting may help. Returns whether it did.
    bool try_hold(time_point now, time_point arrived, flow_id id, inbound_request& request);
    /// The caller has left. Returns whether its request was here.
    bool drop(flow_id id);
    std::vector<held> take_all();
    std::vector<held> take_due(time_point now);
    std::optional<time_point> next_due() const;
    std::size_t size() const { return queue_.size(); }

private:
    start_queue_options options_;
    std::optional<time_point> open_until_;
    std::deque<held> queue_;
};

} // namespace runlink::routing
