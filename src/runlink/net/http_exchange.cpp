#include "runlink/net/http_exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <QNetworkProxy>

namespace runlink::net
{
namespace
{

/// Used where a peer does not say how long an idle connection lives: shorter than common servers keep one.
constexpr core::milliseconds default_keep_alive{4000};
/// The part of a peer's keep-alive time in which a connection is used; the rest covers delay on the way.
constexpr int usable_part = 2;
constexpr qint64 read_buffer_bytes = 256 * 1024;

core::milliseconds keep_alive_of(const http_response_head& head)
{
    const auto* field = head.fields.find("Keep-Alive");
    if (field == nullptr)
        return default_keep_alive;
    constexpr std::string_view name = "timeout=";
    const auto at = field->find(name);
    if (at == std::string::npos)
        return default_keep_alive;
    long long n = 0;
    const auto* first = field->data() + at + name.size();
    const auto [last, ec] = std::from_chars(first, field->data() + field->size(), n);
    return ec == std::errc{} ? core::milliseconds{n * 1000} : default_keep_alive;
}

} // namespace

std::string_view to_string(exchange_failure it)
{
    switch (it)
    {
    case exchange_failure::not_connected: return "not_connected";
    case exchange_failure::reset: return "reset";
    case exchange_failure::closed: return "closed";
    case exchange_failure::malformed: return "malformed";
    }
    return "unknown";
}

client_connection::client_connection(peer_address peer)
    : peer_{std::move(peer)}, reader_{{[this](const http_response_head& it) { on_head(it); },
                                       [this](std::string_view it)
                                       {
                                           if (hooks_ && !skipping_ && !ended_)
                                               hooks_->body(it);
                                       },
                                       [this] { on_end(); }}}
{
    socket_.setProxy(QNetworkProxy::NoProxy);
    socket_.setReadBufferSize(read_buffer_bytes);
    connect_timer_.setSingleShot(true);
    connect_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&connect_timer_, &QTimer::timeout, &socket_,
                     [this] { fail(exchange_failure::not_connected); });
    QObject::connect(&socket_, &QTcpSocket::connected, &socket_, [this] { on_connected(); });
    QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { on_readable(); });
    QObject::connect(&socket_, &QTcpSocket::disconnected, &socket_, [this] { on_disconnected(); });
    QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_,
                     [this](QAbstractSocket::SocketError it)
                     {
                         if (starting_) // `start` has not returned: told from the event loop
                             return connect_timer_.start(0);
                         if (!open_)
                             return fail(exchange_failure::not_connected);
                         if (it != QAbstractSocket::RemoteHostClosedError)
                             fail(exchange_failure::reset);
                     });
}

client_connection::~client_connection()
{
    QObject::disconnect(&socket_, nullptr, &socket_, nullptr);
    QObject::disconnect(&connect_timer_, nullptr, &socket_, nullptr);
}

void client_connection::start(std::string request, const exchange_options& options, exchange_hooks hooks)
{
    hooks_ = std::make_unique<exchange_hooks>(std::move(hooks));
    skipping_ = false;
    ended_ = false;
    unacknowledged_timeout_ = options.unacknowledged_timeout;
    if (open_)
    {
        socket_.write(request.data(), static_cast<qint64>(request.size()));
        hooks_->sent();
        return;
    }
    request_ = std::move(request);
    connect_timer_.start(options.connect_timeout);
    starting_ = true;
    socket_.connectToHost(QHostAddress{QString::fromStdString(peer_.host)}, peer_.port);
    starting_ = false;
}

void client_connection::set_socket_options(core::milliseconds unacknowledged_timeout)
{
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    const auto timeout = static_cast<unsigned>(unacknowledged_timeout.count());
    const auto fd = static_cast<int>(socket_.socketDescriptor());
    // A peer that fell silent is given up by the kernel; without the option only later, by timeouts above.
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

void client_connection::on_connected()
{
    connect_timer_.stop();
    open_ = true;
    set_socket_options(unacknowledged_timeout_);
    if (!hooks_)
        return;
    const auto guard = shared_from_this();
    socket_.write(request_.data(), static_cast<qint64>(request_.size()));
    request_ = {};
    hooks_->sent();
}

void client_connection::on_readable()
{
    const auto guard = shared_from_this();
    const auto bytes = socket_.readAll();
    if (!hooks_)
    {
        // Bytes that answer no request: the connection is out of step.
        reusable_ = false;
        on_idle_lost();
        return;
    }
    const auto ec = reader_.feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    if (ec != codec_error::none && hooks_)
        return fail(exchange_failure::malformed);
    if (!ended_)
        return;
    // Anything behind the answer that was due makes the connection useless.
    if (reader_.in_message())
        reusable_ = false;
    const auto hooks = std::exchange(hooks_, nullptr);
    if (!hooks)
        return;
    rested_since_ = std::chrono::steady_clock::now();
    on_free();
    hooks->end();
}

void client_connection::on_head(const http_response_head& it)
{
    if (!hooks_ || ended_)
    {
        reusable_ = false;
        skipping_ = true;
        return;
    }
    skipping_ = hooks_->is_due && !hooks_->is_due(it);
    keep_alive_ = keep_alive_of(it);
    if (skipping_ || !it.keep_alive || it.framing == body_framing::until_close)
        reusable_ = false;
    if (!skipping_)
        hooks_->head(it);
}

void client_connection::on_end()
{
    if (!skipping_)
        ended_ = true;
    skipping_ = false;
}

void client_connection::on_disconnected()
{
    const auto guard = shared_from_this();
    if (!hooks_)
    {
        open_ = false;
        reusable_ = false;
        return on_idle_lost();
    }
    if (socket_.bytesAvailable() > 0)
        on_readable();
    if (!hooks_)
        return;
    reusable_ = false;
    reader_.finish_input();
    if (!ended_)
        return fail(exchange_failure::closed);
    const auto hooks = std::exchange(hooks_, nullptr);
    on_free();
    hooks->end();
}

void client_connection::fail(exchange_failure why)
{
    const auto guard = shared_from_this();
    const auto hooks = std::exchange(hooks_, nullptr);
    reusable_ = false;
    connect_timer_.stop();
    QObject::disconnect(&socket_, nullptr, &socket_, nullptr);
    socket_.abort();
    open_ = false;
    on_free();
    if (hooks)
        hooks->failed(why);
}

void client_connection::abandon()
{
    spent_hooks_ = std::move(hooks_); // nobody is told; one of them may be running now
    fail(exchange_failure::reset);
}

bool client_connection::is_reusable(std::chrono::steady_clock::time_point now,
                                    core::milliseconds max_rest) const
{
    const auto rested = now - rested_since_;
    return reusable_ && open_ && socket_.state() == QAbstractSocket::ConnectedState &&
           rested < std::min(max_rest, keep_alive_ / usable_part);
}

void client_connection::detach()
{
    QObject::disconnect(&socket_, nullptr, &socket_, nullptr);
    connect_timer_.stop();
    if (socket_.state() != QAbstractSocket::UnconnectedState)
        socket_.abort();
    open_ = false;
}

// Pool

connection_pool::connection_pool()
{
    sweep_timer_.setSingleShot(true);
    QObject::connect(&sweep_timer_, &QTimer::timeout, &sweep_timer_, [this] { retired_.clear(); });
}

exchange connection_pool::send(const peer_address& peer, std::string request, const exchange_options& options,
                               exchange_hooks hooks)
{
    auto it = take_idle(peer, options.max_rest);
    if (it)
        ++counters_.reused;
    else
        it = open(peer);
    busy_.emplace(it.get(), it);
    it->start(std::move(request), options, std::move(hooks));
    return it;
}

std::shared_ptr<client_connection> connection_pool::take_idle(const peer_address& peer,
                                                              core::milliseconds max_rest)
{
    const auto found = idle_.find(peer);
    if (found == idle_.end())
        return nullptr;
    const auto now = std::chrono::steady_clock::now();
    auto& all = found->second;
    while (!all.empty())
    {
        // The one that rested least is the least likely to have been closed by the peer.
        auto it = std::move(all.back());
        all.pop_back();
        if (it->is_reusable(now, max_rest))
            return it;
        retire(std::move(it));
    }
    return nullptr;
}

connection_pool::connection_ptr connection_pool::open(const peer_address& peer)
{
    ++counters_.opened;
    auto it = std::make_shared<client_connection>(peer);
    const auto* key = it.get();
    it->on_free = [this, key] { on_free(key); };
    it->on_idle_lost = [this, key] { on_idle_lost(key); };
    return it;
}

void connection_pool::on_free(const client_connection* it)
{
    const auto found = busy_.find(it);
    if (found == busy_.end())
        return;
    auto connection = std::move(found->second);
    busy_.erase(found);
    if (connection->is_reusable(std::chrono::steady_clock::now(), core::milliseconds::max()))
        idle_[connection->peer()].push_back(std::move(connection));
    else
        retire(std::move(connection));
}

void connection_pool::on_idle_lost(const client_connection* it)
{
    const auto found = idle_.find(it->peer());
    if (found == idle_.end())
        return;
    auto& all = found->second;
    const auto at = std::find_if(all.begin(), all.end(), [&](const auto& e) { return e.get() == it; });
    if (at == all.end())
        return;
    auto connection = std::move(*at);
    all.erase(at);
    if (all.empty())
        idle_.erase(found);
    retire(std::move(connection));
}

void connection_pool::retire(connection_ptr it)
{
    it->detach();
    retired_.push_back(std::move(it));
    if (!sweep_timer_.isActive())
        sweep_timer_.start(0);
}

} // namespace runlink::net
