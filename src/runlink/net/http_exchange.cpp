#include "runlink/net/http_exchange.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace runlink::net
{
namespace
{

/// Assumed when a peer sends no keep-alive timeout; shorter than the timeout of common servers.
constexpr core::milliseconds default_keep_alive{4000};
/// Longer times are shortened to this one.
constexpr core::milliseconds max_keep_alive = std::chrono::hours{24};
/// A connection is reused only within this fraction (1/n) of the peer's keep-alive time. The remainder covers
/// network delay.
constexpr int keep_alive_divisor = 2;

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
    if (ec != std::errc{})
        return default_keep_alive;
    constexpr long long max_s = std::chrono::duration_cast<core::seconds>(max_keep_alive).count();
    return core::seconds{std::clamp(n, 0LL, max_s)};
}

exchange_failure failure_of(codec_error it)
{
    switch (it)
    {
    case codec_error::invalid_status: return exchange_failure::invalid_status;
    case codec_error::header_too_large: return exchange_failure::head_too_large;
    default: return exchange_failure::malformed;
    }
}

} // namespace

std::string_view to_string(exchange_failure it)
{
    switch (it)
    {
    case exchange_failure::not_connected: return "not_connected";
    case exchange_failure::not_carried: return "not_carried";
    case exchange_failure::withheld: return "withheld";
    case exchange_failure::reset: return "reset";
    case exchange_failure::closed: return "closed";
    case exchange_failure::malformed: return "malformed";
    case exchange_failure::invalid_status: return "invalid_status";
    case exchange_failure::head_too_large: return "head_too_large";
    case exchange_failure::surplus_too_large: return "surplus_too_large";
    }
    return "unknown";
}

client_connection::client_connection(endpoint_path path)
    : path_{std::move(path)}, stream_{{[this] { on_connected(); },
                                       [this](std::string_view it) { on_bytes(it); },
                                       [this](stream_end it) { on_ended(it); }}},
      reader_{{[this](const http_response_head& it) { on_head(it); },
               [this](std::string_view it)
               {
                   if (hooks_ && !skipping_response_ && !response_complete_)
                       hooks_->body(it);
               },
               [this] { on_end(); }}}
{
    connect_timer_.setSingleShot(true);
    connect_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&connect_timer_, &QTimer::timeout, &connect_timer_,
                     [this]
                     {
                         const auto guard = shared_from_this();
                         if (!stream_.finish_connect())
                             fail(not_connected_failure());
                     });
}

void client_connection::start(std::string request, const exchange_options& options, exchange_hooks hooks)
{
    hooks_ = std::make_unique<exchange_hooks>(std::move(hooks));
    skipping_response_ = false;
    response_complete_ = false;
    has_head_ = false;
    surplus_bytes_ = 0;
    if (stream_.is_open())
    {
        stream_.write(request);
        hooks_->sent();
        return;
    }
    request_ = std::move(request);
    silence_timeout_ = options.silence_timeout;
    const bool began = stream_.connect(path_);
    const auto timeout = path_.via ? options.carried_connect_timeout : options.connect_timeout;
    connect_timer_.start(began ? timeout : core::milliseconds{0});
}

void client_connection::open(core::milliseconds timeout, std::function<void(core::contact)> to)
{
    on_open_result_ = std::move(to);
    const bool began = stream_.connect(path_);
    connect_timer_.start(began ? timeout : core::milliseconds{0});
}

void client_connection::on_connected()
{
    connect_timer_.stop();
    stream_.set_silence_timeout(silence_timeout_);
    if (on_open_result_)
    {
        const auto guard = shared_from_this();
        idle_since_ = core::runtime_clock::now();
        peer_keep_alive_ = default_keep_alive;
        const auto to = std::exchange(on_open_result_, nullptr);
        on_free();
        return to(core::contact::answered);
    }

    if (!hooks_)
        return;
    const auto guard = shared_from_this();
    if (hooks_->may_send && !hooks_->may_send())
        return fail(exchange_failure::withheld);
    stream_.write(std::exchange(request_, {}));
    hooks_->sent();
}

void client_connection::on_bytes(std::string_view bytes)
{
    const auto guard = shared_from_this();
    if (!hooks_)
    {
        // Bytes without a pending request: responses no longer match requests on this connection.
        reusable_ = false;
        on_idle_lost();
        return;
    }
    if (!has_head_)
        surplus_bytes_ += bytes.size();
    const auto ec = reader_.feed(bytes);
    if (!hooks_)
        return;
    if (ec != codec_error::none && !response_complete_)
        return fail(failure_of(ec));
    if (!has_head_ && surplus_bytes_ > max_surplus_bytes)
        return fail(exchange_failure::surplus_too_large);
    // Bytes after the complete response make the connection unusable for further requests.
    if (ec != codec_error::none || reader_.in_message())
        reusable_ = reusable_ && !response_complete_;
    if (response_complete_)
        finish();
}

void client_connection::finish()
{
    const auto hooks = std::exchange(hooks_, nullptr);
    idle_since_ = core::runtime_clock::now();
    on_free();
    hooks->end();
}

void client_connection::on_head(const http_response_head& it)
{
    if (!hooks_ || response_complete_)
    {
        reusable_ = false;
        skipping_response_ = true;
        return;
    }
    skipping_response_ = hooks_->is_due && !hooks_->is_due(it);
    peer_keep_alive_ = keep_alive_of(it);
    if (skipping_response_ || !it.keep_alive || it.framing == body_framing::until_close)
        reusable_ = false;
    if (skipping_response_ && !is_surplus_bounded(it))
        return fail(exchange_failure::surplus_too_large);
    if (skipping_response_)
        return;
    has_head_ = true;
    hooks_->head(it);
}

bool client_connection::is_surplus_bounded(const http_response_head& surplus) const
{
    return surplus.framing != body_framing::until_close &&
           announced_length(surplus.fields).value_or(0) <= max_surplus_bytes;
}

void client_connection::on_end()
{
    if (!skipping_response_)
        response_complete_ = true;
    skipping_response_ = false;
}

void client_connection::on_ended(stream_end how)
{
    const auto guard = shared_from_this();
    reusable_ = false;
    if (!hooks_ && !on_open_result_)
        return on_idle_lost();
    if (how == stream_end::not_connected)
        return fail(not_connected_failure());
    if (how == stream_end::closed)
        reader_.finish_input();
    if (!hooks_)
        return;
    if (response_complete_)
        return finish();
    fail(how == stream_end::closed ? exchange_failure::closed : exchange_failure::reset);
}

void client_connection::fail(exchange_failure why)
{
    const auto guard = shared_from_this();
    const auto hooks = std::exchange(hooks_, nullptr);
    reusable_ = false;
    detach();
    on_free();
    if (const auto to = std::exchange(on_open_result_, nullptr))
        to(stream_.was_refused() ? core::contact::refused : core::contact::silent);
    if (hooks)
        hooks->failed(why);
}

exchange_failure client_connection::not_connected_failure() const
{
    return stream_.has_carrier_failed() ? exchange_failure::not_carried : exchange_failure::not_connected;
}

void client_connection::abandon()
{
    abandoned_hooks_ = std::move(hooks_); // no hook is called; they are kept because one may be running
    fail(exchange_failure::reset);
}

bool client_connection::is_reusable(core::time_point now, core::milliseconds max_rest) const
{
    const auto idle_time = now - idle_since_;
    return reusable_ && stream_.is_open() &&
           idle_time < std::min(max_rest, peer_keep_alive_ / keep_alive_divisor);
}

void client_connection::detach()
{
    connect_timer_.stop();
    stream_.abort();
}

// Pool

connection_pool::connection_pool()
{
    sweep_timer_.setSingleShot(true);
    QObject::connect(&sweep_timer_, &QTimer::timeout, &sweep_timer_, [this] { retired_.clear(); });
}

exchange connection_pool::send(const endpoint_path& path, std::string request,
                               const exchange_options& options, exchange_hooks hooks)
{
    auto it = take_idle(path, options.max_rest);
    if (it)
        ++counters_.reused;
    else
        it = open(path);
    busy_.emplace(it.get(), it);
    it->start(std::move(request), options, std::move(hooks));
    return it;
}

std::shared_ptr<client_connection> connection_pool::take_idle(const endpoint_path& path,
                                                              core::milliseconds max_rest)
{
    const auto found = idle_.find(path);
    if (found == idle_.end())
        return nullptr;
    const auto now = core::runtime_clock::now();
    auto& all = found->second;
    while (!all.empty())
    {
        // The most recently used connection is the least likely to have been closed by the peer.
        auto it = std::move(all.back());
        all.pop_back();
        if (it->is_reusable(now, max_rest))
            return it;
        retire(std::move(it));
    }
    return nullptr;
}

void connection_pool::ask(const endpoint_path& path, core::milliseconds timeout,
                          std::function<void(core::contact)> to)
{
    auto it = open(path);
    busy_.emplace(it.get(), it);
    it->open(timeout, std::move(to));
}

void connection_pool::forget_idle(const peer_address& peer)
{
    // The direct path to a peer goes before the carried ones.
    auto it = idle_.lower_bound(peer);
    while (it != idle_.end() && it->first.endpoint == peer)
        it = forget(it);
}

void connection_pool::forget_carried(const peer_address& carrier)
{
    for (auto it = idle_.begin(); it != idle_.end();)
        it = it->first.via && it->first.via->address == carrier ? forget(it) : std::next(it);
}

connection_pool::idle_map::iterator connection_pool::forget(idle_map::iterator it)
{
    for (auto& e : it->second)
        retire(std::move(e));
    return idle_.erase(it);
}

connection_pool::connection_ptr connection_pool::open(const endpoint_path& path)
{
    ++counters_.opened;
    auto it = std::make_shared<client_connection>(path);
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
    if (connection->is_reusable(core::runtime_clock::now(), core::milliseconds::max()))
        idle_[connection->path()].push_back(std::move(connection));
    else
        retire(std::move(connection));
}

void connection_pool::on_idle_lost(const client_connection* it)
{
    const auto found = idle_.find(it->path());
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
