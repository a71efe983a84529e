// Connects the duties to the daemon's store, messages and endpoints.

#include <algorithm>

#include "runlink/gateway/gateway_daemon.hpp"

namespace runlink::gateway
{

duty_runner_hooks gateway_daemon::duty_hooks()
{
    duty_runner_hooks out;
    out.now = clock_;
    out.wall = [] { return duties::wall_time{wall_ms()}; };
    out.log = [this](const observe::log_line& it) { log_.write(clock_(), it, observe::log_rank::vital); };
    out.commit =
        [this](const control::kv_transaction& it, std::function<void(control::kv_commit_result)> done)
    {
        store_port_.commit(it,
                           [this, done = std::move(done)](const control::kv_commit_result& result)
                           {
                               const auto at = clock_();
                               if (const auto* why = std::get_if<control::kv_error>(&result))
                                   follower_.on_call_failed(at, *why);
                               else
                                   follower_.on_call_succeeded(at);
                               done(result);
                               rearm();
                           });
    };
    out.send = [this](const core::instance_id& to, const duties::usage_report& it)
    { gossip_.send_to({to}, it); };
    out.services = [this] { return scaled_services(clock_()); };
    out.running = [this] { return forwarder_.running(); };
    out.instance_count = [this] { return gossip_.peer_count(); };
    return out;
}

std::map<core::service_id, duties::service_state> gateway_daemon::scaled_services(core::time_point now) const
{
    std::map<core::service_id, duties::service_state> out;
    if (!forwarder_.table())
        return out;
    const bool keeps_capacity = !follower_.is_connected() || forwarder_.evacuated().size() > 0;
    for (const auto& service : forwarder_.table()->services())
    {
        if (!service.scaling)
            continue;
        auto& state = out[service.id];
        state.limits = *service.scaling;
        state.warm_up = service.cold.cold_time;
        state.keeps_capacity = keeps_capacity || forwarder_.rollouts().is_running(service.id);
        for (const auto* endpoint : forwarder_.endpoints().usable(now, service.id))
        {
            ++state.ready[endpoint->failure_domain];
            state.slots = std::max(state.slots, endpoint->slots);
        }
    }
    return out;
}

void gateway_daemon::apply_duty_records(core::time_point now, const control::document& it)
{
    if (const auto* lease = std::get_if<duties::lease_record>(&it))
        duties_.on_record(now, *lease);
    else if (const auto* usage = std::get_if<duties::usage_record>(&it))
        duties_.on_record(now, *usage);
    else if (const auto* orders = std::get_if<duties::order_record>(&it))
        duties_.on_record(*orders);
}

} // namespace runlink::gateway
