#include "runlink/routing/start_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace runlink::routing
{

bool start_queue::try_hold(time_point now, time_point arrived, flow_id id, inbound_request& request)
{
    if (!open_until_ || now >= *open_until_ || queue_.size() >= options_.max_requests)
        return false;
    const auto part = static_cast<double>(request.time_left.count()) * options_.time_left_share;
    const auto wait = std::min(options_.max_wait, milliseconds{static_cast<milliseconds::rep>(part)});
    queue_.push_back({id, arrived, std::min(now + wait, *open_until_), std::move(request)});
    return true;
}

bool start_queue::drop(flow_id id)
{
    return std::erase_if(queue_, [&](const queued_request& it) { return it.id == id; }) > 0;
}

std::vector<start_queue::queued_request> start_queue::take_all()
{
    std::vector<queued_request> out{std::make_move_iterator(queue_.begin()),
                                    std::make_move_iterator(queue_.end())};
    queue_.clear();
    return out;
}

std::vector<start_queue::queued_request> start_queue::take_due(time_point now)
{
    const auto is_waiting = [&](const queued_request& it) { return now < it.due; };
    const auto first_due = std::stable_partition(queue_.begin(), queue_.end(), is_waiting);
    std::vector<queued_request> out{std::make_move_iterator(first_due),
                                    std::make_move_iterator(queue_.end())};
    queue_.erase(first_due, queue_.end());
    return out;
}

std::optional<time_point> start_queue::next_due() const
{
    std::optional<time_point> out;
    for (const auto& it : queue_)
        out = out ? std::min(*out, it.due) : it.due;
    return out;
}

} // namespace runlink::routing
