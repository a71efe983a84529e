/// \file
/// Requests that arrive before the process has its first configuration.
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
    /// Time after the start of the process during which requests are queued. A process without configuration
    /// by then is unlikely to get one soon and refuses requests.
    milliseconds open_for{1500};
    /// Longest wait of one request. A start takes about half of it; after a longer wait the caller does
    /// better at another instance.
    milliseconds max_wait{700};
    /// Fraction of the caller's remaining time that a request may wait, so that after a refusal there is time
    /// left for another instance.
    double time_left_share = 0.3;
    std::size_t max_requests =
        256; ///< most queued requests; a small instance receives only a few in this time
};

/// Queues requests while a process waits for its first configuration. When many instances restart after a
/// power loss, the load balancer sends callers to processes that get their configuration a moment later; a
/// refused caller would spend a retry on the wait. Queued requests are processed as soon as the configuration
/// is proven to be current: 120 ms to 500 ms later in a start of 295 instances (time between `started` and
/// `listed` in their logs).
class start_queue
{
public:
    explicit start_queue(start_queue_options options = {}) : options_{options} {}

    /// A queued request.
    struct queued_request
    {
        flow_id id{};
        time_point arrived{};
        time_point due{}; ///< end of the wait
        inbound_request request;
    };

    /// The process has started, or resumes after a suspension.
    void open(time_point now) { open_until_ = now + options_.open_for; }
    /// Queues the request and returns true, or returns false if the queue is closed or full.
    bool try_hold(time_point now, time_point arrived, flow_id id, inbound_request& request);
    /// Removes the request of a caller that has left. Returns whether it was queued.
    bool drop(flow_id id);
    /// Removes and returns all requests.
    std::vector<queued_request> take_all();
    /// Removes and returns the requests whose wait is over.
    std::vector<queued_request> take_due(time_point now);
    std::optional<time_point> next_due() const;
    std::size_t size() const { return queue_.size(); }

private:
    start_queue_options options_;
    std::optional<time_point> open_until_;
    std::deque<queued_request> queue_;
};

} // namespace runlink::routing
