/// \file
/// Streams that run at each endpoint of an engine, over all instances.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "runlink/load/forecast.hpp"
#include "runlink/load/load_digest.hpp"
#include "runlink/load/load_messages.hpp"

namespace runlink::load
{

/// Parameters of the tracking.
struct engine_load_options
{
    /// How long the streams of other failure domains count without a new digest. Eight intervals of
    /// digests: so many are lost in a row only if the relay or the path is gone.
    milliseconds remote_ttl{960};
};

/// Tracks the streams at each endpoint from their send to their end.
///
/// Own streams are exact. Those of peers are known from their announcements: their progress is estimated from
/// the time since they were sent, and they expire after their run time, so that a lost announcement or a
/// killed instance has no lasting effect. Streams of other failure domains are known as sums only.
///
/// Endpoints are identified by the hash of one incarnation, so a restarted endpoint starts without streams.
class engine_load
{
public:
    explicit engine_load(engine_load_options options = {}) : options_{options} {}

    /// The longest time for which a stream is expected to run, given its expected end. Answers of up to three
    /// times the expected length are common, longer ones are not.
    static milliseconds run_time(duration expected_end);

    /// A stream was sent by this instance (`is_own`) or a peer. A second announcement of a stream replaces
    /// the first. Streams without a hash are not tracked.
    void sent(time_point now, const prompt_sent& it, bool is_own);
    /// The first token of an own stream has arrived.
    void began(endpoint_hash at, stream_hash id) { progressed(at, id, 1); }
    /// More tokens of an own stream have arrived.
    void progressed(endpoint_hash at, stream_hash id, std::uint32_t tokens);
    /// A stream of any instance is over.
    void ended(const stream_ended& it);

    /// Replaces the sums of the other failure domains. Loads without any streams are ignored: not every
    /// digest holds streams.
    void set_remote_loads(time_point now, const std::vector<endpoint_load>& all);
    /// Adds the streams sent by the own failure domain to its loads.
    void add_local_loads(time_point now, std::vector<endpoint_load>& to) const;

    /// The streams at an endpoint; `endpoint_state::reading` is not set.
    endpoint_state state(time_point now, endpoint_hash of) const;
    /// Drops expired streams.
    void expire(time_point now);
    void clear();
    /// Number of streams tracked one by one.
    std::size_t size() const { return size_; }

private:
    struct stream
    {
        stream_hash id;
        time_point sent_at{};
        time_point expires = time_point::max(); ///< own streams do not expire
        std::uint32_t held = 0;                 ///< tokens in memory at its end
        std::uint32_t made = 0;                 ///< tokens that it is expected to generate
        std::uint32_t done = 0;                 ///< tokens generated; of own streams only
        duration expected{};                    ///< time from its send to its expected end
        bool is_own = false;

        /// Part of the stream that is still to run, above 0 to 1.
        double part_left(time_point now) const;
    };
    using streams = std::vector<stream>;

    stream* find(endpoint_hash at, stream_hash id);
    endpoint_state local_state(time_point now, endpoint_hash of) const;
    static endpoint_state sum_of(time_point now, const streams& all);

    engine_load_options options_;
    std::unordered_map<endpoint_hash, streams> streams_;
    std::size_t size_ = 0; ///< number of streams in `streams_`
    std::unordered_map<endpoint_hash, endpoint_load> remote_;
    time_point remote_at_ = time_point::min();
};

} // namespace runlink::load
