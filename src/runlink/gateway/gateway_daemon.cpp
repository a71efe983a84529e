#include "runlink/gateway/gateway_daemon.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

#include "runlink/core/hash.hpp"
#include "runlink/gateway/rollout_log.hpp"

namespace runlink::gateway
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr core::milliseconds housekeeping_interval{1000};
/// Interval between log lines with the counts of calls to the store.
constexpr core::milliseconds store_call_log_interval{10'000};
/// Subtracted from the allowed key age to allow for network delay and timers that fire late.
constexpr core::milliseconds key_margin{400};
constexpr core::milliseconds denial_margin{100};
/// Part of the time within which a configuration must be in force during which an older one is still used
/// once the newer one is known. The rest is the time in which it becomes known.
constexpr int outdated_percent = 70;
/// An endpoint that shuts down is sent no requests for this long before it may end, because connections take
/// time to establish.
constexpr core::milliseconds drain_margin{600};
/// Fraction of the accepted exposure that the first step of a rollout uses. The remainder bounds the time for
/// which the new version may receive all requests before it is declared good.
constexpr double first_exposure_fraction = 0.55;
/// Time within which the load balancer removes an instance that is not ready: two probes, one second apart.
constexpr core::milliseconds balancer_removal_time{2700};
/// The process exits this long before it would be killed.
constexpr core::milliseconds stop_reserve{300};

/// Descriptors that this process may open; 0: unknown.
std::size_t descriptor_limit(const gateway_settings& settings)
{
    if (settings.descriptors > 0)
        return settings.descriptors;
    rlimit it{};
    const bool is_known = getrlimit(RLIMIT_NOFILE, &it) == 0 && it.rlim_cur != RLIM_INFINITY;
    return is_known ? static_cast<std::size_t>(it.rlim_cur) : 0;
}

gateway_options edge_options(const gateway_settings& settings)
{
    constexpr std::size_t bytes_per_mb = 1'000'000;
    const auto memory = settings.memory_mb * bytes_per_mb;
    gateway_options out;
    if (memory > 0)
        out.answers = answer_limits::for_memory(memory);
    out.callers = core::caller_budget_limits::for_process(memory, descriptor_limit(settings));
    return out;
}

} // namespace

std::int64_t gateway_daemon::wall_ms()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<core::milliseconds>(since).count();
}

gateway_daemon::gateway_daemon(gateway_settings settings, deployment_binding binding)
    : settings_{std::move(settings)}, binding_{std::move(binding)}, clock_{[this] { return begin_turn(); }},
      log_{STDOUT_FILENO, {settings_.log_lines_per_second}, settings_.id.str(), wall_ms},
      gateway_{edge_options(settings_), binding_.headers, log_, metrics_, clock_},
      forwarder_{forwarder_options(), settings_.failure_domain, settings_.id, gateway_.hooks()},
      store_{store_options(), settings_.store, binding_.store}, store_port_{store_.port()},
      follower_{{binding_.documents.configuration_key}, store_port_, follower_hooks()},
      gossip_{settings_.id, settings_.failure_domain, [this](const proto::datagram& it) { on_datagram(it); }},
      carrier_{{}, [this](const net::carry_opening& it) { return admit_carried(it); }},
      relay_{control::relay_options::within(settings_.configuration_apply), settings_.id,
             settings_.failure_domain, settings_.link_mbps, relay_hooks()},
      registry_{{}, [this](const auto& it, auto done) { write_members(it, std::move(done)); }},
      findings_{{}, [this](const auto& it, auto done) { write_findings(it, std::move(done)); }},
      parts_{part_options(), settings_.id, part_hooks()}, download_{{}, settings_.id, download_hooks()},
      join_{{}, settings_.id, seeds(), join_hooks()}, duties_{settings_.duties, settings_.id, binding_.duties,
                                                              binding_.documents, duty_hooks()},
      readiness_{[this](const auto& from, const auto&, const std::string&) { on_readiness(from); },
                 [](const auto& from, net::request_fault) { from->reset(); }},
      metrics_listener_{[this](const auto& from, const auto&, const std::string&) { on_metrics(from); },
                        [](const auto& from, net::request_fault) { from->reset(); }}
{
    gateway_.attach(forwarder_);
    connect_path_hooks();
    gateway_.on_activity = [this] { rearm(); };
    gateway_.on_session_run = [this](const routing::session_run& it) { gossip_.broadcast(it); };
    gateway_.on_prompt_sent = [this](const routing::prompt_sent& it) { gossip_.broadcast(it); };
    gateway_.on_prompt_answered = [this](const routing::prompt_answered& it) { gossip_.broadcast(it); };
    gateway_.on_stream_ended = [this](const load::stream_ended& it) { gossip_.broadcast(it); };
    gateway_.on_counts = [this](const std::vector<load::request_counts>& it) { gossip_.broadcast(it); };
    gateway_.on_crash_seen = [this](const crashes::crash_message& it) { gossip_.broadcast(it); };
    gateway_.on_limits_told =
        [this](const std::vector<core::instance_id>& to, const std::vector<places::limit_report>& it)
    {
        const places::limit_reports message{settings_.id, it};
        if (to.empty())
            gossip_.broadcast(message);
        else
            gossip_.send_to(to, message);
    };
    gateway_.on_leaving_told = [this](const routing::leaving_notices& it) { gossip_.broadcast(it); };
    gateway_.on_run_began = [this](const core::account_id& it) { duties_.on_run_began(it); };
    gateway_.on_harmful_found = [this](crashes::element_fingerprint it)
    {
        if (!findings_.found(clock_(), it))
            log_state("finding_not_recorded", to_hex(it));
        rearm();
    };
    follower_.clock = clock_;
    store_.on_era = [this](core::store_era it) { follower_.on_era(it); };
    store_.on_call_ended = [this](kv_call kind, const call_report& it) { log_transfer(kind, it); };
    store_.on_items_left_out = [this](kv_call kind, std::size_t n)
    {
        log_.write(clock_(),
                   observe::log_line{"store_items_unreadable"}
                       .text("reason", to_string(kind))
                       .number("items", static_cast<std::int64_t>(n)),
                   observe::log_rank::notable);
    };
    forwarder_.rollouts().on_verdict =
        [this](const core::service_id& service, const routing::version_fault& why)
    {
        log_.write(clock_(), version_found_bad_line(service, why, forwarder_.rollouts().status(service)),
                   observe::log_rank::vital);
    };
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { on_timer(); });
}

gateway_daemon::~gateway_daemon() = default;

kv_http_options gateway_daemon::store_options() const
{
    kv_http_options out;
    out.transfer = core::transfer_limits::for_link(settings_.link_mbps);
    return out;
}

std::optional<core::milliseconds> gateway_daemon::max_key_age() const
{
    return settings_.keys_expire ? std::optional{settings_.key_revocation - key_margin} : std::nullopt;
}

routing::forwarder_options gateway_daemon::forwarder_options() const
{
    routing::forwarder_options out;
    out.max_key_age = max_key_age();
    out.key_grace = settings_.key_revocation - key_margin;
    out.max_denial_age = settings_.configuration_apply - denial_margin;
    out.max_outdated_time = settings_.configuration_apply * outdated_percent / 100;
    out.session_ttl = settings_.session_ttl;
    out.retries = {settings_.retry_window, settings_.retry_ratio, settings_.retry_slack};
    const auto& tuning = settings_.tuning;
    out.cascade.start_small = tuning.start_small;
    out.cascade.accept_confidence = tuning.accept_confidence;
    out.cascade.accept_confidence_late = tuning.accept_confidence_late;
    out.chooser.rotation_start = core::stable_hash(settings_.id.str());
    out.chooser.placement.far_per_kb = tuning.far_per_kb;
    out.chooser.placement.again_weight = tuning.again_weight;
    out.chooser.placement.late_weight = tuning.late_weight;
    out.chooser.placement.least_told = tuning.least_told;
    out.chooser.placement.kept.kept_for = tuning.prompts_kept_for;
    out.bounds.warm_up.senders = tuning.cold_senders;
    out.directory.last_resort_time = std::max(settings_.drain - drain_margin, core::milliseconds{0});
    out.regions = settings_.regions;
    out.load = settings_.load;
    out.hedge_after = tuning.hedge_after;
    out.move_after = tuning.move_after;
    out.stall_after = tuning.stall_after;
    constexpr double percent = 100;
    out.rollouts.schedule.exposure_share = settings_.exposure_share;
    out.rollouts.schedule.exposure_slack = settings_.exposure_slack;
    out.rollouts.schedule.first_share_percent =
        static_cast<std::uint32_t>(settings_.exposure_share * first_exposure_fraction * percent);
    return out;
}

core::result<void> gateway_daemon::start()
{
    const auto now = clock_();
    BOOST_OUTCOME_TRY(callers, gateway_.listen(settings_.callers.host, settings_.callers.port));
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
    peers_port_ = peers;
    // With port 0, the port drawn for datagrams may be in use for streams, so another one is drawn.
    BOOST_OUTCOME_TRY(carrier, carrier_.listen(settings_.peers.host, settings_.peers.port));
    carrier_port_ = carrier;
    for (const auto& it : seeds())
        gossip_.put_address(it, it.str(), peers_port_);
    follower_.set_direct(now, false); // until the join selects a source of store changes
    forwarder_.rollouts().set_follows_store(false);
    forwarder_.begin_start(now);
    join_.start(now);
    rearm();
    return boost::outcome_v2::success();
}

bool gateway_daemon::is_ready() const
{
    if (stop_began_ || !forwarder_.table() || forwarder_.endpoints().size() == 0)
        return false;
    const auto now = clock_();
    if (forwarder_.is_outdated(now))
        return false;
    const auto age = forwarder_.proof_age(now);
    const auto oldest = max_key_age();
    return age && (!oldest || *age < *oldest);
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

// Time

void gateway_daemon::rearm()
{
    auto due = next_housekeeping_;
    if (stop_began_)
        due = std::min(due, *stop_began_ + settings_.stop_grace - stop_reserve);
    for (const auto& it : {forwarder_.next_due(), follower_.next_due(), forwarder_.rollouts().next_due(),
                           forwarder_.rollouts().evidence_due(), relay_.next_due(), next_digest_,
                           registry_.next_due(), findings_.next_due(), join_.next_due(), duties_.next_due(),
                           parts_.next_due(), download_.next_due()})
        if (it)
            due = std::min(due, *it);
    // A timer that fires too early is harmless, so it is restarted only for an earlier time.
    if (timer_due_ && *timer_due_ <= due)
        return;
    timer_due_ = due;
    const auto now = clock_();
    loop_.expect(std::max(due, now));
    const auto wait = std::chrono::ceil<core::milliseconds>(due - now);
    timer_.start(std::max(wait, core::milliseconds{0}));
}

core::time_point gateway_daemon::begin_turn()
{
    const auto now = core::runtime_clock::now();
    if (const auto since = loop_.turn(now))
        on_wake(now, *since);
    return now;
}

void gateway_daemon::on_wake(core::time_point now, core::time_point since)
{
    observe::log_line line{"woke"};
    line.number("paused_ms", std::chrono::floor<core::milliseconds>(now - since).count());
    log_.write(now, line, observe::log_rank::notable);
    timer_due_ = now; // timers were suspended as well
    timer_.start(0);
    forwarder_.on_wake(now, since);
    follower_.on_wake(now);
    relay_.on_wake(now);
}

void gateway_daemon::on_timer()
{
    timer_due_.reset();
    const auto now = clock_();
    forwarder_.end_wake();
    forwarder_.tick(now);
    follower_.tick(now);
    relay_.tick(now);
    registry_.tick(now);
    findings_.tick(now);
    join_.tick(now);
    parts_.tick(now);
    download_.tick(now);
    duties_.set_candidate(relay_.is_direct());
    duties_.tick(now);
    if (next_digest_ && now >= *next_digest_)
        exchange_loads(now);
    for (const auto& it : forwarder_.rollouts().due(now))
        write_record(it);
    if (auto evidence = forwarder_.rollouts().tell_evidence(now); !evidence.empty())
        gossip_.broadcast(std::move(evidence));
    if (now >= next_housekeeping_)
        keep_house(now);
    check_stop(now);
    if (is_stopped_)
        return;
    rearm();
}

void gateway_daemon::keep_house(core::time_point now)
{
    next_housekeeping_ = now + housekeeping_interval;
    gateway_.listener().check_timeouts();
    readiness_.check_timeouts();
    metrics_listener_.check_timeouts();
    for (const auto it : forwarder_.attribution().take_expired(now))
        if (relay_.is_direct())
            findings_.expired(now, it);
    forwarder_.keep_house(now);
    if (!stop_began_ && (relay_.is_direct() || join_.must_announce_itself(now)))
        registry_.announce(now, own_entry());
    if (relay_.is_relay() && !gossip_.sends_prompts_to_all_domains() && !next_digest_)
        next_digest_ = now;
    // Followers accept only recent proofs from relays.
    const auto options = control::relay_options::within(settings_.configuration_apply);
    follower_.set_proof_interval(relay_.uses_relays() ? options.proof_interval()
                                                      : control::follower_options{}.proof_interval);
    follower_.set_gather_delay(relay_.uses_relays() ? options.gather_delay
                                                    : control::follower_options{}.gather_delay);
    if (now >= next_store_call_log_)
    {
        next_store_call_log_ = now + store_call_log_interval;
        log_store_calls(now);
    }
    log_.flush();
}

// Stop and reload

void gateway_daemon::begin_stop()
{
    if (stop_began_)
        return;
    stop_began_ = clock_();
    gateway_.begin_stop();
    forwarder_.begin_stop(*stop_began_ + balancer_removal_time,
                          *stop_began_ + settings_.stop_grace - stop_reserve);
    duties_.begin_stop();
    log_state("stop_began", "");
    log_.flush();
    rearm();
}

void gateway_daemon::check_stop(core::time_point now)
{
    if (!stop_began_ || is_stopped_)
        return;
    const auto since = now - *stop_began_;
    const bool must_end = since >= settings_.stop_grace - stop_reserve;
    if (since >= balancer_removal_time)
        gateway_.listener().close_idle();
    const bool is_done = since >= balancer_removal_time && forwarder_.active_count() == 0 &&
                         carrier_.connection_count() == 0 && gateway_.listener().connection_count() == 0;
    if (!must_end && !is_done)
        return;
    is_stopped_ = true;
    log_store_calls(now);
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
    // Addresses and bounds are fixed for the lifetime of the process.
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
