// Messages between instances: joins, member entries, store changes, proofs of the configuration, and loads.

#include <algorithm>
#include <set>
#include <utility>

#include "runlink/core/hash.hpp"
#include "runlink/gateway/gateway_daemon.hpp"

namespace runlink::gateway
{
std::vector<core::instance_id> gateway_daemon::seeds() const
{
    std::vector<core::instance_id> out;
    for (const auto& it : settings_.seeds)
    {
        if (it == settings_.peers.host)
            return {}; // a seed waits for other instances to contact it
        out.emplace_back(it);
    }
    return out;
}

control::peer_entry gateway_daemon::own_entry() const
{
    return {settings_.id, settings_.failure_domain, settings_.peers.host, peers_port_, settings_.link_mbps};
}

void gateway_daemon::send_sync_request(const core::instance_id& to, control::sync_request it)
{
    it.sender = own_entry();
    it.configuration_version = version_in_force();
    gossip_.send_to({to}, it);
}

std::uint64_t gateway_daemon::version_in_force() const
{
    return forwarder_.table() ? forwarder_.table()->version() : 0;
}

void gateway_daemon::note_version(core::time_point now, std::uint64_t version)
{
    if (!forwarder_.on_version_known(now, version))
        return;
    log_.write(now,
               observe::log_line{"configuration_known"}
                   .number("table", static_cast<std::int64_t>(version))
                   .number("in_force", static_cast<std::int64_t>(version_in_force())),
               observe::log_rank::notable);
}

control::join_hooks gateway_daemon::join_hooks()
{
    control::join_hooks out;
    out.ask = [this](const core::instance_id& to, const control::sync_request& it)
    { send_sync_request(to, it); };
    out.list = [this] { follower_.start(); };
    out.take_view = [this](core::time_point, const control::joined_view& it)
    {
        std::vector<control::kv_item> items;
        for (const auto& e : it.events)
            if (!e.is_deleted)
                items.push_back(e.item);
        follower_.start_with(std::move(items), it.revision);
        relay_.remember_view(it.events, it.complete_since);
    };
    out.may_omit = [this](const std::string& key) { return key == binding_.documents.configuration_key; };
    out.fetch = [this](core::time_point now, const std::vector<control::omitted_value>& all,
                       const core::instance_id& from) { fetch_values(now, all, {from}); };
    out.set_initial_source = [this](core::time_point now, const core::instance_id& by)
    { relay_.set_initial_source(now, by); };
    out.settle = [this](core::time_point now)
    {
        log_state("settled", std::to_string(gossip_.peer_count()) + " other instances");
        relay_.start(now);
        forwarder_.bounds().settle(now);
    };
    return out;
}

void gateway_daemon::on_sync_request(core::time_point now, const control::sync_request& it)
{
    gossip_.put_address(it.sender.id, it.sender.host, it.sender.port);
    note_version(now, it.configuration_version);
    if (relay_.is_direct())
        registry_.announce(now, it.sender);
    relay_.on_request(now, it);
    if (it.is_joining)
        send_endpoint_statements(now, it.sender.id);
}

void gateway_daemon::send_endpoint_statements(core::time_point now, const core::instance_id& to)
{
    if (const auto limits = forwarder_.bounds().limits().all(now); !limits.empty())
        gossip_.send_to({to}, places::limit_reports{settings_.id, limits});
    if (const auto leaving = forwarder_.leaving_endpoints(now); !leaving.notices.empty())
        gossip_.send_to({to}, leaving);
}

void gateway_daemon::apply_peer(core::time_point now, const control::peer_entry& it)
{
    registry_.listed(it);
    if (it.id == settings_.id)
    {
        if (it == own_entry())
        {
            join_.on_own_entry(now);
            forwarder_.own_retry_share().on_listed(now);
        }
        return;
    }
    gossip_.put_peer(it);
    forwarder_.bounds().put_instance(now, it.id, it.failure_domain);
    forwarder_.paths().put_instance(it.id, it.failure_domain);
    relay_.put_peer(it.id, it.failure_domain, it.link_mbps);
}

void gateway_daemon::drop_peer(const core::instance_id& id)
{
    registry_.unlisted(id);
    if (id == settings_.id)
        forwarder_.own_retry_share().on_unlisted();
    gossip_.remove_peer(id);
    forwarder_.bounds().remove_instance(clock_(), id);
    forwarder_.paths().remove_instance(clock_(), id);
    carriers_.erase(id);
    relay_.remove_peer(id);
}

void gateway_daemon::drop_unlisted_peers(const std::vector<control::kv_item>& items)
{
    std::set<core::instance_id> listed;
    for (const auto& it : items)
        if (const auto name = binding_.documents.name(it.key);
            std::holds_alternative<control::peer_key>(name))
            listed.insert(std::get<control::peer_key>(name).id);
    for (const auto& id : registry_.listed_ids())
        if (!listed.contains(id))
            drop_peer(id);
}

void gateway_daemon::write_members(const control::registry_batch& it,
                                   control::member_registry::done_handler done)
{
    control::kv_transaction write;
    for (const auto& e : it.put)
        write.writes.push_back(binding_.documents.write_peer(e));
    for (const auto& id : it.removed)
        write.removals.push_back(binding_.documents.write_peer({id, {}, {}, 0, 0}).key);
    log_state("members_written",
              std::to_string(it.put.size()) + " listed, " + std::to_string(it.removed.size()) + " removed");
    store_port_.commit(write,
                       [this, done = std::move(done)](const control::kv_commit_result& result)
                       {
                           const auto at = clock_();
                           if (const auto* why = std::get_if<control::kv_error>(&result))
                               follower_.on_call_failed(at, *why);
                           else
                               follower_.on_call_succeeded(at);
                           const bool is_done = std::holds_alternative<control::kv_committed>(result);
                           done(is_done ? control::registry_outcome::done
                                        : control::registry_outcome::failed);
                           rearm();
                       });
}

void gateway_daemon::on_datagram(const proto::datagram& it)
{
    const auto now = clock_();
    if (const auto* gossip = std::get_if<routing::gossip_message>(&it))
        on_gossip(now, *gossip);
    else if (const auto* request = std::get_if<control::sync_request>(&it))
        on_sync_request(now, *request);
    else if (const auto* load = std::get_if<load::load_digest>(&it))
        on_load_digest(now, *load);
    else if (const auto* crashes = std::get_if<crashes::crash_message>(&it))
        forwarder_.on_crash_news(now, *crashes);
    else if (const auto* usage = std::get_if<duties::usage_report>(&it))
        duties_.on_report(*usage);
    else if (const auto* leaving = std::get_if<routing::leaving_notices>(&it))
        forwarder_.on_leaving_told(now, *leaving);
    else if (const auto* query = std::get_if<paths::reach_query>(&it))
        on_reach_query(*query);
    else if (const auto* reached = std::get_if<paths::reach_reply>(&it))
        on_reach_reply(now, *reached);
    else if (const auto* limits = std::get_if<places::limit_reports>(&it))
        forwarder_.on_limits_told(now, *limits);
    else if (const auto* asked = std::get_if<control::part_request>(&it))
        parts_.on_request(now, *asked);
    else if (const auto* part = std::get_if<control::value_part>(&it))
        download_.on_part(now, *part);
    else if (const auto* reply = std::get_if<control::sync_reply>(&it))
    {
        note_version(now, reply->configuration_version);
        if (join_.is_asking())
            join_.on_reply(now, *reply);
        else
            relay_.on_reply(now, *reply);
    }
    rearm();
}

control::relay_hooks gateway_daemon::relay_hooks()
{
    control::relay_hooks out;
    out.ask = [this](const core::instance_id& to, const control::sync_request& it)
    { send_sync_request(to, it); };
    out.reply = [this](const std::vector<core::instance_id>& to, const control::sync_reply& it)
    { gossip_.send_to(to, it); };
    out.view = [this](core::time_point now)
    {
        control::store_view it;
        it.store_revision = follower_.revision();
        it.configuration_version = version_in_force();
        it.is_recovering = follower_.is_connected() && follower_.is_recovering(now);
        if (configuration_proven_at_)
            it.proof_age = now - *configuration_proven_at_;
        return it;
    };
    out.set_direct = [this](core::time_point now, bool direct)
    {
        log_state("store_followed", direct ? "directly" : "by a relay");
        follower_.set_direct(now, direct);
        forwarder_.rollouts().set_follows_store(direct);
    };
    out.apply = [this](core::time_point now, const std::vector<control::kv_event>& events,
                       const core::store_revision& revision) { follower_.apply(now, events, revision); };
    out.fetch = [this](core::time_point now)
    {
        if (!download_.is_active())
            read_configuration_soon(now);
    };
    out.fetch_from = [this](core::time_point now, const std::vector<control::omitted_value>& all,
                            const std::vector<core::instance_id>& from) { fetch_values(now, all, from); };
    out.list_again = [this] { follower_.list_again(); };
    out.probe = [this](core::time_point now) { follower_.prove_soon(now, core::milliseconds{0}); };
    out.proven = [this](core::time_point sent_at)
    {
        note_proof(sent_at);
        follower_.on_proven(clock_(), sent_at);
    };
    out.forget = [this](core::time_point now, const core::instance_id& id)
    {
        log_state("instance_silent", id.str());
        registry_.withdraw(now, id);
    };
    return out;
}

void gateway_daemon::exchange_loads(core::time_point now)
{
    next_digest_.reset();
    if (!relay_.is_relay() || gossip_.sends_prompts_to_all_domains())
        return;
    next_digest_ = now + remote_loads_.options().interval;
    const auto others = relay_.other_relays();
    auto own = forwarder_.local_loads(now, remote_loads_.options().least_load);
    remote_loads_.limit_streams(own, others.size());
    gossip_.send_to(others, own);
    const auto far = remote_loads_.merged(now);
    auto passed_on = far;
    remote_loads_.limit_streams_by_turn(passed_on, gossip_.count_in_domain());
    gossip_.broadcast_in_domain(passed_on);
    forwarder_.on_remote_loads(now, far);
}

void gateway_daemon::on_load_digest(core::time_point now, const load::load_digest& it)
{
    if (!it.domain.empty())
        remote_loads_.on_digest(now, it); // from another relay
    else if (!gossip_.sends_prompts_to_all_domains())
        forwarder_.on_remote_loads(now, it);
}

void gateway_daemon::on_gossip(core::time_point now, const routing::gossip_message& it)
{
    note_version(now, it.configuration_version);
    for (const auto& e : it.runs)
        forwarder_.on_peer_run(now, e);
    for (const auto& e : it.prompts)
        forwarder_.on_peer_prompt(now, e);
    for (const auto& e : it.answers)
        forwarder_.on_peer_answer(now, e);
    for (const auto& e : it.ended)
        forwarder_.on_peer_stream_ended(now, e);
    if (!it.counts.empty())
        forwarder_.on_peer_counts(now, it.sender, it.counts);
    if (!it.sender.str().empty()) // messages that hold only prompts have no sender
        forwarder_.rollouts().on_peer_evidence(now, it.sender, it.evidence);
}

} // namespace runlink::gateway
