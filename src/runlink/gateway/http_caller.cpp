#include "runlink/gateway/http_caller.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace runlink::gateway
{

struct http_caller::call
{
    call(const core::transfer_limits& limits, core::time_point now) : deadline{limits, now}, started{now} {}

    net::exchange exchange;
    QTimer timer;
    core::transfer_deadline deadline;
    core::time_point started;
    control::http_answer answer;
    call_report report;
    answer_handler handler;
};

http_caller::http_caller(http_caller_options options, net::peer_address address)
    : options_{options}, address_{std::move(address)}
{
}

http_caller::call_ptr http_caller::send(const control::http_call& request,
                                        const core::transfer_limits& limits, answer_handler handler)
{
    auto pending = std::make_shared<call>(limits, clock());
    pending->handler = std::move(handler);
    pending->timer.setSingleShot(true);
    QObject::connect(&pending->timer, &QTimer::timeout, &pending->timer,
                     [this, weak = std::weak_ptr{pending}]
                     {
                         if (const auto it = weak.lock())
                             check_deadline(it);
                     });
    net::http_request_head head;
    head.method = request.method;
    head.target = request.target;
    head.fields.add("Host", address_.str());
    if (!request.body.empty())
        head.fields.add("Content-Type", "application/json");
    for (const auto& [name, value] : request.fields)
        head.fields.add(name, value);
    net::exchange_options options;
    options.connect_timeout = options_.connect_timeout;
    options.max_rest = options_.max_idle_time;
    pending->timer.start(limits.first_byte);
    pending->exchange =
        pool_.send(address_, net::write_request(head, request.body), options, hooks_of(pending));
    return pending;
}

net::exchange_hooks http_caller::hooks_of(const call_ptr& it) const
{
    net::exchange_hooks out;
    out.sent = [] {};
    out.head = [this, it](const net::http_response_head& e)
    {
        it->answer.status = e.status.value();
        for (const auto& field : e.fields)
            it->answer.fields.emplace_back(field.name, field.value);
        const auto length = net::announced_length(e.fields);
        if (length.value_or(0) > options_.max_answer_bytes)
            return give_up(it, "answer_too_large");
        it->deadline.on_head(clock(), length);
        check_deadline(it);
    };
    out.body = [this, it](std::string_view e)
    {
        it->answer.body.append(e);
        if (it->answer.body.size() > options_.max_answer_bytes)
            return give_up(it, "answer_too_large");
        it->deadline.on_bytes(clock());
    };
    out.end = [this, it] { finish(it); };
    out.failed = [this, it](net::exchange_failure e) { fail(it, to_string(e)); };
    return out;
}

void http_caller::check_deadline(const call_ptr& it) const
{
    const auto left = std::chrono::ceil<core::milliseconds>(it->deadline.due() - clock());
    if (left > core::milliseconds{0})
        return it->timer.start(left);
    give_up(it, to_string(it->deadline.reason()));
}

void http_caller::give_up(const call_ptr& it, std::string_view why) const
{
    const auto exchange = it->exchange.lock();
    fail(it, why);
    if (exchange)
        exchange->abandon();
}

void http_caller::cancel(call& it)
{
    it.handler = nullptr;
    it.timer.stop();
    if (const auto exchange = it.exchange.lock())
        exchange->abandon();
}

void http_caller::fail(const call_ptr& it, std::string_view why) const
{
    it->report.result = why;
    it->report.bytes = it->answer.body.size();
    it->answer = {};
    finish(it);
}

void http_caller::finish(const call_ptr& it) const
{
    it->timer.stop();
    it->report.bytes = std::max<std::uint64_t>(it->report.bytes, it->answer.body.size());
    it->report.elapsed = clock() - it->started;
    const auto handler = std::exchange(it->handler, nullptr);
    if (handler)
        handler(it->answer, it->report);
}

} // namespace runlink::gateway
