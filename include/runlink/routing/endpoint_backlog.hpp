/// \file
/// Prompts that endpoints have been sent, by all instances, and have not read yet.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/load_digest.hpp"

namespace runlink::routing
{

/// Parameters of the estimate.
struct backlog_options
{
    /// An entry that nobody has seen answered counts for this long at most: longer waits are found by
    /// timers of the requests themselves.
    milliseconds longest{10'000};
};

/// For each endpoint, the time that it will still take to read what was sent to it.
///
/// Answers bursts and long prompts: an instance with a sixth of the requests sees a sixth of the load, and
/// sends short requests behind the long prompts of others. Each instance tells the others of the prompts that
/// it sends, so that all know the same queue. Work is taken to be done one after the other; an answer shows
/// that what was sent before it has been read, which takes the error of the estimate out again.
class endpoint_backlog
{
public:
    explicit endpoint_backlog(backlog_options options = {}) : options_{options} {}

    /// Work for an endpoint was sent, by this instance or another. Own work counts until its answer begins.
    void sent(time_point now, endpoint_hash to, duration work, bool is_own);
    /// The answer to what was sent then, by any instance, has begun. Own work is taken out with `withdrawn`.
    void answered(time_point now, endpoint_hash from, time_point sent_at);
    /// Own work that was sent then is over: its answer has begun, or it was cancelled before.
    void withdrawn(time_point now, endpoint_hash from, time_point sent_at);
    /// Time until the endpoint has read all that is known to be waiting there.
    duration left(time_point now, endpoint_hash of) const;
    /// What instances that do not tell of each prompt have sent, all of it; replaces what was told before.
    void told_far(time_point now, const std::vector<endpoint_load>& all);
    /// What is known of single prompts, for those instances.
    std::vector<endpoint_load> near_loads(time_point now, milliseconds least) const;
    void expire(time_point now);

private:
    struct entry
    {
        time_point sent_at{};
        duration work{};
        bool is_own = false;
    };
    struct queue
    {
        std::deque<entry> entries; ///< not known to be read, oldest first
        time_point busy_until = time_point::min();
    };

    static duration near_left(time_point now, const queue& it);
    /// No more is left than all entries together.
    static void shorten(time_point now, queue& it);

    backlog_options options_;
    std::map<endpoint_hash, queue> queues_;
    std::map<endpoint_hash, time_point> far_busy_until_;
};

} // namespace runlink::routing
