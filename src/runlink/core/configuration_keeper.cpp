#include "runlink/core/configuration_keeper.hpp"

#include <algorithm>
#include <utility>

namespace runlink::core
{

configuration_keeper::configuration_keeper(std::string deployment, keeper_options options, keeper_hooks hooks)
    : deployment_{std::move(deployment)}, options_{options}, hooks_{std::move(hooks)}
{
}

void configuration_keeper::tick(time_point now)
{
    now_ = now;
    if (!started_at_)
        started_at_ = now;
    if (now >= next_watch_)
        watch(now);
    withdraw_next(now);
}

void configuration_keeper::watch(time_point now)
{
    // A watch without an answer in time is replaced. A late answer is applied, but by its serial number it
    // doesn't schedule another watch.
    watching_ = true;
    const auto serial = ++watch_serial_;
    const auto handler = [this, serial](const result<store_value>& it) { on_watched(serial, it); };
    next_watch_ = now + options_.watch_wait + options_.read_timeout;
    if (store_revision_ == 0)
    {
        next_watch_ = now + options_.read_timeout;
        return hooks_.store.get(key_of(deployment_), handler);
    }
    hooks_.store.watch(key_of(deployment_), store_revision_, options_.watch_wait, handler);
}

void configuration_keeper::on_watched(std::uint64_t serial, const result<store_value>& it)
{
    if (it)
        apply_stored(it.value());
    const auto code = it ? errc::internal : it.error().code;
    const bool reached = it || code == errc::store_unchanged || code == errc::store_absent;
    if (reached)
        store_answered_at_ = now_;
    if (serial != watch_serial_)
        return;
    const bool watch_at_once = it || code == errc::store_unchanged;
    next_watch_ = watch_at_once ? now_ : now_ + options_.retry_delay;
}

void configuration_keeper::apply_stored(const store_value& it)
{
    auto parsed = parse_configuration(it.data);
    store_revision_ = std::max(store_revision_, it.revision);
    if (parsed)
        apply(std::move(parsed).value());
}

void configuration_keeper::apply(configuration it)
{
    if (it.deployment != deployment_ || it.revision <= revision())
        return;
    current_ = std::make_shared<const configuration>(std::move(it));
    hooks_.applied(current_);
}

void configuration_keeper::on_peer_revision(time_point now, const member_info& peer, config_revision revision,
                                            bool peer_ready)
{
    newest_peer_revision_ = std::max(newest_peer_revision_, revision);
    has_ready_peer_ = has_ready_peer_ || peer_ready;
    if (revision <= this->revision() || now < next_peer_request_)
        return;
    next_peer_request_ = now + options_.retry_delay / 10;
    hooks_.ask_peer(peer);
}

void configuration_keeper::on_peer_configuration(const std::string& json)
{
    auto parsed = parse_configuration(json);
    if (parsed)
        apply(std::move(parsed).value());
}

void configuration_keeper::confirm(time_point now, plan it, const confirm_handler& handler)
{
    now_ = now;
    if (it.next.deployment != deployment_)
        return handler(failure{errc::wrong_deployment, it.next.deployment});
    const auto on_found = [this, it = std::move(it), handler](const result<store_value>& found) mutable
    {
        const bool absent = !found && found.error().code == errc::store_absent;
        if (!found && !absent)
            return handler(failure{errc::store_unavailable, "configuration", options_.retry_delay});
        configuration stored;
        if (found)
        {
            apply_stored(found.value());
            auto parsed = parse_configuration(found.value().data);
            if (!parsed)
                return handler(parsed.error());
            stored = std::move(parsed).value();
        }
        if (found && stored.operation_id == it.next.operation_id)
            return handler(stored.revision);
        if (stored.revision != it.base())
            return handler(
                failure{errc::plan_conflict, "$.configuration.revision: the store holds revision " +
                                                 std::to_string(stored.revision.value())});
        write(std::move(it), found ? found.value().revision : 0, handler);
    };
    hooks_.store.get(key_of(deployment_), on_found);
}

void configuration_keeper::write(plan it, std::uint64_t store_revision, const confirm_handler& handler)
{
    const auto condition =
        store_revision == 0 ? store_condition::create() : store_condition::match(store_revision);
    const auto json = print_configuration(it.next);
    const auto on_written = [this, it = std::move(it), handler](const result<std::uint64_t>& written) mutable
    {
        if (!written)
            return resolve_unknown_write(std::move(it), handler);
        const auto revision = it.next.revision;
        store_revision_ = std::max(store_revision_, written.value());
        apply(it.next);
        write_history(it.next);
        handler(revision);
    };
    hooks_.store.put(key_of(deployment_), json, condition, on_written);
}

void configuration_keeper::write_history(const configuration& it)
{
    hooks_.store.put(history_key_of(deployment_, it.revision), print_configuration(it),
                     store_condition::create(), [](const result<std::uint64_t>&) {});
}

void configuration_keeper::resolve_unknown_write(plan it, const confirm_handler& handler)
{
    const auto on_found = [this, it = std::move(it), handler](const result<store_value>& found)
    {
        if (!found)
            return handler(
                failure{errc::store_unknown,
                        "configuration: unknown whether the plan was written; confirm the same plan again",
                        options_.retry_delay});
        apply_stored(found.value());
        const auto stored = parse_configuration(found.value().data);
        if (stored && stored.value().operation_id == it.next.operation_id)
        {
            write_history(stored.value());
            return handler(stored.value().revision);
        }
        if (stored && stored.value().revision == it.base())
            return handler(failure{errc::store_unavailable, "configuration: the plan was not written",
                                   options_.retry_delay});
        handler(
            failure{errc::plan_conflict, "$.configuration.revision: the stored configuration has changed"});
    };
    hooks_.store.get(key_of(deployment_), on_found);
}

void configuration_keeper::withdraw(const version_ref& version)
{
    if (std::find(withdrawals_.begin(), withdrawals_.end(), version) == withdrawals_.end())
        withdrawals_.push_back(version);
}

void configuration_keeper::withdraw_next(time_point now)
{
    if (withdrawals_.empty() || withdrawing_ || !current_ || now < next_withdrawal_)
        return;
    const auto version = withdrawals_.front();
    const auto* settings = current_->find_version(version);
    if (settings == nullptr || settings->state == version_state::withdrawn)
    {
        withdrawals_.pop_front();
        return;
    }
    withdrawing_ = true;
    next_withdrawal_ = now + options_.retry_delay;
    plan it;
    it.next = with_version_withdrawn(*current_, version);
    it.next.revision = config_revision{current_->revision.value() + 1};
    it.next.operation_id = "guard-" + version.str() + "-" + std::to_string(it.next.revision.value());
    it.changes = compare(*current_, it.next);
    confirm(now, std::move(it), [this](const result<config_revision>&) { withdrawing_ = false; });
}

bool configuration_keeper::store_reached(time_point now) const
{
    return store_answered_at_ && now - *store_answered_at_ <= options_.watch_wait + options_.cut_off_after;
}

bool configuration_keeper::is_cut_off(time_point now, const membership& members) const
{
    const bool most_live = members.live_count() * 2 > options_.expected_instances;
    const bool is_starting = started_at_ && now - *started_at_ <= options_.cut_off_after;
    return !store_reached(now) && !most_live && !is_starting;
}

bool configuration_keeper::is_ready(time_point now, const membership& members) const
{
    if (!current_ || is_cut_off(now, members))
        return false;
    if (store_answered_at_)
        return true;
    const bool has_waited_for_peers = started_at_ && now - *started_at_ >= options_.peer_grace;
    return has_waited_for_peers && has_ready_peer_ && revision() >= newest_peer_revision_;
}

} // namespace runlink::core
