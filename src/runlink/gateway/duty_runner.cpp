#include "runlink/gateway/duty_runner.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::gateway
{
namespace
{

/// Instances send their counts this often, so that an instance that is killed loses few of them.
constexpr core::milliseconds min_send_interval{500};
/// Number of instances up to which all send at this interval; more of them send less often, so that the
/// holder receives a bounded number of messages.
constexpr std::size_t senders_per_interval = 250;
/// A call without an answer within this time may be carried out later.
constexpr core::milliseconds call_timeout{1500};
/// Instances write lost reports again at different times within this range, so that usually one does.
constexpr std::uint64_t restore_spread_ms = 500;
/// Additional delay of instances that don't follow the store directly.
constexpr core::milliseconds follower_delay{1000};

core::transfer_limits call_limits()
{
    core::transfer_limits out;
    out.first_byte = call_timeout;
    return out;
}

core::incarnation_id make_process_id(const core::instance_id& self, core::time_point now,
                                     duties::wall_time wall)
{
    return core::incarnation_id{self.str() + "/" + std::to_string(wall.count()) + "/" +
                                std::to_string(now.time_since_epoch().count())};
}

duties::write_result to_write_result(const control::kv_commit_result& it)
{
    using outcome = duties::write_result::outcome;
    if (const auto* done = std::get_if<control::kv_committed>(&it))
        return {outcome::committed, done->revision};
    if (std::holds_alternative<control::kv_conflict>(it))
        return {outcome::conflict, 0};
    return {std::get<control::kv_error>(it) == control::kv_error::refused ? outcome::refused
                                                                          : outcome::unknown,
            0};
}

std::uint64_t total_of(const duties::window_counts& it)
{
    std::uint64_t out = 0;
    for (const auto& [account, n] : it.accounts)
        out += n;
    return out;
}

} // namespace

duty_runner::duty_runner(const duty_settings& settings, const core::instance_id& self,
                         control::duty_wire wire, control::document_codec documents, duty_runner_hooks hooks)
    : settings_{settings}, self_{self}, wire_{std::move(wire)}, documents_{std::move(documents)},
      hooks_{std::move(hooks)}, process_{make_process_id(self, hooks_.now(), hooks_.wall())},
      platform_{{}, settings.address}, counter_{windows()}, collector_{windows()}, lease_{{settings.lease},
                                                                                          self,
                                                                                          process_,
                                                                                          lease_hooks()},
      reporter_{{windows()}, report_hooks()}, orders_{{}, scale_hooks()}
{
    wall_.observe(hooks_.now(), hooks_.wall());
}

duties::window_options duty_runner::windows() const
{
    return {settings_.report_window, settings_.report_lateness};
}

// Events

void duty_runner::on_run_began(const core::account_id& account)
{
    if (settings_.reports_usage)
        counter_.count(wall_.at(hooks_.now()), account);
}

void duty_runner::on_report(const duties::usage_report& it)
{
    const auto now = hooks_.now();
    collector_.on_report(wall_.at(now), it);
    loads_.on_report(now, it);
}

void duty_runner::on_listed(core::time_point now, bool has_lease)
{
    if (!has_lease)
        lease_.on_absent(now);
    reporter_.on_listed();
    orders_.on_listed();
}

void duty_runner::set_candidate(bool it)
{
    lease_.set_candidate(it && !is_stopping_);
    const auto spread =
        static_cast<core::milliseconds::rep>(core::stable_hash(self_.str()) % restore_spread_ms);
    reporter_.set_restore_delay(core::milliseconds{spread} + (it ? core::milliseconds{0} : follower_delay));
}

void duty_runner::begin_stop()
{
    is_stopping_ = true;
    lease_.resign();
}

void duty_runner::tick(core::time_point now)
{
    if (!is_enabled())
        return;
    wall_.observe(now, hooks_.wall());
    lease_.tick(now);
    if (now >= next_counts_)
        send_counts(now);
    if (settings_.reports_usage)
        reporter_.tick(now, wall_.at(now));
    if (settings_.orders_endpoints)
        orders_.tick(now);
}

std::optional<core::time_point> duty_runner::next_due() const
{
    if (!is_enabled())
        return std::nullopt;
    auto out = next_counts_;
    for (const auto& it : {lease_.next_due(), reporter_.restore_due()})
        if (it)
            out = std::min(out, *it);
    if (!acquired_at_)
        return out;
    for (const auto& it : {reporter_.next_due(), orders_.next_due()})
        if (it)
            out = std::min(out, *it);
    return out;
}

// Counts

core::milliseconds duty_runner::send_interval() const
{
    return min_send_interval *
           static_cast<core::milliseconds::rep>(1 + hooks_.instance_count() / senders_per_interval);
}

void duty_runner::send_counts(core::time_point now)
{
    next_counts_ = now + send_interval();
    duties::usage_report out;
    out.sender = self_;
    out.process = process_;
    out.windows = counter_.totals(wall_.at(now));
    for (const auto& [service, n] : hooks_.running())
        out.loads.push_back({service, n});
    // The own counts are kept as well: this instance may become the holder.
    on_report(out);
    const auto& holder = lease_.holder();
    if (!holder.empty() && holder != self_ && (!out.windows.empty() || !out.loads.empty()))
        hooks_.send(holder, out);
}

// Hooks

duties::lease_hooks duty_runner::lease_hooks()
{
    duties::lease_hooks out;
    out.now = hooks_.now;
    out.write = [this](const duties::lease_record& next, const core::store_revision& expected,
                       std::function<void(duties::write_result)> done)
    { write(documents_.write_lease(next), expected, std::move(done)); };
    out.changed = [this](core::time_point now, bool is_held)
    {
        observe::log_line line{is_held ? "duties_acquired" : "duties_lost"};
        line.number("epoch", static_cast<std::int64_t>(lease_.epoch().value()))
            .text("holder", lease_.holder().str());
        hooks_.log(line);
        acquired_at_ = is_held ? std::optional{now} : std::nullopt;
        if (!is_held)
            return;
        reporter_.on_acquired(now);
        orders_.on_acquired(now);
    };
    return out;
}

duties::report_hooks duty_runner::report_hooks()
{
    duties::report_hooks out;
    out.now = hooks_.now;
    out.may_act = [this](core::time_point now) { return may_act(now); };
    out.sum = [this](duties::window_number it) { return collector_.sum(it); };
    out.write = [this](const duties::usage_record& it, std::function<void(duties::write_result)> done)
    { write(documents_.write_usage(it), it.revision, std::move(done)); };
    out.send = [this](const duties::window_counts& it, std::function<void(duties::call_outcome)> done)
    {
        platform_.send(wire_.report_usage(caller(), it), call_limits(),
                       [this, done = std::move(done)](const control::http_answer& answer, const call_report&)
                       {
                           const auto result = wire_.read_usage_result(answer.status);
                           on_call(result);
                           done(result);
                       });
    };
    out.log = [this](core::time_point, std::string_view event, const duties::window_counts& it,
                     std::string_view result)
    {
        observe::log_line line{event};
        line.number("window", static_cast<std::int64_t>(it.window.value()))
            .number("requests", static_cast<std::int64_t>(total_of(it)))
            .number("accounts", static_cast<std::int64_t>(it.accounts.size()))
            .number("epoch", static_cast<std::int64_t>(lease_.epoch().value()))
            .text("result", std::string{result});
        hooks_.log(line);
    };
    return out;
}

duties::scale_hooks duty_runner::scale_hooks()
{
    duties::scale_hooks out;
    out.now = hooks_.now;
    out.may_act = [this](core::time_point now) { return may_act(now); };
    out.services = [this]
    {
        auto all = hooks_.services();
        const auto now = hooks_.now();
        for (auto& [id, it] : all)
            it.running = loads_.running(now, id);
        return all;
    };
    out.write = [this](const duties::order_record& it, std::function<void(duties::write_result)> done)
    { write(documents_.write_orders(it), it.revision, std::move(done)); };
    out.send = [this](const duties::scale_call& it, std::function<void(duties::scale_result)> done)
    {
        platform_.send(
            wire_.scale(caller(), it), call_limits(),
            [this, it, done = std::move(done)](const control::http_answer& answer, const call_report&)
            {
                const auto result = wire_.read_scale_result(it, answer.status);
                on_call(result.what);
                done(result);
            });
    };
    out.log = [this](core::time_point, const duties::scale_call& it, std::string_view result)
    {
        observe::log_line line{"endpoints_ordered"};
        line.text("service", it.subject.service.str())
            .text("failure_domain", it.subject.domain.str())
            .text("kind", it.is_preemptible ? "preemptible" : "regular")
            .number("desired", it.desired)
            .number("epoch", static_cast<std::int64_t>(lease_.epoch().value()))
            .text("result", std::string{result});
        hooks_.log(line);
    };
    return out;
}

// Calls

void duty_runner::on_call(duties::call_outcome it)
{
    switch (it)
    {
    case duties::call_outcome::accepted: ++counters_.accepted; break;
    case duties::call_outcome::fenced: ++counters_.fenced; break;
    case duties::call_outcome::refused: ++counters_.refused; break;
    case duties::call_outcome::unanswered: ++counters_.unanswered; break;
    }
}

void duty_runner::write(control::kv_item item, const core::store_revision& expected,
                        std::function<void(duties::write_result)> done)
{
    if (!expected.is_none() && expected.era != lease_.era())
        return done({duties::write_result::outcome::refused, {}}); // the revision means nothing in this era
    control::kv_transaction it;
    it.conditions.push_back({item.key, expected.number});
    it.writes.push_back(std::move(item));
    hooks_.commit(it,
                  [this, done = std::move(done)](const control::kv_commit_result& result)
                  {
                      done(to_write_result(result));
                      if (const auto* conflict = std::get_if<control::kv_conflict>(&result))
                          apply_conflict(*conflict);
                  });
}

void duty_runner::apply_conflict(const control::kv_conflict& it)
{
    const auto now = hooks_.now();
    for (const auto& item : it.items)
    {
        if (item.revision.is_none())
            continue; // there is no such item
        const auto read = documents_.read(item);
        if (!read)
            continue; // logged when the change arrives through the store's watch
        if (const auto* lease = std::get_if<duties::lease_record>(&read.value()))
            on_record(now, *lease);
        else if (const auto* usage = std::get_if<duties::usage_record>(&read.value()))
            on_record(now, *usage);
        else if (const auto* orders = std::get_if<duties::order_record>(&read.value()))
            on_record(*orders);
    }
}

} // namespace runlink::gateway
