#include "runlink/load/engine_load.hpp"

#include <algorithm>
#include <chrono>

namespace runlink::load
{
namespace
{

/// Ratio of the longest time that a stream is expected to run to the expected time. The longest answers of a
/// route have about three times the median length.
constexpr int longest_to_expected = 3;
/// Expirations of streams that are expected to be short leave time for the batching of the announcements.
constexpr milliseconds min_run_time{1000};
/// A stream that has outlasted its expected length still has this part of it left: of the answers that are
/// longer than the median, the mean remaining length does not fall to zero.
constexpr double min_part_left = 0.25;
/// Time per token assumed for streams of other failure domains while there are no local ones to compare with.
constexpr duration default_per_token{10'000};

std::uint32_t part_of(std::uint32_t it, double part)
{
    return static_cast<std::uint32_t>(static_cast<double>(it) * part);
}

duration part_of(duration it, double part)
{
    return duration{static_cast<duration::rep>(static_cast<double>(it.count()) * part)};
}

} // namespace

milliseconds engine_load::run_time(duration expected_end)
{
    return std::max(std::chrono::ceil<milliseconds>(expected_end) * longest_to_expected, min_run_time);
}

double engine_load::stream::part_left(time_point now) const
{
    const auto gone = is_own ? static_cast<double>(done) / std::max(made, 1U)
                             : static_cast<double>((now - sent_at).count()) /
                                   static_cast<double>(std::max<duration::rep>(expected.count(), 1));
    return std::clamp(1 - gone, min_part_left, 1.0);
}

engine_load::stream* engine_load::find(endpoint_hash at, stream_hash id)
{
    const auto found = streams_.find(at);
    if (found == streams_.end())
        return nullptr;
    const auto it =
        std::find_if(found->second.begin(), found->second.end(), [&](const stream& e) { return e.id == id; });
    return it == found->second.end() ? nullptr : &*it;
}

void engine_load::sent(time_point now, const prompt_sent& it, bool is_own)
{
    if (it.stream == stream_hash{})
        return;
    stream added;
    added.id = it.stream;
    added.sent_at = now;
    added.expires = is_own ? time_point::max() : now + it.run_time;
    added.held = it.held_tokens;
    added.made = it.made_tokens;
    added.expected = it.run_time / longest_to_expected;
    added.is_own = is_own;
    if (auto* known = find(it.endpoint, it.stream))
        *known = added;
    else
    {
        streams_[it.endpoint].push_back(added);
        ++size_;
    }
}

void engine_load::progressed(endpoint_hash at, stream_hash id, std::uint32_t tokens)
{
    if (auto* it = find(at, id))
        it->done += tokens;
}

void engine_load::ended(const stream_ended& it)
{
    const auto found = streams_.find(it.endpoint);
    if (found == streams_.end())
        return;
    size_ -= std::erase_if(found->second, [&](const stream& e) { return e.id == it.stream; });
    if (found->second.empty())
        streams_.erase(found);
}

void engine_load::set_remote_loads(time_point now, const std::vector<endpoint_load>& all)
{
    const auto has_streams = [](const endpoint_load& it) { return it.running > 0; };
    if (std::none_of(all.begin(), all.end(), has_streams))
        return;
    remote_.clear();
    for (const auto& it : all)
        if (it.running > 0)
            remote_[it.endpoint] = it;
    remote_at_ = now;
}

endpoint_state engine_load::sum_of(time_point now, const streams& all)
{
    endpoint_state out;
    for (const auto& it : all)
    {
        if (it.expires <= now)
            continue;
        const auto left = it.part_left(now);
        ++out.running;
        out.held_tokens += it.held;
        out.tokens_left += part_of(it.made, left);
        out.run_left += part_of(it.expected, left);
    }
    return out;
}

endpoint_state engine_load::local_state(time_point now, endpoint_hash of) const
{
    const auto found = streams_.find(of);
    return found == streams_.end() ? endpoint_state{} : sum_of(now, found->second);
}

endpoint_state engine_load::state(time_point now, endpoint_hash of) const
{
    auto out = local_state(now, of);
    const auto found = remote_.find(of);
    if (found == remote_.end() || now - remote_at_ >= options_.remote_ttl)
        return out;
    const auto& it = found->second;
    const auto per_token = out.tokens_left > 0 ? out.run_left / out.tokens_left : default_per_token;
    out.running += it.running;
    out.held_tokens += it.held_tokens;
    out.tokens_left += it.tokens_left;
    out.run_left += per_token * it.tokens_left;
    return out;
}

void engine_load::add_local_loads(time_point now, std::vector<endpoint_load>& to) const
{
    const auto add = [](endpoint_load& it, const endpoint_state& from)
    {
        it.running = from.running;
        it.held_tokens = from.held_tokens;
        it.tokens_left = from.tokens_left;
    };
    std::unordered_map<endpoint_hash, endpoint_state> all;
    for (const auto& [endpoint, it] : streams_)
        if (const auto sum = sum_of(now, it); sum.running > 0)
            all.emplace(endpoint, sum);
    for (auto& it : to)
        if (const auto found = all.find(it.endpoint); found != all.end())
        {
            add(it, found->second);
            all.erase(found);
        }
    for (const auto& [endpoint, sum] : all)
        add(to.emplace_back(endpoint_load{endpoint, {}}), sum);
}

void engine_load::expire(time_point now)
{
    for (auto& [endpoint, all] : streams_)
        size_ -= std::erase_if(all, [&](const stream& it) { return it.expires <= now; });
    std::erase_if(streams_, [](const auto& it) { return it.second.empty(); });
}

void engine_load::clear()
{
    streams_.clear();
    size_ = 0;
    remote_.clear();
}

} // namespace runlink::load
