/// \file
/// The attribution of one instance on a simulated clock, for tests.
#pragma once

#include <catch2/catch.hpp>

#include <vector>

#include "runlink/crashes/crash_attribution.hpp"

namespace runlink::crashes
{

inline constexpr element_fingerprint harmful_request{1};
inline constexpr element_fingerprint harmless_request{2};
inline constexpr milliseconds run_time{400};
inline constexpr std::size_t endpoint_count = 18;

/// The attribution of one instance with its clock and the messages and events that it emits.
struct observer
{
    time_point now{core::seconds{1000}};
    std::vector<crash_message> sent_messages;
    std::vector<element_fingerprint> suspected;
    std::vector<element_fingerprint> marked_harmful;
    crash_attribution attribution;

    explicit observer(attribution_options options = {}, std::uint64_t self = 1)
        : attribution{std::move(options), self, make_hooks()}
    {
        attribution.watch(now, endpoint_count);
        pass(milliseconds{2000});
    }

    crash_attribution::hooks make_hooks()
    {
        crash_attribution::hooks out;
        out.broadcast = [this](const crash_message& e) { sent_messages.push_back(e); };
        out.suspected = [this](time_point, element_fingerprint e) { suspected.push_back(e); };
        out.marked_harmful = [this](time_point, element_fingerprint e, bool) { marked_harmful.push_back(e); };
        return out;
    }

    void pass(milliseconds time)
    {
        const auto end = now + time;
        for (; now < end; now += milliseconds{10})
            attribution.tick(now);
    }

    /// Ends an endpoint that runs these requests.
    void end(std::uint64_t endpoint, const std::vector<request_elements>& running)
    {
        const auto sent_at = now;
        pass(run_time);
        for (const auto& e : running)
            attribution.on_connection_broken(now, e, endpoint_id_hash{endpoint}, sent_at);
        attribution.on_ended(now, endpoint_id_hash{endpoint});
        pass(attribution.options().report_batch_window + milliseconds{10});
    }

    /// Runs the request as a trial on an endpoint, which then ends.
    void try_and_end(const request_elements& e, std::uint64_t endpoint)
    {
        pass(attribution.options().max_trial_delay);
        REQUIRE(attribution.judge(now, e) == permission::alone);
        attribution.begin_trial(now, e, endpoint_id_hash{endpoint});
        end(endpoint, {e});
        pass(attribution.options().verdict_delay + milliseconds{10});
    }
};

} // namespace runlink::crashes
