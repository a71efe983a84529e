#include "runlink/gateway/kv_http_store.hpp"

#include <utility>

namespace runlink::gateway
{
namespace
{

/// Passed to handlers if there was no answer.
constexpr int no_status = 0;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
/// Calls are one or two seconds apart, and the store keeps idle connections for longer than this limit.
constexpr core::milliseconds max_idle_time{10000};

} // namespace

kv_http_store::kv_http_store(kv_http_options options, net::peer_address address, control::kv_wire wire)
    : options_{options}, address_{std::move(address)}, wire_{std::move(wire)}
{
}

control::kv_store kv_http_store::port()
{
    control::kv_store out;
    out.list =
        [this](const std::string& after, const std::function<void(control::kv_result<control::kv_page>)>& to)
    {
        ++counters_.lists;
        send(wire_.list(after), options_.call_timeout,
             [this, to](int status, const std::string& body) { to(wire_.read_page(status, body)); });
    };
    out.watch = [this](std::uint64_t after, core::milliseconds wait,
                       const std::function<void(control::kv_result<control::kv_changes>)>& to)
    {
        ++counters_.watches;
        watch_ =
            send(wire_.watch(after, wait), wait + options_.watch_slack,
                 [this, to](int status, const std::string& body) { to(wire_.read_changes(status, body)); });
    };
    out.commit =
        [this](const control::kv_transaction& it, const std::function<void(control::kv_commit_result)>& to)
    {
        ++counters_.commits;
        counters_.writes += it.writes.empty() && it.removals.empty() ? 0 : 1;
        send(wire_.commit(it), options_.call_timeout,
             [this, to](int status, const std::string& body) { to(wire_.read_commit(status, body)); });
    };
    out.cancel_watch = [this]
    {
        const auto it = watch_.lock();
        if (!it)
            return;
        it->handler = nullptr;
        it->timer.stop();
        if (const auto exchange = it->exchange.lock())
            exchange->abandon();
    };
    return out;
}

kv_http_store::call_ptr kv_http_store::send(const control::http_call& request, core::milliseconds timeout,
                                            answer_handler handler)
{
    auto pending = std::make_shared<call>();
    pending->handler = std::move(handler);
    pending->timer.setSingleShot(true);
    QObject::connect(&pending->timer, &QTimer::timeout, &pending->timer,
                     [this, weak = std::weak_ptr{pending}]
                     {
                         const auto expired = weak.lock();
                         if (!expired)
                             return;
                         const auto exchange = expired->exchange.lock();
                         finish(expired, no_status);
                         if (exchange)
                             exchange->abandon();
                     });
    net::http_request_head head;
    head.method = request.method;
    head.target = request.target;
    head.fields.add("Host", address_.str());
    if (!request.body.empty())
        head.fields.add("Content-Type", "application/json");
    net::exchange_hooks hooks;
    hooks.sent = [] {};
    hooks.head = [pending](const net::http_response_head& e) { pending->status = e.status; };
    hooks.body = [pending](std::string_view e) { pending->body.append(e); };
    hooks.end = [this, pending] { finish(pending, pending->status); };
    hooks.failed = [this, pending](net::exchange_failure) { finish(pending, no_status); };
    net::exchange_options options;
    options.connect_timeout = options_.connect_timeout;
    options.max_rest = max_idle_time;
    pending->timer.start(timeout);
    pending->exchange =
        pool_.send(address_, net::write_request(head, request.body), options, std::move(hooks));
    return pending;
}

void kv_http_store::finish(const call_ptr& it, int status)
{
    it->timer.stop();
    counters_.unanswered += status == no_status ? 1 : 0;
    counters_.refused += status == status_too_many || status == status_unavailable ? 1 : 0;
    const auto handler = std::exchange(it->handler, nullptr);
    if (handler)
        handler(status, it->body);
}

} // namespace runlink::gateway
