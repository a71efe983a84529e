#include "runlink/gateway/gateway_daemon.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <unistd.h>

#include "runlink/core/hash.hpp"

namespace runlink::gateway
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr core::milliseconds housekeeping_interval{1000};
/// A proof is trusted for this much less than keys may be: for delay on the way and timers that fire late.
constexpr core::milliseconds key_margin{400};
constexpr core::milliseconds denial_margin{100};
/// Part of the deployment's retry ratio that is used: what calls in flight add comes on top.
constexpr double retry_part = 0.88;
/// Part of the accepted exposure that the first half of a roll-out uses; the rest is for the steps after it.
constexpr double first_exposure_part = 0.55;
/// After this long the balancer has taken an instance out that is not ready: two questions, a second apart.
constexpr core::milliseconds balancer_wait{2700};
/// Followers read a new configuration within this of its news, well inside the time in which it must be in
/// force.
constexpr std::uint64_t fetch_spread_ms = 300;
/// The process ends this long before it would be killed.
constexpr core::milliseconds stop_reserve{300};

core::time_point steady_now()
{
    return std::chrono::time_point_cast<core::duration>(std::chrono::steady_clock::now());
}

std::int64_t wall_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::milliseconds>(since).count();
}

} // namespace

gateway_daemon::gateway_daemon(gateway_settings settings, deployment_binding binding)
    : settings_{std::move(settings)}, binding_{std::move(binding)}, clock_{steady_now},
      log_{STDOUT_FILENO, {settings_.log_lines_per_second}, settings_.id.str(), wall_ms},
      edge_{{}, binding_.headers, log_, metrics_, clock_}, forwarder_{forwarder_options(),
                                                                      settings_.failure_domain,
                                                                      core::stable_hash(settings_.id.str()),
                                                                      edge_.hooks()},
      store_{{}, settings_.store, binding_.store}, store_port_{store_.port()},
      follower_{{binding_.documents.configuration_key}, store_port_, follower_hooks()},
      gossip_{settings_.id, [this](const proto::datagram& it) { on_datagram(it); }},
      relay_{control::relay_options::within(settings_.configuration_apply), settings_.id,
             settings_.failure_domain, relay_hooks()},
      readiness_{[this](const auto& from, const auto&, const std::string&) { on_readiness(from); },
                 [](const auto& from, net::codec_error) { from->reset(); }},
      metrics_listener_{[this](const auto& from, const auto&, const std::string&) { on_metrics(from); },
                        [](const auto& from, net::codec_error) { from->reset(); }}
{
    edge_.attach(forwarder_);
    edge_.on_activity = [this] { rearm(); };
    edge_.on_session_ran = [this](const routing::session_run& it) { gossip_.tell(it); };
    gossip_.evidence = [this] { return forwarder_.rollouts().evidence(); };
    follower_.clock = clock_;
    forwarder_.rollouts().on_verdict = [this](const core::service_id& service, const std::string& why)
    { log_state("version_found_bad", service.str() + ": " + why); };
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { on_timer(); });
}

gateway_daemon::~gateway_daemon() = default;

routing::forwarder_options gateway_daemon::forwarder_options() const
{
    routing::forwarder_options out;
    out.max_key_age = settings_.key_revocation - key_margin;
    out.max_denial_age = settings_.configuration_apply - denial_margin;
    out.session_ttl = settings_.session_ttl;
    out.retries.window = std::chrono::duration_cast<core::seconds>(settings_.retry_window);
    out.retries.ratio = settings_.retry_ratio * retry_part;
    const auto& tuning = settings_.tuning;
    out.cascade.start_small = tuning.start_small;
    out.cascade.accept_confidence = tuning.accept_confidence;
    out.cascade.latest_escalation = tuning.latest_escalation;
    out.chooser.affinity_tokens = tuning.affinity_tokens;
    out.hedge_after = tuning.hedge_after;
    out.move_after = tuning.move_after;
    out.stall_after = tuning.stall_after;
    constexpr double percent = 100;
    out.rollouts.first_share_percent =
        static_cast<std::uint32_t>(settings_.exposure_share * first_exposure_part * percent);
    return out;
}

control::follower_hooks gateway_daemon::follower_hooks()
{
    control::follower_hooks out;
    out.listed = [this](core::time_point now, const std::vector<control::kv_item>& items)
    { on_listed(now, items); };
    out.changed = [this](core::time_point now, const control::kv_event& it) { on_changed(now, it); };
    out.caught_up = [this](core::time_point now, std::uint64_t revision) { relay_.publish(now, revision); };
    out.proven = [this](core::time_point sent_at)
    {
        if (table_is_readable_)
            forwarder_.proven_current(sent_at);
    };
    out.lost = [this](core::time_point, control::kv_error why) { log_state("store_lost", to_string(why)); };
    out.regained = [this](core::time_point now, core::duration away)
    {
        forwarder_.endpoints().store_returned(now);
        log_state("store_regained",
                  std::to_string(std::chrono::floor<core::milliseconds>(away).count()) + " ms");
    };
    return out;
}

core::result<void> gateway_daemon::start()
{
    const auto now = clock_();
    BOOST_OUTCOME_TRY(callers, edge_.listen(settings_.callers.host, settings_.callers.port));
    callers_port_ = callers;
    BOOST_OUTCOME_TRY(readiness, readiness_.listen(settings_.readiness.host, settings_.readiness.port));
    readiness_port_ = readiness;
    if (settings_.metrics_port != 0)
    {
        BOOST_OUTCOME_TRYV(metrics_listener_.listen(settings_.callers.host, settings_.metrics_port));
    }
    BOOST_OUTCOME_TRY(peers, gossip_.bind(settings_.peers.host, settings_.peers.port));
    log_state("started", settings_.failure_domain.str());
    next_housekeeping_ = now + housekeeping_interval;
    follower_.set_direct(now, false); // the relays are chosen first
    follower_.start(now);
    relay_.start(now);
    start_presence(now, peers);
    rearm();
    return boost::outcome_v2::success();
}

void gateway_daemon::start_presence(core::time_point now, std::uint16_t port)
{
    const auto entry =
        binding_.documents.write_peer({settings_.id, settings_.failure_domain, settings_.peers.host, port});
    presence_.emplace(control::presence_options{}, store_port_, entry);
    presence_->clock = clock_;
    presence_->on_failure = [this](core::time_point at, control::kv_error why)
    { follower_.on_call_failed(at, why); };
    presence_->start(now);
}

void gateway_daemon::on_datagram(const proto::datagram& it)
{
    const auto now = clock_();
    if (const auto* gossip = std::get_if<routing::gossip_message>(&it))
        on_gossip(now, *gossip);
    else if (const auto* request = std::get_if<control::sync_request>(&it))
        relay_.on_request(now, *request);
    else if (const auto* reply = std::get_if<control::sync_reply>(&it))
        relay_.on_reply(now, *reply);
    rearm();
}

control::relay_hooks gateway_daemon::relay_hooks()
{
    control::relay_hooks out;
    out.ask = [this](const core::instance_id& to, const control::sync_request& it)
    { gossip_.send_to(to, it); };
    out.reply = [this](const core::instance_id& to, const control::sync_reply& it)
    { gossip_.send_to(to, it); };
    out.view = [this](core::time_point now)
    {
        control::store_view view{follower_.revision(), follower_.configuration_revision(), std::nullopt};
        if (follower_.is_connected())
            view.proof_age = forwarder_.proof_age(now);
        return view;
    };
    out.set_direct = [this](core::time_point now, bool direct)
    {
        log_state("store_followed", direct ? "directly" : "by a relay");
        follower_.set_direct(now, direct);
    };
    out.apply = [this](core::time_point now, const std::vector<control::kv_event>& events,
                       std::uint64_t revision) { follower_.apply(now, events, revision); };
    out.fetch = [this](core::time_point now, const std::vector<std::string>& keys)
    {
        const bool is_configuration =
            std::all_of(keys.begin(), keys.end(),
                        [this](const auto& it) { return it == binding_.documents.configuration_key; });
        if (is_configuration)
            // Not all followers at the same moment: the store bounds its calls a second.
            follower_.prove_soon(now, core::milliseconds{static_cast<core::milliseconds::rep>(
                                          core::stable_hash(settings_.id.str()) % fetch_spread_ms)});
        else
            follower_.list_again(now);
    };
    out.list_again = [this](core::time_point now) { follower_.list_again(now); };
    out.proven = [this](core::time_point sent_at)
    {
        if (table_is_readable_)
            forwarder_.proven_current(sent_at);
    };
    return out;
}

void gateway_daemon::on_gossip(core::time_point now, const routing::gossip_message& it)
{
    for (const auto& e : it.runs)
        forwarder_.on_peer_run(now, e);
    forwarder_.rollouts().on_peer_evidence(it.sender, it.evidence);
}

bool gateway_daemon::is_ready() const
{
    if (stop_began_ || !forwarder_.table() || forwarder_.endpoints().size() == 0)
        return false;
    const auto age = forwarder_.proof_age(clock_());
    return age && *age < settings_.key_revocation - key_margin;
}

// The store's documents

void gateway_daemon::on_listed(core::time_point now, const std::vector<control::kv_item>& items)
{
    std::vector<routing::endpoint_entry> endpoints;
    for (const auto& it : items)
    {
        auto read = binding_.documents.read(it);
        if (read && std::holds_alternative<routing::endpoint_entry>(read.value()))
            endpoints.push_back(std::get<routing::endpoint_entry>(std::move(read).value()));
        else
            take(now, it);
    }
    forwarder_.endpoints().replace(now, endpoints);
    relay_.forget_before(follower_.revision());
    log_state("listed", std::to_string(endpoints.size()) + " endpoints");
    rearm();
}

void gateway_daemon::on_changed(core::time_point now, const control::kv_event& it)
{
    relay_.remember(it);
    if (it.is_deleted)
        forget(now, it.item.key);
    else
        take(now, it.item);
    rearm();
}

void gateway_daemon::take(core::time_point now, const control::kv_item& item)
{
    const auto read = binding_.documents.read(item);
    if (!read)
    {
        if (item.key == binding_.documents.configuration_key)
            table_is_readable_ = false;
        return log_state("document_refused", item.key + ": " + read.error().detail);
    }
    const auto& it = read.value();
    if (const auto* table = std::get_if<routing::routing_table_ptr>(&it))
        take_table(now, *table, item.revision);
    else if (const auto* endpoint = std::get_if<routing::endpoint_entry>(&it))
        take_endpoint(now, *endpoint);
    else if (const auto* order = std::get_if<routing::rollout_order>(&it))
    {
        forwarder_.rollouts().on_order(now, *order);
        log_state("rollout_ordered", order->service.str() + " to " + order->target.str());
    }
    else if (const auto* peer = std::get_if<control::peer_entry>(&it))
    {
        gossip_.put_peer(peer->id, peer->host, peer->port);
        relay_.put_peer(peer->id, peer->failure_domain);
    }
    else if (const auto* record = std::get_if<routing::rollout_record>(&it))
    {
        forwarder_.rollouts().on_record(now, *record);
        log_state("rollout_record", record->service.str() + " " + std::string{to_string(record->state)} +
                                        " " + std::to_string(record->share_percent) + " %");
    }
}

void gateway_daemon::take_table(core::time_point now, const routing::routing_table_ptr& it,
                                std::uint64_t revision)
{
    if (revision <= table_revision_)
        return;
    table_revision_ = revision;
    table_is_readable_ = true;
    forwarder_.apply(it);
    net::listener_limits limits;
    limits.message.max_header_bytes = it->limits().max_header_bytes;
    limits.message.max_body_bytes = it->limits().max_body_bytes;
    limits.header_timeout = it->limits().header_timeout;
    limits.idle_timeout = it->limits().idle_timeout;
    edge_.listener().set_limits(limits);
    observe::log_line line{"configuration_applied"};
    line.number("table", static_cast<std::int64_t>(it->version()))
        .number("revision", static_cast<std::int64_t>(revision))
        .number("routes", static_cast<std::int64_t>(it->route_count()))
        .number("accounts", static_cast<std::int64_t>(it->account_count()));
    log_.write(now, line, observe::log_rank::notable);
}

void gateway_daemon::take_endpoint(core::time_point now, const routing::endpoint_entry& it)
{
    const auto change = forwarder_.endpoints().put(it);
    if (change == routing::endpoint_directory::change::none)
        return;
    observe::log_line line{change == routing::endpoint_directory::change::leaving ? "endpoint_leaving"
                                                                                  : "endpoint_listed"};
    line.text("endpoint", it.id.str()).text("service", it.service.str()).text("version", it.version.str());
    log_.write(now, line, observe::log_rank::notable);
}

void gateway_daemon::forget(core::time_point now, const std::string& key)
{
    const auto name = binding_.documents.name(key);
    if (const auto* endpoint = std::get_if<control::endpoint_key>(&name))
    {
        forwarder_.endpoints().remove(now, endpoint->id);
        log_state("endpoint_gone", endpoint->id.str());
    }
    if (const auto* peer = std::get_if<control::peer_key>(&name))
    {
        gossip_.remove_peer(peer->id);
        relay_.remove_peer(peer->id);
    }
    if (const auto* order = std::get_if<control::order_key>(&name))
        forwarder_.rollouts().on_order_removed(order->service);
}

void gateway_daemon::write_record(core::time_point now, const routing::rollout_record& it)
{
    auto item = binding_.documents.write_record(it);
    control::kv_transaction write;
    write.conditions.push_back({item.key, it.revision});
    write.writes.push_back(std::move(item));
    log_state("rollout_write", it.service.str() + " " + std::string{to_string(it.state)} + " " +
                                   std::to_string(it.share_percent) + " %");
    (void)now;
    store_port_.commit(write,
                       [this, it](const control::kv_commit_result& result)
                       {
                           const auto at = clock_();
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
                           rearm();
                       });
}

// Readiness and metrics

void gateway_daemon::on_readiness(const std::shared_ptr<net::caller_connection>& from)
{
    const bool ready = is_ready();
    if (ready != was_ready_)
        log_state(ready ? "ready" : "not_ready", stop_began_ ? "stopping" : "");
    was_ready_ = ready;
    from->write(net::write_response(ready ? status_ok : status_unavailable, {}, {}));
    from->finish(false);
}

void gateway_daemon::on_metrics(const std::shared_ptr<net::caller_connection>& from)
{
    net::http_fields fields;
    fields.add("Content-Type", "text/plain; version=0.0.4");
    from->write(net::write_response(status_ok, fields, metrics_text()));
    from->finish(false);
}

std::string gateway_daemon::metrics_text() const
{
    const auto& n = forwarder_.counters();
    const auto counter = [](std::string name, std::string help, std::uint64_t value) {
        return observe::plain_metric{std::move(name), std::move(help), true, static_cast<double>(value)};
    };
    const auto gauge = [](std::string name, std::string help, double value) {
        return observe::plain_metric{std::move(name), std::move(help), false, value};
    };
    const auto age = forwarder_.proof_age(clock_());
    constexpr double us_per_s = 1e6;
    return metrics_.text({
        counter("runlink_forwarded_requests_total", "Requests that arrived", n.requests),
        counter("runlink_forwarded_answered_total", "Requests with a whole answer", n.answered),
        counter("runlink_forwarded_refused_total", "Requests refused as not run", n.refused),
        counter("runlink_forwarded_failed_total", "Requests ended without an answer that may have run",
                n.failed),
        counter("runlink_forwarded_broken_total", "Streams that were cut", n.broken),
        counter("runlink_callers_left_total", "Callers that went away while waiting", n.callers_left),
        counter("runlink_attempts_total", "Sends to endpoints", n.attempts),
        counter("runlink_attempts_repeated_total", "Sends after the first of a request", n.repeats),
        counter("runlink_attempts_hedged_total", "Second sends beside a first", n.hedges),
        counter("runlink_streams_resumed_total", "Streams that went on elsewhere", n.resumed),
        counter("runlink_escalated_total", "Answers of a smaller model that were not kept", n.escalated),
        counter("runlink_endpoint_refusals_total", "Sends that endpoints refused", n.endpoint_refusals),
        counter("runlink_attempts_lost_total", "Sends without a whole answer", n.attempts_lost),
        counter("runlink_store_lists_total", "Lists read from the store", follower_.counters().lists),
        counter("runlink_store_watches_total", "Watches of the store", follower_.counters().watches),
        counter("runlink_store_proofs_total", "Checks of the configuration's revision",
                follower_.counters().proofs),
        counter("runlink_store_failures_total", "Calls of the store that failed",
                follower_.counters().failures),
        counter("runlink_connections_opened_total", "Connections opened to endpoints",
                edge_.pool().totals().opened),
        counter("runlink_connections_reused_total", "Connections to endpoints used again",
                edge_.pool().totals().reused),
        counter("runlink_log_lines_left_out_total", "Log lines without room", log_.left_out()),
        gauge("runlink_active_requests", "Requests under way",
              static_cast<double>(forwarder_.active_count())),
        gauge("runlink_configuration_proof_age_seconds",
              "Age of the proof that the configuration is the newest",
              age ? static_cast<double>(age->count()) / us_per_s : -1),
        gauge("runlink_endpoints", "Endpoints that the store lists",
              static_cast<double>(forwarder_.endpoints().size())),
    });
}

// Time

void gateway_daemon::rearm()
{
    auto due = next_housekeeping_;
    if (stop_began_)
        due = std::min(due, *stop_began_ + settings_.stop_grace - stop_reserve);
    const auto presence_due = presence_ ? presence_->next_due() : std::nullopt;
    for (const auto& it : {forwarder_.next_due(), follower_.next_due(), forwarder_.rollouts().next_due(),
                           presence_due, relay_.next_due()})
        if (it)
            due = std::min(due, *it);
    // An earlier timer fires without harm; a change that is not earlier needs no new one.
    if (armed_ && *armed_ <= due)
        return;
    armed_ = due;
    const auto wait = std::chrono::ceil<core::milliseconds>(due - clock_());
    timer_.start(std::max(wait, core::milliseconds{0}));
}

void gateway_daemon::on_timer()
{
    armed_.reset();
    const auto now = clock_();
    forwarder_.tick(now);
    follower_.tick(now);
    relay_.tick(now);
    if (presence_)
        presence_->tick(now);
    for (const auto& it : forwarder_.rollouts().due(now))
        write_record(now, it);
    if (now >= next_housekeeping_)
        keep_house(now);
    check_stop(now);
    if (stopped_)
        return;
    rearm();
}

void gateway_daemon::keep_house(core::time_point now)
{
    next_housekeeping_ = now + housekeeping_interval;
    edge_.listener().check_timeouts();
    readiness_.check_timeouts();
    metrics_listener_.check_timeouts();
    forwarder_.keep_house(now);
    // Followers take only young proofs from relays.
    const auto options = control::relay_options::within(settings_.configuration_apply);
    follower_.set_proof_interval(relay_.is_used() ? options.proof_interval()
                                                  : control::follower_options{}.proof_interval);
    log_.flush();
}

// Stop and reload

void gateway_daemon::begin_stop()
{
    if (stop_began_)
        return;
    stop_began_ = clock_();
    edge_.begin_stop();
    forwarder_.begin_stop(*stop_began_ + balancer_wait, *stop_began_ + settings_.stop_grace - stop_reserve);
    log_state("stop_began", "");
    log_.flush();
    rearm();
}

void gateway_daemon::check_stop(core::time_point now)
{
    if (!stop_began_ || stopped_)
        return;
    const auto since = now - *stop_began_;
    const bool must_end = since >= settings_.stop_grace - stop_reserve;
    if (since >= balancer_wait)
        edge_.listener().close_idle();
    const bool is_done =
        since >= balancer_wait && forwarder_.active_count() == 0 && edge_.listener().connection_count() == 0;
    if (!must_end && !is_done)
        return;
    stopped_ = true;
    log_state("stopped", std::to_string(forwarder_.active_count()) + " requests under way");
    log_.flush();
    on_stopped();
}

void gateway_daemon::reload(const core::result<gateway_settings>& it)
{
    if (!it)
        return log_state("settings_refused", it.error().detail);
    if (it.value() == settings_)
        return log_state("settings_reloaded", "unchanged");
    // Addresses and bounds hold for the life of a process; a restart takes them.
    log_state("settings_reloaded", "changes take effect at the next start");
}

void gateway_daemon::log_state(std::string_view event, std::string_view reason)
{
    observe::log_line line{event};
    if (!reason.empty())
        line.text("reason", reason);
    log_.write(clock_(), line, observe::log_rank::notable);
}

} // namespace runlink::gateway
