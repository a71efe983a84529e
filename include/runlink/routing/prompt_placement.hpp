/// \file
/// At which endpoint a prompt is read soonest and at the least cost.
#pragma once

#include <cstdint>
#include <vector>

#include "runlink/routing/endpoint_backlog.hpp"
#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/kept_prompts.hpp"
#include "runlink/routing/prompt_speed.hpp"

namespace runlink::routing
{

/// Parameters of the placement.
struct placement_options
{
    /// What it is worth to keep 1,000 bytes in the own failure domain, as time that a request may wait for
    /// it: bytes between failure domains are paid for.
    duration far_per_kb{60'000};
    /// What reading shared parts again costs, as a multiple of its time: those that come behind wait as well.
    double again_weight = 4;
    /// What each unit of time counts that the first token is expected after the target latency: an answer
    /// that comes late is worth a third or less, so little else outweighs it.
    int late_weight = 20;
    /// What each of the own requests in flight adds, for the tokens that it takes part in generating.
    duration per_request{5000};
    /// Work below this is not told to other instances: datagrams cost more than they would gain.
    milliseconds least_told{20};
    backlog_options backlog;
    kept_prompts_options kept;
    prompt_speed_options speed;
};

/// A prompt that is to be read.
struct prompt_need
{
    core::model_id model;
    prompt_hash shared;              ///< of the parts that requests share, and the model
    std::uint32_t shared_tokens = 0; ///< of these parts
    std::uint32_t own_tokens = 0;    ///< of the rest
    std::uint32_t request_bytes = 0;
    duration time_to_target = duration::max(); ///< until the answer is late
};

/// A prompt that was sent.
struct placed_prompt
{
    endpoint_hash endpoint;
    core::model_id model;
    time_point sent_at{};
    std::uint32_t unread_tokens = 0;
    duration wait{}; ///< expected before the reading began
    duration work{}; ///< expected for the reading
};

/// Weighs, in time: what waits at an endpoint, what it has to read, the way to it, and what runs there.
///
/// Answers long prompts beside short ones (a short one goes where nothing waits), hot prompts (the endpoint
/// that keeps one is used until reading it again elsewhere is sooner), and bursts (all instances know what
/// the others have sent). One unit, time of an endpoint, holds for all of them; there is no count to be
/// exceeded.
class prompt_placement
{
public:
    explicit prompt_placement(placement_options options, core::failure_domain_id own_domain)
        : options_{options}, own_domain_{std::move(own_domain)}, backlog_{options.backlog},
          kept_{options.kept}, speed_{options.speed}
    {
    }

    /// Own requests at an endpoint that may be chosen.
    struct candidate
    {
        const endpoint_entry* endpoint = nullptr;
        std::uint32_t in_flight = 0;
    };
    /// The endpoint at which the prompt costs least, or null if there is none.
    const endpoint_entry* choose(time_point now, const std::vector<candidate>& from,
                                 const prompt_need& need) const;

    /// What is expected of a prompt if it is sent now.
    placed_prompt expect(time_point now, const endpoint_entry& to, const prompt_need& need) const;
    placed_prompt sent(time_point now, const endpoint_entry& to, const prompt_need& need);
    /// The answer has begun.
    void answered(time_point now, const placed_prompt& it);
    /// The attempt ended before its answer began.
    void withdrawn(time_point now, const placed_prompt& it);
    /// Another instance sent a prompt.
    void on_peer_sent(time_point now, const prompt_sent& it);
    /// An endpoint began its answer to a prompt of another instance.
    void on_peer_answered(time_point now, const prompt_answered& it);
    /// What instances of other failure domains have sent, and what those of the own one have.
    void on_far_loads(time_point now, const load_digest& it) { backlog_.told_far(now, it.loads); }
    load_digest near_loads(time_point now, milliseconds least) const
    {
        return {own_domain_, backlog_.near_loads(now, least)};
    }
    /// Whether other instances are to know of it.
    bool is_told(const placed_prompt& it) const { return it.work >= options_.least_told; }
    /// Forgets what is over; about once a second.
    void expire(time_point now);

private:
    /// The first of all in an order by hash: instances send a prompt that none is known to keep to the same
    /// endpoint, without having heard of each other.
    static const endpoint_entry* home_of(const std::vector<candidate>& from, const prompt_need& need);
    duration cost(time_point now, const candidate& at, const prompt_need& need, bool is_home) const;
    std::uint32_t unread_tokens(time_point now, endpoint_hash at, const prompt_need& need) const;

    placement_options options_;
    core::failure_domain_id own_domain_;
    endpoint_backlog backlog_;
    kept_prompts kept_;
    prompt_speed speed_;
};

} // namespace runlink::routing
