// Whether another attempt may take the place of one, and what is told where none may.

#include <algorithm>
#include <chrono>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{

succession_denial request_forwarder::denial_of(time_point now, const flow& it, bool costs_allowance)
{
    // Attempts that are still connecting may run as well.
    auto runs = it.runs;
    for (const auto id : it.attempts)
        runs += attempts_.at(id).may_have_run ? 0 : 1;
    const auto left = [](std::uint32_t of, std::uint32_t used) { return of > used ? of - used : 0; };
    succession_input in;
    in.may_repeat = it.via->is_idempotent() || runs == 0;
    in.runs_left = left(std::max(it.via->max_attempts, 1U), runs);
    in.sends_left =
        std::min(left(options_.max_sends, it.sends - it.unsent), left(options_.max_unsent, it.unsent));
    in.time_left = it.deadline - now;
    in.least_time = options_.least_time;
    in.key = key_of(now, it);
    in.content = attribution_.judge(now, it.fingerprint);
    in.costs_allowance = costs_allowance;
    in.allowance_left = retries_.at(it.service).left(now);
    const auto out = judge(in);
    if (out != succession_denial::none || chooser_.peek(now, endpoints_, need_of(now, it)) != nullptr)
        return out;
    return succession_denial::no_endpoint;
}

void request_forwarder::describe_denial(time_point now, const flow& it, decision& to)
{
    if (it.denied == succession_denial::none)
        return;
    to.denied = to_string(it.denied);
    to.key_gone_ms = key_gone_for(now, it).count();
    to.allowance_left = static_cast<std::int64_t>(std::max(retries_.at(it.service).left(now), 0.0));
    to.endpoints_fitting =
        static_cast<std::int64_t>(chooser_.count_fitting(now, endpoints_, need_of(now, it)));
}

void request_forwarder::log_denied(time_point now, const flow& it, std::string_view event)
{
    auto line = describe(now, it, event);
    line.content = to_hex(it.fingerprint);
    line.attempt = it.sends;
    line.time_left_ms = std::chrono::floor<milliseconds>(it.deadline - now).count();
    describe_denial(now, it, line);
    hooks_.log(line);
}

} // namespace runlink::routing
