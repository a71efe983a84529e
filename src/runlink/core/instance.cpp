#include "runlink/core/instance.hpp"

#include <algorithm>
#include <utility>

namespace runlink::core
{
namespace
{

/// One heartbeat in this many is full: it holds all members and all counts.
constexpr std::uint64_t heartbeats_per_full_one = 10;

constexpr double min_write_burst = 4;
constexpr double write_burst_seconds = 0.2;

const char* state_name(const heartbeat& it)
{
    if (it.stopping)
        return " is stopping";
    return it.ready ? " is ready" : " is not ready";
}

} // namespace

instance::instance(instance_options options, instance_hooks hooks)
    : options_{std::move(options)}, hooks_{std::move(hooks)}, random_{options_.random_seed},
      members_{options_.self, options_.members}, selector_{options_.selector,
                                                           [this](const endpoint_id& it)
                                                           { return leaving_.is_leaving(it); },
                                                           random_},
      limits_{options_.expected_instances}, guard_{options_.guard, [this] { return members_.live_count(); }},
      sessions_{options_.secrets, hooks_.mac}, client_{options_.self, options_.client, make_client_hooks()},
      keeper_{options_.deployment,
              options_.keeper,
              {hooks_.store, [this](const auto& it) { on_applied(it); },
               [this](const member_info& it) { send(it.address, configuration_request{}); }}}
{
    for (std::uint64_t n = 0; n < options_.client.partitions; ++n)
        partitions_.push_back(std::make_unique<ledger_partition>(partition_id{n}, options_.self.incarnation,
                                                                 options_.ledger, make_ledger_hooks()));
    router_ = std::make_unique<request_router>(options_.router, options_.self.incarnation, hooks_.router,
                                               router_parts{client_, selector_, limits_, guard_, sessions_});
    for (const auto& it : options_.seed_addresses)
        members_.add_address(it);
    guard_.may_stop = [this](const version_ref& it)
    { return keeper_.current() && may_be_stopped(*keeper_.current(), it); };
    guard_.on_bad = [this](const version_ref& it, bool stopped)
    {
        hooks_.state_changed("version " + it.str() +
                             (stopped ? " is bad, stopped" : " is bad, but the last one"));
        if (stopped)
            keeper_.withdraw(it);
    };
}

ledger_hooks instance::make_ledger_hooks()
{
    ledger_hooks it;
    it.store = hooks_.store;
    it.codec = hooks_.codec;
    it.wall_clock = hooks_.wall_clock;
    it.is_alive = [this](const incarnation_id& e) { return members_.is_alive(e); };
    it.may_write = [this](time_point now) { return ledger_write_rate_.try_take(now); };
    it.next_batch = [this]
    { return batch_id{options_.self.incarnation.str() + "-" + std::to_string(++batch_count_)}; };
    return it;
}

ledger_client_hooks instance::make_client_hooks()
{
    ledger_client_hooks it;
    it.owner_of = [this](partition_id e) { return members_.owner_of(e); };
    it.submit_here = [this](time_point now, ledger_entry entry, ledger_reply_handler handler)
    {
        auto& partition = *partitions_.at(entry.partition.value());
        partition.submit(now, std::move(entry), std::move(handler));
    };
    it.send = [this](const member_info& to, peer_message message) { send(to.address, std::move(message)); };
    it.copy_holders = [this](std::size_t n) { return members_.copy_holders(n); };
    it.find_member = [this](const incarnation_id& e) { return members_.find(e); };
    return it;
}

void instance::send(const std::string& address, peer_message message)
{
    hooks_.send(address, {options_.deployment, options_.self, std::move(message)});
}

void instance::on_applied(const configuration_ptr& it)
{
    hooks_.state_changed("configuration " + std::to_string(it->revision.value()) + " in force");
    for (const auto& model : it->models)
        for (const auto& version : model.versions)
            if (const version_ref ref{model.id, version.id};
                version.state == version_state::withdrawn && guard_.is_stopped(ref))
                guard_.clear(ref);
    router_->apply(it);
    next_heartbeat_ = now_;
}

void instance::tick(time_point now)
{
    now_ = now;
    for (const auto& it : members_.tick(now))
    {
        hooks_.state_changed("instance " + it.id.str() + " is silent");
        client_.on_member_died(now, it);
    }
    keeper_.tick(now);
    const bool ready = is_ready(now);
    if (ready != std::exchange(was_ready_, ready))
    {
        hooks_.state_changed(ready ? "ready" : "not ready");
        next_heartbeat_ = now;
    }
    members_.set_self_state(keeper_.is_ready(now, members_), stopping_);
    if (stopping_ && now >= stop_admission_at_)
        router_->stop_admission();
    assign_partitions(now);
    for (auto& it : partitions_)
        it->tick(now);
    client_.tick(now);
    router_->tick(now);
    if (now >= next_heartbeat_)
        send_heartbeats(now);
}

void instance::assign_partitions(time_point now)
{
    if (assigned_change_count_ == members_.change_count())
        return;
    std::size_t owned = 0;
    bool complete = true;
    for (std::uint64_t n = 0; n < partitions_.size(); ++n)
    {
        auto& it = *partitions_[n];
        const auto owner = members_.owner_of(partition_id{n});
        const bool mine = owner && owner->incarnation == options_.self.incarnation;
        owned += mine ? 1 : 0;
        if (mine)
            it.acquire(now);
        else if (owner && !it.has_pending())
            it.resign();
        // A partition is given up only after its pending operations; until then the assignment is repeated.
        complete = complete && (mine || it.current_state() == ledger_partition::state::idle);
    }
    // There are at most as many owners as instances or partitions, so the sum of their rates never exceeds
    // the rate of the deployment.
    const auto owners = std::min<std::size_t>(members_.live_count(), partitions_.size());
    const double rate = owned == 0 ? 0 : options_.ledger_writes_per_second / static_cast<double>(owners);
    ledger_write_rate_.reconfigure(rate, std::max(min_write_burst, rate * write_burst_seconds));
    if (complete)
        assigned_change_count_ = members_.change_count();
}

void instance::send_heartbeats(time_point now)
{
    next_heartbeat_ = now + options_.members.heartbeat_interval;
    // Counts are running totals, so the next full heartbeat makes up for a lost one.
    const bool full = sent_heartbeat_count_++ % heartbeats_per_full_one == 0;
    heartbeat it;
    it.ready = keeper_.is_ready(now, members_);
    it.stopping = stopping_;
    it.revision = keeper_.revision();
    it.leaving = leaving_.all();
    for (const auto& counts : guard_.counts())
        if (auto& sent = sent_counts_[counts.version]; full || sent != counts)
        {
            it.versions.push_back(counts);
            sent = counts;
        }
    if (full)
        it.members = members_.peers();
    for (const auto& address : members_.addresses())
        send(address, it);
}

void instance::on_peer(time_point now, const peer_envelope& it)
{
    now_ = now;
    if (it.deployment != options_.deployment || it.sender.incarnation == options_.self.incarnation)
        return;
    std::visit([&](const auto& message) { on_message(now, it.sender, message); }, it.message);
}

void instance::on_message(time_point now, const member_info& from, const heartbeat& it)
{
    if (members_.on_heartbeat(now, from, it))
        hooks_.state_changed("instance " + from.id.str() + state_name(it));
    for (const auto& e : it.leaving)
        leaving_.mark(e);
    guard_.on_peer(from.incarnation, it.versions);
    keeper_.on_peer_revision(now, from, it.revision, it.ready);
}

void instance::on_message(time_point, const member_info& from, const configuration_request&)
{
    if (const auto it = keeper_.current())
        send(from.address, configuration_document{print_configuration(*it)});
}

void instance::on_message(time_point, const member_info&, const configuration_document& it)
{
    keeper_.on_peer_configuration(it.json);
}

void instance::on_message(time_point now, const member_info& from, const ledger_request& it)
{
    if (it.entry.partition.value() >= partitions_.size())
        return;
    const auto reply = [this, id = it.id, address = from.address](const ledger_reply& e) {
        send(address, ledger_response{id, e.status, e.record});
    };
    partitions_[it.entry.partition.value()]->submit(now, it.entry, reply);
}

void instance::on_message(time_point, const member_info&, const ledger_response& it)
{
    client_.on_response(it);
}

void instance::on_message(time_point, const member_info& from, const copy_request& it)
{
    client_.on_copy_request(from, it);
}

void instance::on_message(time_point, const member_info& from, const copy_response& it)
{
    client_.on_copy_response(from, it);
}

void instance::on_message(time_point, const member_info&, const copy_release& it)
{
    client_.on_copy_release(it);
}

void instance::on_request(time_point now, const caller_request& request)
{
    now_ = now;
    const auto refuse = [&](errc code, const char* detail)
    {
        hooks_.router.refuse(request.id,
                             {{code, detail, options_.router.default_retry_after}, run_outcome::not_run});
    };
    if (keeper_.is_cut_off(now, members_))
        return refuse(errc::cut_off, "instance");
    if (!keeper_.is_ready(now, members_))
        return refuse(errc::not_ready, "configuration");
    router_->on_request(now, request);
}

void instance::begin_stop(time_point now, milliseconds balancer_wait)
{
    if (std::exchange(stopping_, true))
        return;
    stop_admission_at_ = now + balancer_wait;
    next_heartbeat_ = now;
    hooks_.state_changed("stopping");
}

bool instance::is_stopped(time_point now) const
{
    if (!stopping_ || now < stop_admission_at_ || router_->active_count() > 0 || client_.unsafe_count() > 0)
        return false;
    return std::none_of(partitions_.begin(), partitions_.end(),
                        [](const auto& it) { return it->has_pending(); });
}

bool instance::is_ready(time_point now) const
{
    return !stopping_ && keeper_.is_ready(now, members_);
}

void instance::on_endpoint_state(time_point now, const endpoint_id& endpoint,
                                 endpoint_incarnation incarnation, bool leaving)
{
    if (!leaving)
        return leaving_.seen_live(endpoint, incarnation);
    if (!leaving_.mark({endpoint, incarnation}))
        return;
    hooks_.state_changed("endpoint " + endpoint.str() + " is leaving");
    next_heartbeat_ = now;
}

std::uint64_t instance::ledger_writes() const
{
    std::uint64_t out = 0;
    for (const auto& it : partitions_)
        out += it->write_count();
    return out;
}

std::vector<member_status> instance::member_states(time_point now) const
{
    std::vector<member_status> out{{options_.self, is_ready(now), stopping_, keeper_.revision()}};
    for (const auto& it : members_.peers())
    {
        const auto* last = members_.last_heartbeat(it.incarnation);
        out.push_back({it, last->ready, last->stopping, last->revision});
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.info.id < b.info.id; });
    return out;
}

result<std::string> instance::plan_intent(std::string_view intent, const std::string& operation_id) const
{
    configuration empty;
    empty.deployment = options_.deployment;
    const auto current = keeper_.current();
    const auto it = make_plan(current ? *current : empty, intent, operation_id);
    if (!it)
        return it.error();
    return print_plan(it.value(), options_.secrets.front(), hooks_.mac);
}

void instance::confirm_plan(time_point now, std::string_view text,
                            const configuration_keeper::confirm_handler& handler)
{
    auto it = parse_plan(text, options_.secrets.front(), hooks_.mac);
    if (!it)
        return handler(it.error());
    keeper_.confirm(now, std::move(it).value(), handler);
}

result<version_ref> instance::explain(time_point now, const caller_request& request)
{
    const auto current = keeper_.current();
    if (!current)
        return failure{errc::not_ready, "configuration"};
    const auto* account = current->find_account(request.account);
    if (account == nullptr)
        return failure{errc::unauthenticated, "account"};
    if (request.version)
        return check_version(*current, *account, {request.model, *request.version}, false);
    const auto filter = [&](const version_settings& settings, const version_ref& ref)
    { return guard_.admits(now, ref, settings.state); };
    return choose_version(*current, *account, request, filter);
}

} // namespace runlink::core
