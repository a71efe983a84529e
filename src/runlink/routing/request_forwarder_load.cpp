// Streams at the endpoints of engines: from their send to their end, and what is announced to other
// instances.

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "runlink/core/hash.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

/// First tokens that are later than their forecast by more than this count as late: a quarter of the shortest
/// target latency of a stream.
constexpr milliseconds late_by{500};
constexpr std::uint64_t low_bits = 0xffffffff;

} // namespace

void request_forwarder::apply_load_switches()
{
    std::vector<load::engine_limits> engines;
    for (const auto& it : table_->services())
        if (it.runs_models)
            engines.push_back(it.engine);
    const auto active = load::active_parts(options_.load, engines);
    if (active.engine_load != load_active_.engine_load)
        chooser_.placement().track_streams(active.engine_load, options_.load.forecast);
    load_active_ = active;
}

void request_forwarder::add_stream_need(const flow& it, prompt_need& to) const
{
    if (!load_active_.engine_load)
        return;
    to.prompt_tokens = it.request.prompt_tokens;
    to.length = chooser_.placement().answer_lengths().expect(it.matched_route->name, it.request.length_hint,
                                                             it.request.max_new_tokens);
    if (const auto* service = table_->find_service(it.service))
        to.engine = service->engine;
}

std::optional<tracked_stream> request_forwarder::plan_stream(time_point now, const flow& it,
                                                             const successor& to, attempt_id id) const
{
    if (!load_active_.engine_load || !to.prompt)
        return std::nullopt;
    auto hash = core::stable_hash(std::to_string(id.value()), self_hash_) & low_bits;
    hash += hash == 0 ? 1 : 0; // 0 stands for a prompt without a tracked stream
    return chooser_.placement().plan_stream(now, *to.endpoint, *to.prompt, load::stream_hash{hash},
                                            it.deadline - now);
}

void request_forwarder::begin_stream(time_point now, attempt& it)
{
    if (!it.stream || it.stream->has_begun)
        return;
    chooser_.placement().stream_began(*it.stream);
    ++counters_.streams_begun;
    if (now - it.stream->sent_at - it.stream->forecast.first_token > late_by)
        ++counters_.streams_late;
}

void request_forwarder::end_stream(const attempt& it)
{
    if (!it.stream)
        return;
    const load::stream_ended ended{it.stream->sent.endpoint, it.stream->sent.stream};
    chooser_.placement().stream_ended(ended);
    hooks_.announce_stream_ended(ended);
}

void request_forwarder::describe_stream(const attempt& it, decision& to)
{
    if (!it.stream)
        return;
    to.running = it.stream->running;
    to.expected_end_ms = std::chrono::floor<milliseconds>(it.stream->forecast.end).count();
}

} // namespace runlink::routing
