#include "runlink/routing/prompt_placement.hpp"

#include <algorithm>
#include <chrono>

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
    return tracks_streams_ ? speed_.time_to_read(model, at, tokens) : speed_.time_to_read(model, tokens);
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
    auto wait = backlog_.time_left(now, id);
    auto for_tokens = options_.per_request * at.in_flight;
    if (tracks_streams_)
    {
        const auto expected = forecast_at(now, id, need);
        wait = std::max(wait, expected.admission);
        for_tokens = expected.end - expected.first_token + expected.cost_to_others;
    }
    const auto first_token = wait + time_to_read(need.model, id, unread_tokens(now, id, need));
    auto out = wait + for_tokens;
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
    if (tracks_streams_)
        out.wait = std::max(out.wait, forecast_at(now, out.endpoint, need).admission);
    return out;
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
    if (!tracks_streams_)
        backlog_.answered(now, it.endpoint, it.sent_at);
    if (it.wait >= negligible_wait && it.wait * min_work_to_wait_ratio >= it.work)
        return;
    const auto time = std::max<duration>(now - it.sent_at - it.wait, min_reading_time);
    if (tracks_streams_)
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
    backlog_.sent(now, it.endpoint, it.work, false, tracks_streams_ ? it.stream : load::stream_hash{});
    if (tracks_streams_)
    {
        streams_.sent(now, it, false);
        peer_work_.add(now, it.work);
    }
    kept_.sent(now, it.endpoint, it.prompt);
}

void prompt_placement::on_peer_answered(time_point now, const prompt_answered& it)
{
    if (tracks_streams_)
        backlog_.read(now, it.endpoint, it.stream);
    else
        backlog_.answered(now, it.endpoint, now - it.age);
}

void prompt_placement::expire(time_point now)
{
    backlog_.expire(now);
    kept_.expire(now);
    streams_.expire(now);
}

void prompt_placement::on_remote_loads(time_point now, const load_digest& it)
{
    backlog_.set_remote_loads(now, it.loads);
    if (tracks_streams_)
        streams_.set_remote_loads(now, it.loads);
}

load_digest prompt_placement::local_loads(time_point now, milliseconds least) const
{
    load_digest out{own_domain_, backlog_.local_loads(now, least)};
    streams_.add_local_loads(now, out.loads);
    return out;
}

// Streams

void prompt_placement::track_streams(bool is_on, load::forecast_kind kind)
{
    tracks_streams_ = is_on;
    forecast_kind_ = kind;
    if (!is_on)
        streams_.clear();
}

load::endpoint_state prompt_placement::state_of(time_point now, endpoint_hash at) const
{
    auto out = streams_.state(now, at);
    // Unseen prompts are taken to be spread as the streams are, those of other failure domains included.
    const auto all = static_cast<std::int64_t>(std::max<std::size_t>(streams_.size(), 1));
    out.reading = backlog_.time_left(now, at) + peer_work_.unseen(now) * out.running / all;
    return out;
}

load::stream_forecast prompt_placement::forecast_of(endpoint_hash at, const load::endpoint_state& state,
                                                    std::uint32_t unread, const prompt_need& need) const
{
    const load::stream_need stream{need.model, need.prompt_tokens, unread, need.length};
    const auto running = load::running_with(state, need.engine);
    return load::forecast_stream(forecast_kind_, state, need.engine, stream,
                                 {time_to_read(need.model, at, unread),
                                  token_speed_.per_token(need.model, at, running),
                                  token_speed_.per_stream(need.model, at)});
}

load::stream_forecast prompt_placement::forecast_at(time_point now, endpoint_hash at,
                                                    const prompt_need& need) const
{
    return forecast_of(at, state_of(now, at), unread_tokens(now, at, need), need);
}

std::optional<load::stream_forecast> prompt_placement::forecast(time_point now, const endpoint_entry& to,
                                                                const prompt_need& need) const
{
    if (!tracks_streams_ || !has_learned_)
        return std::nullopt;
    return forecast_at(now, hash_of(to.id), need);
}

tracked_stream prompt_placement::plan_stream(time_point now, const endpoint_entry& to,
                                             const prompt_need& need, load::stream_hash id,
                                             duration time_left) const
{
    tracked_stream out;
    const auto at = hash_of(to.id);
    const auto state = state_of(now, at);
    const auto unread = unread_tokens(now, at, need);
    out.model = need.model;
    out.sent_at = now;
    out.tokens_per_event = need.engine.tokens_per_event;
    out.running = state.running;
    out.forecast = forecast_of(at, state, unread, need);
    out.sent = {at,
                need.shared,
                std::chrono::ceil<milliseconds>(time_to_read(need.model, at, unread)),
                id,
                need.prompt_tokens + need.length.median,
                need.length.median,
                load::engine_load::run_time(std::min(out.forecast.end, time_left))};
    return out;
}

void prompt_placement::stream_began(tracked_stream& it)
{
    it.has_begun = true;
    streams_.began(it.sent.endpoint, it.sent.stream);
}

void prompt_placement::stream_progressed(const tracked_stream& it)
{
    streams_.progressed(it.sent.endpoint, it.sent.stream, it.tokens_per_event);
    has_learned_ = true;
}

} // namespace runlink::routing
