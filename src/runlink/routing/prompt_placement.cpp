#include "runlink/routing/prompt_placement.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::routing
{
namespace
{

constexpr std::int64_t bytes_per_kb = 1000;
/// The reading speed is sampled only from prompts whose expected wait was below `negligible_wait`, or whose
/// expected reading time was more than this multiple of the wait. The time after the wait is then due to the
/// prompt itself.
constexpr int min_work_to_wait_ratio = 2;
constexpr milliseconds negligible_wait{15};
/// Lower limit of a sampled reading time, for answers that begin before the expected wait is over.
constexpr milliseconds min_reading_time{1};

duration part_of(duration it, double share)
{
    return duration{static_cast<duration::rep>(static_cast<double>(it.count()) * share)};
}

} // namespace

std::uint32_t prompt_placement::unread_tokens(time_point now, endpoint_hash at, const prompt_need& need) const
{
    return need.own_tokens + (kept_.has(now, at, need.shared) ? 0 : need.shared_tokens);
}

duration prompt_placement::time_to_read(const core::model_id& model, endpoint_hash at,
                                        std::uint32_t tokens) const
{
    return by_endpoint_ ? speed_.time_to_read(model, at, tokens) : speed_.time_to_read(model, tokens);
}

std::uint64_t prompt_placement::home_score(std::uint64_t id_hash, const prompt_need& need)
{
    // A bit mixer: cheap enough to be computed for each endpoint, and each bit of both inputs counts.
    auto n = id_hash ^ (need.shared.value() * 0x9e3779b97f4a7c15U);
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9U;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebU;
    return n ^ (n >> 31U);
}

const endpoint_entry* prompt_placement::home_of(const std::vector<candidate>& from, const prompt_need& need)
{
    const endpoint_entry* best = nullptr;
    std::uint64_t highest = 0;
    for (const auto& it : from)
    {
        const auto score = home_score(core::stable_hash(it.endpoint->id.str()), need);
        if (best != nullptr && score <= highest)
            continue;
        best = it.endpoint;
        highest = score;
    }
    return best;
}

duration prompt_placement::cost(time_point now, const candidate& at, const prompt_need& need,
                                bool is_home) const
{
    const auto id = hash_of(at.endpoint->id);
    const auto wait = backlog_.time_left(now, id);
    const auto first_token = wait + time_to_read(need.model, id, unread_tokens(now, id, need));
    auto out = wait + options_.per_request * at.in_flight;
    if (first_token > need.time_to_target)
        out += (first_token - need.time_to_target) * options_.late_weight;
    out += time_to_read(need.model, id, need.own_tokens);
    if (!is_home && !kept_.has(now, id, need.shared))
        out += part_of(time_to_read(need.model, id, need.shared_tokens), options_.again_weight);
    if (at.endpoint->failure_domain != own_domain_)
        out += options_.far_per_kb * static_cast<std::int64_t>(need.request_bytes) / bytes_per_kb;
    return out;
}

const endpoint_entry* prompt_placement::choose(time_point now, const std::vector<candidate>& from,
                                               const prompt_need& need, const endpoint_entry* home) const
{
    const endpoint_entry* best = nullptr;
    duration lowest{};
    for (const auto& it : from)
    {
        const auto costs = cost(now, it, need, it.endpoint == home);
        if (best != nullptr && costs >= lowest)
            continue;
        best = it.endpoint;
        lowest = costs;
    }
    return best;
}

placed_prompt prompt_placement::expect(time_point now, const endpoint_entry& to,
                                       const prompt_need& need) const
{
    placed_prompt out;
    out.endpoint = hash_of(to.id);
    out.model = need.model;
    out.sent_at = now;
    out.unread_tokens = unread_tokens(now, out.endpoint, need);
    out.wait = backlog_.time_left(now, out.endpoint);
    out.work = time_to_read(need.model, out.endpoint, out.unread_tokens);
    return out;
}

std::optional<load::stream_forecast> prompt_placement::forecast(time_point /*now*/,
                                                                const endpoint_entry& /*to*/,
                                                                const prompt_need& /*need*/) const
{
    return std::nullopt;
}

placed_prompt prompt_placement::sent(time_point now, const endpoint_entry& to, const prompt_need& need)
{
    auto out = expect(now, to, need);
    backlog_.sent(now, out.endpoint, out.work, true);
    if (need.shared_tokens > 0)
        kept_.sent(now, out.endpoint, need.shared);
    return out;
}

void prompt_placement::answered(time_point now, const placed_prompt& it)
{
    backlog_.withdrawn(now, it.endpoint, it.sent_at);
    backlog_.answered(now, it.endpoint, it.sent_at);
    if (it.wait >= negligible_wait && it.wait * min_work_to_wait_ratio >= it.work)
        return;
    const auto time = std::max<duration>(now - it.sent_at - it.wait, min_reading_time);
    if (by_endpoint_)
        speed_.observe(it.model, it.endpoint, it.unread_tokens, time);
    else
        speed_.observe(it.model, it.unread_tokens, time);
}

void prompt_placement::withdrawn(time_point now, const placed_prompt& it)
{
    backlog_.withdrawn(now, it.endpoint, it.sent_at);
}

void prompt_placement::on_peer_sent(time_point now, const prompt_sent& it)
{
    backlog_.sent(now, it.endpoint, it.work, false);
    kept_.sent(now, it.endpoint, it.prompt);
}

void prompt_placement::on_peer_answered(time_point now, const prompt_answered& it)
{
    backlog_.answered(now, it.endpoint, now - it.age);
}

void prompt_placement::expire(time_point now)
{
    backlog_.expire(now);
    kept_.expire(now);
}

} // namespace runlink::routing
