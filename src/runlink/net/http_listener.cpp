#include "runlink/net/http_listener.hpp"

#include <utility>

#include <QHostAddress>
#include <QNetworkProxy>

namespace runlink::net
{
namespace
{

/// Room for a burst of new connections, such as all callers of a failed instance reconnecting at once.
constexpr int listen_backlog = 512;
constexpr core::milliseconds accept_retry_interval{100};

} // namespace

http_listener::http_listener(request_handler on_request, bad_request_handler on_bad_request,
                             core::caller_budget_limits budget)
    : on_request_{std::move(on_request)}, on_bad_request_{std::move(on_bad_request)}, budget_{budget}
{
    server_.setProxy(QNetworkProxy::NoProxy);
    server_.setListenBacklogSize(listen_backlog);
    server_.setMaxPendingConnections(listen_backlog);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept_all(); });
    QObject::connect(&server_, &QTcpServer::acceptError, &server_, [this] { on_accept_error(); });
    sweep_timer_.setSingleShot(true);
    QObject::connect(&sweep_timer_, &QTimer::timeout, &sweep_timer_, [this] { retired_.clear(); });
    accept_timer_.setSingleShot(true);
    QObject::connect(&accept_timer_, &QTimer::timeout, &accept_timer_, [this] { server_.resumeAccepting(); });
}

http_listener::~http_listener()
{
    // Other holders of the shared pointers may keep connections alive after the listener is destroyed.
    const auto all = std::exchange(connections_, {});
    for (const auto& [key, it] : all)
        it->detach_from_listener();
}

core::result<std::uint16_t> http_listener::listen(const std::string& host, std::uint16_t port)
{
    if (!server_.listen(QHostAddress{QString::fromStdString(host)}, port))
        return core::failure{core::errc::settings_invalid, "listen " + host + ":" + std::to_string(port) +
                                                               ": " + server_.errorString().toStdString()};
    return server_.serverPort();
}

void http_listener::accept_all()
{
    while (auto* next = server_.nextPendingConnection())
    {
        next->setParent(nullptr);
        std::unique_ptr<QTcpSocket> socket{next};
        const core::connection_id id{++last_id_};
        const auto decision = budget_.open(core::runtime_clock::now(), id);
        close_displaced(decision.displaced);
        if (!decision.is_granted)
        {
            socket->abort();
            on_connection_refused();
            continue;
        }
        caller_connection::handlers to;
        to.request = on_request_;
        to.bad_request = on_bad_request_;
        to.closed = [this](core::connection_id it) { retire(it); };
        to.hold = [this](core::connection_id it, std::size_t bytes) { return hold(it, bytes); };
        connections_.emplace(
            id, std::make_shared<caller_connection>(id, std::move(socket), limits_, budget_, std::move(to)));
    }
}

void http_listener::on_accept_error()
{
    server_.pauseAccepting();
    accept_timer_.start(accept_retry_interval);
}

bool http_listener::hold(core::connection_id id, std::size_t bytes)
{
    return carry_out(budget_.hold(core::runtime_clock::now(), id, bytes));
}

bool http_listener::hold_answers(std::size_t bytes, core::budget_share share)
{
    return carry_out(budget_.hold_answers(core::runtime_clock::now(), bytes, share));
}

bool http_listener::carry_out(const core::caller_budget::decision& it)
{
    for (const auto id : it.displaced)
        if (const auto found = connections_.find(id); found != connections_.end())
            std::shared_ptr
            {
                found->second
                } -> give_way();
    return it.is_granted;
}

void http_listener::close_displaced(const std::vector<core::connection_id>& all)
{
    for (const auto id : all)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end())
            continue;
        const auto it = found->second;
        it->give_way();
        it->close_now();
    }
}

void http_listener::retire(core::connection_id id)
{
    budget_.close(id);
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    retired_.push_back(std::move(found->second));
    connections_.erase(found);
    if (!sweep_timer_.isActive())
        sweep_timer_.start(0);
}

void http_listener::check_timeouts()
{
    const auto now = core::runtime_clock::now();
    const auto all = connections_;
    for (const auto& [key, it] : all)
        it->check_timeouts(now, limits_);
}

void http_listener::close_idle()
{
    const auto all = connections_;
    for (const auto& [key, it] : all)
        it->close_if_idle();
}

} // namespace runlink::net
