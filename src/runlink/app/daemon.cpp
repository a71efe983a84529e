#include "runlink/app/daemon.hpp"

#include <chrono>

#include <QRandomGenerator>

#include "runlink/app/logging.hpp"
#include "runlink/proto/codec.hpp"

namespace runlink::app
{
namespace
{

constexpr int platform_poll_ms = 1000;
/// How long a stopping instance waits for callers to read the ends of their responses.
constexpr core::milliseconds max_flush_time{2000};

core::wall_time wall_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return core::wall_time{
        static_cast<std::uint64_t>(std::chrono::duration_cast<core::milliseconds>(since_epoch).count())};
}

core::incarnation_id make_incarnation()
{
    const auto n = QRandomGenerator::system()->generate64();
    return core::incarnation_id{QString::number(n, 16).rightJustified(16, '0').toStdString()};
}

} // namespace

daemon::daemon(settings options, std::vector<std::string> secrets)
    : settings_{std::move(options)}, clock_{core::runtime_clock::now},
      incarnation_{make_incarnation()}, store_{net::make_store_port(store_client_, settings_.store)},
      peer_link_{[this](const core::peer_envelope& it) { instance_->on_peer(clock_(), it); }},
      caller_api_{metrics_, clock_, incarnation_.str()}, instance_{std::make_unique<core::instance>(
                                                             make_options(std::move(secrets)),
                                                             make_instance_hooks())},
      runner_{client_, make_attempt_hooks()}, server_{settings_.bounds,
                                                      [this](const std::shared_ptr<net::http_exchange>& it)
                                                      { handle(it); }}
{
    caller_api_.attach(*instance_, runner_);
    operator_api_ =
        std::make_unique<operator_api>(settings_, *instance_, metrics_, peer_link_, store_, clock_);
    if (!settings_.platform)
        return;
    platform_.emplace(client_, *settings_.platform);
    caller_api_.on_answer =
        [this](const core::request_id& id, const core::version_ref& version, const std::string& answer)
    {
        platform_->rate(id, version, answer,
                        [this, version](bool good) { instance_->on_rating(version, good); });
    };
}

core::instance_options daemon::make_options(std::vector<std::string> secrets) const
{
    auto out = instance_options_of(settings_);
    out.self.incarnation = incarnation_;
    out.secrets = std::move(secrets);
    out.random_seed = QRandomGenerator::system()->generate64();
    return out;
}

core::instance_hooks daemon::make_instance_hooks()
{
    core::instance_hooks out;
    out.store = store_;
    out.codec = proto::make_ledger_codec();
    out.mac = hmac_sha256_hex;
    out.wall_clock = wall_now;
    out.send = [this](const std::string& address, const core::peer_envelope& it)
    { peer_link_.send(address, it); };
    out.router = caller_api_.router_hooks(wall_now);
    out.state_changed = log_info;
    return out;
}

attempt_hooks daemon::make_attempt_hooks()
{
    attempt_hooks out;
    out.head = [this](core::attempt_id id, int status, const std::string& type)
    { instance_->router().on_head(clock_(), id, status, type); };
    out.bytes = [this](core::attempt_id id, std::string bytes)
    { instance_->router().on_bytes(clock_(), id, std::move(bytes)); };
    out.answered = [this](core::attempt_id id, core::endpoint_answer answer)
    { instance_->router().on_answered(clock_(), id, std::move(answer)); };
    out.refused = [this](core::attempt_id id) { instance_->router().on_refused(clock_(), id); };
    out.lost = [this](core::attempt_id id, const core::attempt_loss& it)
    { instance_->router().on_lost(clock_(), id, it); };
    out.endpoint_state =
        [this](const core::endpoint_id& id, core::endpoint_incarnation incarnation, bool leaving)
    { instance_->on_endpoint_state(clock_(), id, incarnation, leaving); };
    return out;
}

core::result<void> daemon::start()
{
    BOOST_OUTCOME_TRYV(peer_link_.bind(settings_.peers.str()));
    BOOST_OUTCOME_TRY(port, server_.listen(settings_.callers.host, settings_.callers.port));
    log_info("instance " + settings_.id.str() + ", incarnation " + incarnation_.str() + ", listening on " +
             settings_.callers.host + ":" + std::to_string(port));
    QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] { tick(); });
    tick_timer_.setTimerType(Qt::PreciseTimer);
    tick_timer_.start(static_cast<int>(settings_.tick.count()));
    QObject::connect(&platform_timer_, &QTimer::timeout, &platform_timer_, [this] { poll_platform(); });
    platform_timer_.start(platform_poll_ms);
    return boost::outcome_v2::success();
}

void daemon::handle(const std::shared_ptr<net::http_exchange>& exchange)
{
    if (caller_api::serves(exchange->request().path))
        caller_api_.handle(exchange);
    else
        operator_api_->handle(exchange);
}

void daemon::tick()
{
    const auto begin = clock_();
    instance_->tick(begin);
    metrics_.record_tick(clock_() - begin);
    if (stopped_ || !instance_->is_stopped(clock_()) || caller_api_.open_count() > 0)
        return;
    // A process that ends loses the response bytes that it has not handed to the kernel. A caller that does
    // not read delays the end for a limited time.
    idle_since_ = idle_since_.value_or(begin);
    if (server_.has_unsent_bytes() && begin - *idle_since_ < max_flush_time)
        return;
    stopped_ = true;
    log_info("stopped");
    if (on_stopped)
        on_stopped();
}

void daemon::poll_platform()
{
    if (!platform_)
        return;
    platform_->poll([this](const listed_endpoint& it)
                    { instance_->on_endpoint_state(clock_(), it.id, it.incarnation, it.leaving); });
}

void daemon::begin_stop()
{
    instance_->begin_stop(clock_(), settings_.balancer_wait);
}

} // namespace runlink::app
