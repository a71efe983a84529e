/// \file
/// Estimated backlog of each endpoint: prompts that all instances have sent and the endpoint has not read
/// yet.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "runlink/load/load_digest.hpp"
#include "runlink/load/load_messages.hpp"

namespace runlink::load
{

using core::duration;
using core::milliseconds;
using core::time_point;

/// Parameters of the estimate.
struct backlog_options
{
    /// Longest time that an unanswered entry counts. Longer waits are handled by the timers of the requests
    /// themselves.
    milliseconds max_entry_age{10'000};
    /// Time for which a prompt of a peer's stream counts without an update. The longest prompts are read in
    /// three to four seconds; a longer silence points to a lost announcement.
    milliseconds max_unread_time{4000};
};

/// Estimates for each endpoint the time that it needs to read the prompts sent to it.
///
/// An instance that handles a sixth of the requests sees only a sixth of the load, and would queue short
/// requests behind long prompts of other instances. Each instance therefore announces the prompts that it
/// sends, so that all instances know the same queue. The estimate assumes that an endpoint reads prompts one
/// after the other. An answer shows that everything sent before it has been read, which corrects the
/// estimate.
///
/// *Local* work is sent by instances of the own failure domain, which announce each prompt; *remote* work by
/// instances of other failure domains, known from load digests.
class endpoint_backlog
{
public:
    explicit endpoint_backlog(backlog_options options = {}) : options_{options} {}

    /// A prompt was sent to an endpoint, by this instance (`is_own`) or a peer. `work` is the expected time
    /// to read it. Own work counts until its answer begins.
    /// A `stream` identifies the prompt of a peer, which then counts until it is known to have been read.
    void sent(time_point now, endpoint_hash to, duration work, bool is_own, stream_hash stream = {});
    /// The prompt of a peer's stream was read, or its stream ended before that. Removes this prompt only: an
    /// engine reads urgent prompts first, so an answer shows nothing about prompts that were sent before it.
    void read(time_point now, endpoint_hash by, stream_hash stream);
    /// The answer to a prompt that any instance sent at `sent_at` has begun. Removes the work of peers up to
    /// that time; own work is removed by `withdrawn`.
    void answered(time_point now, endpoint_hash from, time_point sent_at);
    /// Removes own work that was sent at `sent_at`: its answer has begun, or the attempt was cancelled.
    void withdrawn(time_point now, endpoint_hash from, time_point sent_at);
    /// Expected time until the endpoint has read all prompts that are known to wait there.
    duration time_left(time_point now, endpoint_hash of) const;
    /// Replaces the loads caused by other failure domains, whose instances do not announce each prompt.
    void set_remote_loads(time_point now, const std::vector<endpoint_load>& all);
    /// The loads of at least `least` caused by instances that announce each prompt, for the load digest to
    /// other failure domains.
    std::vector<endpoint_load> local_loads(time_point now, milliseconds least) const;
    /// Drops entries that are older than `max_entry_age`, and idle endpoints.
    void expire(time_point now);

private:
    struct entry
    {
        time_point sent_at{};
        duration work{};
        bool is_own = false;
        stream_hash stream{}; ///< of a peer; 0: not known
    };
    struct queue
    {
        std::deque<entry> entries;                 ///< prompts not known to be read, oldest first
        time_point busy_until = time_point::min(); ///< expected end of reading all entries
    };

    duration local_time_left(time_point now, const queue& it) const;
    /// Limits `busy_until` to the time that the remaining entries need together.
    static void limit_busy_until(time_point now, queue& it);

    backlog_options options_;
    std::map<endpoint_hash, queue> queues_;
    std::map<endpoint_hash, time_point> remote_busy_until_;
};

} // namespace runlink::load
