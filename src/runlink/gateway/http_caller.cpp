#include "runlink/gateway/http_caller.hpp"

#include <utility>

namespace runlink::gateway
{
struct http_caller::call
{
    net::exchange exchange;
    QTimer timer;
    control::http_answer answer;
    answer_handler handler;
};

http_caller::http_caller(http_caller_options options, net::peer_address address)
    : options_{options}, address_{std::move(address)}
{
}

http_caller::call_ptr http_caller::send(const control::http_call& request, core::milliseconds timeout,
                                        answer_handler handler)
{
    auto pending = std::make_shared<call>();
    pending->handler = std::move(handler);
    pending->timer.setSingleShot(true);
    QObject::connect(&pending->timer, &QTimer::timeout, &pending->timer,
                     [weak = std::weak_ptr{pending}]
                     {
                         const auto expired = weak.lock();
                         if (!expired)
                             return;
                         const auto exchange = expired->exchange.lock();
                         fail(expired);
                         if (exchange)
                             exchange->abandon();
                     });
    net::http_request_head head;
    head.method = request.method;
    head.target = request.target;
    head.fields.add("Host", address_.str());
    if (!request.body.empty())
        head.fields.add("Content-Type", "application/json");
    for (const auto& [name, value] : request.fields)
        head.fields.add(name, value);
    net::exchange_hooks hooks;
    hooks.sent = [] {};
    hooks.head = [pending](const net::http_response_head& e)
    {
        pending->answer.status = e.status;
        for (const auto& field : e.fields)
            pending->answer.fields.emplace_back(field.name, field.value);
    };
    hooks.body = [pending](std::string_view e) { pending->answer.body.append(e); };
    hooks.end = [pending] { finish(pending); };
    hooks.failed = [pending](net::exchange_failure) { fail(pending); };
    net::exchange_options options;
    options.connect_timeout = options_.connect_timeout;
    options.max_rest = options_.max_idle_time;
    pending->timer.start(timeout);
    pending->exchange =
        pool_.send(address_, net::write_request(head, request.body), options, std::move(hooks));
    return pending;
}

void http_caller::cancel(call& it)
{
    it.handler = nullptr;
    it.timer.stop();
    if (const auto exchange = it.exchange.lock())
        exchange->abandon();
}

void http_caller::fail(const call_ptr& it)
{
    it->answer = {};
    finish(it);
}

void http_caller::finish(const call_ptr& it)
{
    it->timer.stop();
    const auto handler = std::exchange(it->handler, nullptr);
    if (handler)
        handler(it->answer);
}

} // namespace runlink::gateway
