// Reads the store's documents and writes member entries, findings and rollout records.

#include "runlink/gateway/gateway_daemon.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "runlink/gateway/rollout_log.hpp"

namespace runlink::gateway
{
namespace
{

/// A store that drops its history may have sent no changes for about a second before. Items from a repeated
/// listing count as written this much earlier.
constexpr core::milliseconds relist_event_gap{1200};

std::string_view event_of(routing::endpoint_directory::change it)
{
    using change = routing::endpoint_directory::change;
    switch (it)
    {
    case change::leaving: return "endpoint_leaving";
    case change::restarted: return "endpoint_restarted";
    case change::outdated: return "endpoint_news_outdated";
    default: return "endpoint_listed";
    }
}

} // namespace

control::follower_hooks gateway_daemon::follower_hooks()
{
    control::follower_hooks out;
    out.listed = [this](core::time_point now, const std::vector<control::kv_item>& items)
    { on_listed(now, items); };
    out.known = [this]() -> const control::change_history& { return relay_.history(); };
    out.is_versioned = [this](const std::string& key)
    { return control::is_versioned(binding_.documents.name(key)); };
    out.changed = [this](core::time_point now, const control::kv_event& it) { on_changed(now, it); };
    out.caught_up = [this](core::time_point now, core::store_revision revision)
    { relay_.publish(now, revision); };
    out.proven = [this](core::time_point sent_at)
    {
        note_proof(sent_at);
        relay_.on_own_proof(clock_());
    };
    out.lost = [this](core::time_point, control::kv_error why) { log_state("store_lost", to_string(why)); };
    out.regained = [this](core::time_point now, core::duration away)
    {
        forwarder_.endpoints().store_returned(now);
        log_state("store_regained",
                  std::to_string(std::chrono::floor<core::milliseconds>(away).count()) + " ms");
    };
    out.era_began = [this](core::time_point now, core::store_era previous, core::store_era era)
    { on_era_began(now, previous, era); };
    return out;
}

void gateway_daemon::on_era_began(core::time_point now, core::store_era previous, core::store_era era)
{
    forwarder_.endpoints().store_returned(now);
    duties_.on_era(now, era);
    // Entries that were acknowledged but never seen may be lost without a trace.
    for (const auto& id : registry_.listed_ids())
        if (!relay_.history().has_item(binding_.documents.write_peer({id, {}, {}, 0, 0}).key))
            registry_.unlisted(id);
    log_.write(now,
               observe::log_line{"store_era_began"}
                   .number("previous", static_cast<std::int64_t>(previous.value()))
                   .number("era", static_cast<std::int64_t>(era.value()))
                   .number("known_revision", static_cast<std::int64_t>(follower_.revision().number)),
               observe::log_rank::vital);
}

void gateway_daemon::note_proof(core::time_point sent_at)
{
    configuration_proven_at_ = std::max(configuration_proven_at_.value_or(sent_at), sent_at);
    if (table_is_readable_)
        forwarder_.proven_current(sent_at);
}

// Documents

void gateway_daemon::on_listed(core::time_point now, const std::vector<control::kv_item>& items)
{
    drop_unlisted_peers(items);
    std::vector<routing::endpoint_entry> endpoints;
    std::vector<core::endpoint_name> unreadable;
    std::set<core::failure_domain_id> evacuated;
    std::set<crashes::element_fingerprint> harmful;
    std::set<core::service_id> ordered;
    std::set<core::service_id> recorded;
    bool has_lease = false;
    for (const auto& item : items)
    {
        auto read = binding_.documents.read(item);
        if (read && std::holds_alternative<routing::endpoint_entry>(read.value()))
        {
            endpoints.push_back(std::get<routing::endpoint_entry>(std::move(read).value()));
            continue;
        }
        has_lease = has_lease || (read && std::holds_alternative<duties::lease_record>(read.value()));
        const auto name = binding_.documents.name(item.key);
        if (const auto* endpoint = std::get_if<control::endpoint_key>(&name))
            unreadable.push_back(endpoint->name);
        if (const auto* evacuation = std::get_if<control::evacuation_key>(&name))
            evacuated.insert(evacuation->domain);
        if (const auto* finding = std::get_if<control::harmful_key>(&name))
            harmful.insert(finding->element);
        if (const auto* order = std::get_if<control::order_key>(&name))
            ordered.insert(order->service);
        if (const auto* record = std::get_if<control::record_key>(&name))
            recorded.insert(record->service);
        apply_item(now, item, has_listed_store_ ? now - relist_event_gap : now);
    }
    has_listed_store_ = true;
    forwarder_.on_endpoints(now, endpoints, unreadable);
    for (const auto it : std::set{findings_.all()})
        if (!harmful.contains(it))
            remove_harmful(now, it);
    forwarder_.on_evacuations(now, evacuated);
    forwarder_.rollouts().on_listed(now, ordered, recorded);
    duties_.on_era(now, follower_.era());
    duties_.on_listed(now, has_lease);
    relay_.remember_all(now, items, follower_.revision());
    join_.on_listed(now);
    log_state("listed", std::to_string(endpoints.size()) + " endpoints");
    rearm();
}

void gateway_daemon::on_changed(core::time_point now, const control::kv_event& it)
{
    relay_.remember(it);
    if (it.is_from_copy)
        on_lost_change(now, it);
    else if (it.is_deleted)
        remove_item(now, it.item.key);
    else
        apply_item(now, it.item, now);
    rearm();
}

void gateway_daemon::on_lost_change(core::time_point now, const control::kv_event& it)
{
    const auto name = binding_.documents.name(it.item.key);
    log_state("store_change_lost", it.item.key);
    if (control::is_versioned(name) || it.item.key == binding_.documents.configuration_key)
        return it.is_deleted ? on_record_lost(now, name) : apply_item(now, it.item, now);
    // All else that is known stays in force for now; what this fleet has written is written again.
    if (const auto* peer = std::get_if<control::peer_key>(&name); peer != nullptr && it.is_deleted)
        registry_.unlisted(peer->id);
    if (const auto* harmful = std::get_if<control::harmful_key>(&name); harmful != nullptr && it.is_deleted)
    {
        findings_.unlisted(harmful->element);
        if (relay_.is_direct())
            findings_.found(now, harmful->element);
    }
}

void gateway_daemon::on_record_lost(core::time_point now, const control::document_key& name)
{
    if (const auto* record = std::get_if<control::record_key>(&name))
        forwarder_.rollouts().on_record_lost(now, record->service);
    if (std::holds_alternative<control::usage_key>(name))
        duties_.on_usage_lost(now);
    if (std::holds_alternative<control::scale_orders_key>(name))
        duties_.on_orders_lost();
}

void gateway_daemon::apply_item(core::time_point now, const control::kv_item& item,
                                core::time_point written_at)
{
    const auto read = binding_.documents.read(item);
    if (!read)
    {
        const auto name = binding_.documents.name(item.key);
        if (const auto* endpoint = std::get_if<control::endpoint_key>(&name))
            forwarder_.endpoints().drop(endpoint->name);
        if (item.key == binding_.documents.configuration_key)
            table_is_readable_ = false;
        return log_state("document_refused", item.key + ": " + read.error().detail);
    }
    const auto& document = read.value();
    if (const auto* table = std::get_if<routing::routing_table_ptr>(&document))
        apply_table(now, *table, item.revision);
    else if (const auto* endpoint = std::get_if<routing::endpoint_entry>(&document))
        apply_endpoint(now, *endpoint);
    else if (const auto* order = std::get_if<routing::rollout_order>(&document))
    {
        forwarder_.on_order(now, *order, written_at);
        log_.write(now, rollout_order_line(*order), observe::log_rank::vital);
    }
    else if (const auto* harmful = std::get_if<control::harmful_entry>(&document))
        apply_harmful(now, *harmful);
    else if (const auto* peer = std::get_if<control::peer_entry>(&document))
        apply_peer(now, *peer);
    else if (const auto* evacuation = std::get_if<places::evacuation>(&document))
        forwarder_.on_evacuated(evacuation->domain);
    else if (const auto* record = std::get_if<routing::rollout_record>(&document))
    {
        forwarder_.rollouts().on_record(now, *record);
        log_.write(now, rollout_record_line(*record, forwarder_.rollouts().status(record->service)),
                   observe::log_rank::vital);
    }
    else
        apply_duty_records(now, document);
}

void gateway_daemon::apply_table(core::time_point now, const routing::routing_table_ptr& it,
                                 const core::store_revision& revision)
{
    if (revision <= table_revision_)
        return;
    table_revision_ = revision;
    table_is_readable_ = true;
    if (forwarder_.table() && it->version() < forwarder_.table()->version())
        return log_outdated_table(now, *it);
    forwarder_.apply(it);
    gossip_.set_configuration_version(it->version());
    net::listener_limits limits;
    limits.message.max_header_bytes = it->limits().max_header_bytes;
    limits.message.max_body_bytes = it->limits().max_body_bytes;
    limits.header_timeout = it->limits().header_timeout;
    limits.idle_timeout = it->limits().idle_timeout;
    gateway_.listener().set_limits(limits);
    observe::log_line line{"configuration_applied"};
    line.number("table", static_cast<std::int64_t>(it->version()))
        .number("era", static_cast<std::int64_t>(revision.era.value()))
        .number("revision", static_cast<std::int64_t>(revision.number))
        .number("routes", static_cast<std::int64_t>(it->route_count()))
        .number("accounts", static_cast<std::int64_t>(it->account_count()))
        .number("requests_without_key", static_cast<std::int64_t>(forwarder_.count_without_key()));
    if (const auto age = forwarder_.proof_age(now))
        line.number("proof_age_ms", std::chrono::floor<core::milliseconds>(*age).count());
    log_.write(now, line, observe::log_rank::notable);
}

void gateway_daemon::log_outdated_table(core::time_point now, const routing::routing_table& it)
{
    log_.write(now,
               observe::log_line{"configuration_outdated"}
                   .number("table", static_cast<std::int64_t>(it.version()))
                   .number("kept", static_cast<std::int64_t>(forwarder_.table()->version()))
                   .number("era", static_cast<std::int64_t>(table_revision_.era.value()))
                   .number("revision", static_cast<std::int64_t>(table_revision_.number)),
               observe::log_rank::vital);
}

void gateway_daemon::apply_endpoint(core::time_point now, const routing::endpoint_entry& it)
{
    const auto change = forwarder_.on_endpoint(now, it);
    if (change == routing::endpoint_directory::change::none)
        return;
    observe::log_line line{event_of(change)};
    line.text("endpoint", it.id.str()).text("service", it.service.str()).text("version", it.version.str());
    log_.write(now, line, observe::log_rank::notable);
}

void gateway_daemon::remove_item(core::time_point now, const std::string& key)
{
    const auto name = binding_.documents.name(key);
    if (const auto* endpoint = std::get_if<control::endpoint_key>(&name))
    {
        forwarder_.endpoints().remove(now, endpoint->name);
        log_state("endpoint_gone", endpoint->name.str());
    }
    if (const auto* peer = std::get_if<control::peer_key>(&name))
    {
        drop_peer(peer->id);
    }
    if (const auto* harmful = std::get_if<control::harmful_key>(&name))
        remove_harmful(now, harmful->element);
    if (const auto* evacuation = std::get_if<control::evacuation_key>(&name))
        forwarder_.on_readmitted(now, evacuation->domain);
    if (const auto* order = std::get_if<control::order_key>(&name))
    {
        forwarder_.rollouts().on_order_removed(order->service);
        log_.write(now, observe::log_line{"rollout_order_removed"}.text("service", order->service.str()),
                   observe::log_rank::vital);
    }
    if (const auto* record = std::get_if<control::record_key>(&name))
        remove_record(now, record->service);
}

void gateway_daemon::apply_harmful(core::time_point now, const control::harmful_entry& it)
{
    findings_.listed(it.element);
    forwarder_.attribution().on_recorded(now, it.element, it.companions);
}

void gateway_daemon::remove_harmful(core::time_point now, crashes::element_fingerprint it)
{
    findings_.unlisted(it);
    forwarder_.attribution().on_unrecorded(now, it);
}

void gateway_daemon::write_findings(const control::finding_batch& it,
                                    control::finding_registry::done_handler done)
{
    control::kv_transaction write;
    for (const auto e : it.put)
        write.writes.push_back(
            binding_.documents.write_harmful({e, forwarder_.attribution().companions_of(e)}));
    for (const auto e : it.removed)
        write.removals.push_back(binding_.documents.write_harmful({e}).key);
    log_state("findings_written",
              std::to_string(it.put.size()) + " listed, " + std::to_string(it.removed.size()) + " removed");
    store_port_.commit(write,
                       [this, done = std::move(done)](const control::kv_commit_result& result)
                       {
                           const auto at = clock_();
                           if (const auto* why = std::get_if<control::kv_error>(&result))
                               follower_.on_call_failed(at, *why);
                           else
                               follower_.on_call_succeeded(at);
                           done(std::holds_alternative<control::kv_committed>(result));
                           rearm();
                       });
}

void gateway_daemon::remove_record(core::time_point now, const core::service_id& service)
{
    forwarder_.rollouts().on_record_removed(now, service);
    log_.write(now, observe::log_line{"rollout_record_removed"}.text("service", service.str()),
               observe::log_rank::vital);
}

void gateway_daemon::apply_conflict(core::time_point now, const core::service_id& service,
                                    const control::kv_conflict& it)
{
    if (it.items.empty() || it.items.front().revision.is_none())
        return remove_record(now, service);
    for (const auto& e : it.items)
        apply_item(now, e, now);
}

void gateway_daemon::write_record(const routing::rollout_record& it)
{
    if (!it.revision.is_none() && it.revision.era != follower_.era())
        return forwarder_.rollouts().on_write_failed(clock_(), it.service); // the list of this era is due
    auto item = binding_.documents.write_record(it);
    control::kv_transaction write;
    write.conditions.push_back({item.key, it.revision.number});
    write.writes.push_back(std::move(item));
    log_.write(clock_(), rollout_write_line(it, forwarder_.rollouts().status(it.service)),
               observe::log_rank::vital);
    store_port_.commit(write,
                       [this, it](const control::kv_commit_result& result)
                       {
                           const auto at = clock_();
                           log_.write(at, rollout_written_line(it, result), observe::log_rank::vital);
                           if (const auto* why = std::get_if<control::kv_error>(&result))
                               follower_.on_call_failed(at, *why);
                           if (const auto* done = std::get_if<control::kv_committed>(&result))
                           {
                               auto record = it;
                               record.revision = done->revision;
                               forwarder_.rollouts().on_record(at, record);
                           }
                           else
                               forwarder_.rollouts().on_write_failed(at, it.service);
                           // The change event for the conflicting record may be late, or lost with the
                           // store's history.
                           if (const auto* conflict = std::get_if<control::kv_conflict>(&result))
                               apply_conflict(at, it.service, *conflict);
                           rearm();
                       });
}

} // namespace runlink::gateway
