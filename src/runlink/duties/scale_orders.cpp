#include "runlink/duties/scale_orders.hpp"

#include <algorithm>
#include <utility>

namespace runlink::duties
{
namespace
{

/// Interval of the checks while nothing is due.
constexpr milliseconds check_interval{250};

std::uint32_t desired_of(const domain_order& it, bool is_preemptible)
{
    return is_preemptible ? it.preemptible : it.regular;
}

} // namespace

scale_orders::scale_orders(scale_options options, scale_hooks hooks)
    : options_{options}, hooks_{std::move(hooks)}
{
}

void scale_orders::on_record(const order_record& it)
{
    if (it.revision <= record_.revision)
        return;
    // The copy from which the store has returned may hold earlier orders.
    const bool is_earlier = it.revision.era > record_.revision.era && !record_.orders.empty();
    if (is_earlier)
        record_.revision = it.revision;
    else
        record_ = it;
}

void scale_orders::on_acquired(time_point now)
{
    plan_from_ = now + options_.collect_time;
    calls_.clear();
    // What the previous holder ordered last may still be starting.
    for (const auto& [subject, order] : record_.orders)
        changed_at_[subject] = now;
}

void scale_orders::tick(time_point now)
{
    if (is_busy_ || (next_step_ && now < *next_step_))
        return;
    next_step_ = now + check_interval;
    if (!is_listed_ || !hooks_.may_act(now))
        return;
    if (const auto call = next_call(now))
        return send(*call);
    if (now < next_plan_ || now < plan_from_)
        return;
    next_plan_ = now + options_.plan_interval;
    auto next = record_;
    if (plan(now, next))
        store(next);
}

// Plan

domain_state scale_orders::state_of(time_point now, const scale_subject& subject,
                                    const service_state& service, std::uint32_t ready) const
{
    domain_state out;
    out.ready = ready;
    const auto ordered = record_.orders.find(subject);
    out.ordered = ordered == record_.orders.end() ? domain_order{ready, ready, 0} : ordered->second;
    const auto denied = denied_until_.find(subject);
    out.preemptible_denied = denied != denied_until_.end() && now < denied->second;
    const auto changed = changed_at_.find(subject);
    out.has_settled =
        changed == changed_at_.end() || now >= changed->second + service.limits.startup + service.warm_up;
    return out;
}

bool scale_orders::is_counted(time_point now, const core::service_id& service, const service_state& state)
{
    bool out = !state.ready.empty();
    for (const auto& [domain, ready] : state.ready)
    {
        const scale_subject subject{service, domain};
        if (record_.orders.contains(subject))
            continue;
        auto& known = first_counts_.try_emplace(subject, first_count{0, now}).first->second;
        if (ready > known.ready)
            known = {ready, now};
        out = out && now - known.since >= options_.first_count_time;
    }
    return out;
}

bool scale_orders::plan(time_point now, order_record& next)
{
    auto services = hooks_.services();
    for (auto& [service, state] : services)
    {
        // A failure domain whose endpoints are all gone keeps its order.
        for (const auto& [subject, order] : record_.orders)
            if (subject.service == service)
                state.ready.try_emplace(subject.domain, 0);
        if (!is_counted(now, service, state))
            continue;
        on_kept(now, service, state);
        scale_input in;
        in.limits = state.limits;
        in.slots = state.slots;
        in.running = state.running;
        in.keeps_capacity = state.keeps_capacity;
        for (const auto& [domain, ready] : state.ready)
        {
            const auto domain_state = state_of(now, {service, domain}, state, ready);
            repeat_unfulfilled(now, {service, domain}, domain_state, state);
            in.domains[domain] = domain_state;
        }
        const auto planner = planners_.try_emplace(service, options_.planner).first;
        for (const auto& [domain, order] : planner->second.plan(now, in))
            next.orders[{service, domain}] = order;
    }
    return next.orders != record_.orders;
}

void scale_orders::repeat_unfulfilled(time_point now, const scale_subject& subject, const domain_state& state,
                                      const service_state& service)
{
    const double ordered = state.ordered.total();
    const bool is_short = state.ready < ordered * (1 - options_.tolerance);
    const bool is_surplus = state.ready > ordered * (1 + options_.tolerance) && !service.keeps_capacity;
    if (!state.has_settled || (!is_short && !is_surplus))
        return;
    repeat_orders(now, subject, service, options_.repeat_interval);
}

void scale_orders::repeat_orders(time_point now, const scale_subject& subject, const service_state& service,
                                 milliseconds after)
{
    const auto repeat = [&](bool is_preemptible, milliseconds delay)
    {
        const auto call = calls_.find({subject, is_preemptible});
        if (call != calls_.end() && !call->second.repeat_at)
            call->second.repeat_at = now + delay;
    };
    // Other endpoints may serve in the place of the preemptible ones; they are kept until those have started.
    repeat(true, after);
    repeat(false, after + service.limits.startup + service.warm_up);
}

void scale_orders::on_kept(time_point now, const core::service_id& id, const service_state& service)
{
    const bool has_ended = std::exchange(kept_[id], service.keeps_capacity) && !service.keeps_capacity;
    if (!has_ended)
        return;
    for (const auto& [domain, ready] : service.ready)
    {
        changed_at_[{id, domain}] = now; // nothing is taken away before the ordered endpoints serve again
        repeat_orders(now, {id, domain}, service, milliseconds{0});
    }
}

void scale_orders::store(const order_record& next)
{
    is_busy_ = true;
    hooks_.write(next, [this, next](write_result result) { on_stored(next, result); });
}

void scale_orders::on_stored(const order_record& next, write_result result)
{
    is_busy_ = false;
    if (result.what != write_result::outcome::committed)
        return; // planned again after the interval
    auto stored = next;
    stored.revision = result.revision;
    on_record(stored);
    next_step_ = hooks_.now();
}

// Calls

bool scale_orders::is_due(time_point now, const scale_call& it) const
{
    const auto found = calls_.find({it.subject, it.is_preemptible});
    if (found == calls_.end())
        return true;
    const auto& state = found->second;
    if (now < state.not_before)
        return false;
    const bool must_repeat = state.repeat_at && now >= *state.repeat_at;
    return must_repeat || state.accepted != it.desired;
}

std::optional<scale_call> scale_orders::next_call(time_point now) const
{
    // Additional endpoints are ordered before others are taken away.
    for (const bool is_preemptible : {true, false})
        for (const auto& [subject, order] : record_.orders)
        {
            const scale_call it{subject, is_preemptible, desired_of(order, is_preemptible)};
            const bool was_used = calls_.contains({subject, is_preemptible});
            if (is_preemptible && it.desired == 0 && !was_used)
                continue;
            if (is_due(now, it))
                return it;
        }
    return std::nullopt;
}

void scale_orders::send(const scale_call& it)
{
    is_busy_ = true;
    hooks_.send(it, [this, it](scale_result result) { on_sent(it, result); });
}

void scale_orders::on_sent(const scale_call& it, scale_result result)
{
    is_busy_ = false;
    const auto now = hooks_.now();
    hooks_.log(now, it, result.is_unavailable ? "unavailable" : to_string(result.what));
    auto& state = calls_[{it.subject, it.is_preemptible}];
    next_step_ = now;
    if (result.is_unavailable)
    {
        denied_until_[it.subject] = now + options_.denial_time;
        state.not_before = now + options_.denial_time;
        return;
    }
    if (result.what != call_outcome::accepted)
    {
        state.not_before = now + options_.retry_delay;
        if (result.what == call_outcome::unanswered)
            state.repeat_at = now + options_.late_call_time;
        return;
    }
    const bool is_repeat = state.repeat_at && now >= *state.repeat_at;
    if (state.accepted != it.desired || is_repeat)
        changed_at_[it.subject] = now;
    state.accepted = it.desired;
    if (is_repeat)
        state.repeat_at.reset();
}

} // namespace runlink::duties
