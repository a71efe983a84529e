/// \file
/// Chooses the endpoint at which reading a prompt costs least.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "runlink/load/answer_length.hpp"
#include "runlink/load/endpoint_backlog.hpp"
#include "runlink/load/engine_load.hpp"
#include "runlink/load/forecast.hpp"
#include "runlink/load/prompt_speed.hpp"
#include "runlink/load/stream_forecaster.hpp"
#include "runlink/load/token_speed.hpp"
#include "runlink/load/unseen_work.hpp"
#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/kept_prompts.hpp"

namespace runlink::routing
{

using load::backlog_options;
using load::endpoint_backlog;
using load::endpoint_load;
using load::load_digest;
using load::load_exchange;
using load::load_exchange_options;
using load::prompt_speed;
using load::prompt_speed_options;

/// Parameters of the placement.
struct placement_options
{
    /// Cost of sending 1,000 bytes to another failure domain, as the extra wait that is accepted to avoid it:
    /// traffic between failure domains is billed.
    duration far_per_kb{60'000};
    /// Weight of the time to read shared parts that another endpoint has cached. It is above 1 because
    /// requests queued behind the prompt are delayed as well.
    double again_weight = 4;
    /// Weight of the time by which the first token is expected to miss the target latency. It is high because
    /// a late answer has a third of its value or less.
    int late_weight = 20;
    /// Cost of each own request in flight at the endpoint, for the tokens that it still generates.
    duration per_request{5000};
    /// Prompts with less expected work are not announced to peers: the datagram costs more than it gains.
    milliseconds least_told{20};
    backlog_options backlog;
    kept_prompts_options kept;
    /// Times to the first token scatter by about 60 %, since other prompts are read in between, and endpoints
    /// by about 13 %: the prior of an endpoint has the weight of (60 / 13)^2 samples.
    prompt_speed_options speed{.endpoints = {.prior_samples = 21, .most_samples = 64}};
};

/// A prompt to be placed at an endpoint.
struct prompt_need
{
    core::model_id model;
    prompt_hash shared;              ///< hash of the parts shared between requests, and of the model
    std::uint32_t shared_tokens = 0; ///< tokens of the shared parts
    std::uint32_t own_tokens = 0;    ///< tokens of the rest of the prompt
    std::uint32_t request_bytes = 0;
    duration time_to_target = duration::max(); ///< time left until the target latency is missed
    /// The following are only used if streams are tracked.
    std::uint32_t prompt_tokens = 0;
    load::length_estimate length{}; ///< of the answer
    load::engine_limits engine{};   ///< of each endpoint of the service
};

/// A prompt that was sent to an endpoint, with the estimates at that time.
struct placed_prompt
{
    endpoint_hash endpoint;
    core::model_id model;
    time_point sent_at{};
    std::uint32_t unread_tokens = 0; ///< tokens that the endpoint has not cached
    duration wait{};                 ///< expected time before reading starts
    duration work{};                 ///< expected time to read the prompt
};

/// An own stream that is tracked from its send to its end at the endpoint.
struct tracked_stream
{
    prompt_sent sent; ///< as announced to peers
    core::model_id model;
    time_point sent_at{};
    std::uint32_t tokens_per_event = 1;
    std::uint32_t running = 0;      ///< streams at the endpoint before this one
    load::stream_forecast forecast; ///< at its send
    bool has_begun = false;
};

/// Places prompts by a cost in units of endpoint time: the backlog of the endpoint, the time to read the
/// prompt, the traffic to another failure domain, and the requests in flight.
///
/// With one unit for all of these, no limits on request counts are needed. Short prompts avoid endpoints that
/// read long ones. A frequent prompt stays at the endpoint that has it cached until reading it again
/// elsewhere is faster. Bursts spread out, since all instances know what their peers have sent.
///
/// With `track_streams`, the streams that an endpoint runs count as well: the wait for a slot and memory, the
/// time to generate the answer there, and the delay of the streams that run there.
class prompt_placement
{
public:
    explicit prompt_placement(placement_options options, core::failure_domain_id own_domain)
        : options_{options}, own_domain_{std::move(own_domain)}, backlog_{options.backlog},
          kept_{options.kept}, speed_{options.speed}
    {
    }

    /// An endpoint that may be chosen, and the number of own requests in flight there.
    struct candidate
    {
        const endpoint_entry* endpoint = nullptr;
        std::uint32_t in_flight = 0;
    };
    /// The endpoint with the lowest cost for the prompt, or null if `from` is empty. `home` is the endpoint
    /// that rendezvous hashing assigns to the shared parts: instances thereby send an uncached prompt to the
    /// same endpoint without coordination.
    const endpoint_entry* choose(time_point now, const std::vector<candidate>& from, const prompt_need& need,
                                 const endpoint_entry* home) const;
    /// The home of the prompt among all candidates.
    static const endpoint_entry* home_of(const std::vector<candidate>& from, const prompt_need& need);
    /// Score of an endpoint as the home of the prompt, by the hash of its id; the highest one wins.
    static std::uint64_t home_score(std::uint64_t id_hash, const prompt_need& need);
    /// Endpoints that are assumed to have the shared parts in their cache.
    std::vector<endpoint_hash> endpoints_with(time_point now, const prompt_need& need) const
    {
        return kept_.endpoints_with(now, need.shared);
    }
    /// Whether no prompt is known to wait at the endpoint.
    bool is_idle(time_point now, const endpoint_id& id) const
    {
        return backlog_.time_left(now, hash_of(id)) == duration{};
    }

    /// Turns the tracking of streams on or off; off drops what is known of them.
    void track_streams(bool is_on, load::forecast_kind kind);
    bool tracks_streams() const { return tracks_streams_; }
    /// Forecast of a stream if it is sent now; nothing if streams are not tracked or none has been seen
    /// to generate tokens. A model without samples is forecast with the initial speeds: otherwise one that
    /// was never asked would never be.
    std::optional<load::stream_forecast> forecast(time_point now, const endpoint_entry& to,
                                                  const prompt_need& need) const;
    /// The stream that begins if the prompt is sent now, and runs at most for `time_left`.
    tracked_stream plan_stream(time_point now, const endpoint_entry& to, const prompt_need& need,
                               load::stream_hash id, duration time_left) const;
    /// Records that the stream is sent now.
    void stream_sent(time_point now, const tracked_stream& it) { streams_.sent(now, it.sent, true); }
    /// Own streams; `began` is the arrival of the head, and each event brings `tokens_per_event` tokens.
    void stream_began(tracked_stream& it);
    void stream_progressed(const tracked_stream& it);
    void stream_ended(const load::stream_ended& it) { streams_.ended(it); }
    /// A stream of a peer is over; its prompt may not have been read.
    void on_peer_stream_ended(time_point now, const load::stream_ended& it)
    {
        backlog_.read(now, it.endpoint, it.stream);
        streams_.ended(it);
    }
    const load::engine_load& streams() const { return streams_; }
    /// Load of an endpoint, over all instances.
    load::endpoint_state state_of(time_point now, endpoint_hash at) const;
    load::token_speed& token_speeds() { return token_speed_; }
    const load::token_speed& token_speeds() const { return token_speed_; }
    load::answer_length& answer_lengths() { return answer_length_; }
    const load::answer_length& answer_lengths() const { return answer_length_; }

    /// Estimates for a prompt if it is sent now.
    placed_prompt expect(time_point now, const endpoint_entry& to, const prompt_need& need) const;
    /// Records that a prompt is sent now.
    placed_prompt sent(time_point now, const endpoint_entry& to, const prompt_need& need);
    /// The answer to an own prompt has begun.
    void answered(time_point now, const placed_prompt& it);
    /// The attempt of an own prompt ended before its answer began.
    void withdrawn(time_point now, const placed_prompt& it);
    /// A peer sent a prompt.
    void on_peer_sent(time_point now, const prompt_sent& it);
    /// An endpoint began its answer to a prompt of a peer.
    void on_peer_answered(time_point now, const prompt_answered& it);
    /// Takes the loads that other failure domains cause.
    void on_remote_loads(time_point now, const load_digest& it);
    /// The loads of at least `least` that the own failure domain causes.
    load_digest local_loads(time_point now, milliseconds least) const;
    /// Whether a prompt is worth announcing to peers.
    bool should_announce(const placed_prompt& it) const { return it.work >= options_.least_told; }
    /// Drops outdated state; to be called about once a second.
    void expire(time_point now);

private:
    load::stream_forecast forecast_of(endpoint_hash at, const load::endpoint_state& state,
                                      std::uint32_t unread, const prompt_need& need) const;
    load::stream_forecast forecast_at(time_point now, endpoint_hash at, const prompt_need& need) const;
    duration cost(time_point now, const candidate& at, const prompt_need& need, bool is_home) const;
    std::uint32_t unread_tokens(time_point now, endpoint_hash at, const prompt_need& need) const;
    /// By endpoint while streams are tracked, otherwise by model alone.
    duration time_to_read(const core::model_id& model, endpoint_hash at, std::uint32_t tokens) const;

    placement_options options_;
    core::failure_domain_id own_domain_;
    endpoint_backlog backlog_;
    kept_prompts kept_;
    prompt_speed speed_;
    bool tracks_streams_ = false;
    load::forecast_kind forecast_kind_ = load::forecast_kind::ends;
    load::engine_load streams_;
    load::unseen_work peer_work_;
    load::token_speed token_speed_;
    load::answer_length answer_length_;
    bool has_learned_ = false; ///< a stream was seen to generate tokens
};

} // namespace runlink::routing
