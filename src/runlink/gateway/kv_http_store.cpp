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

std::string_view to_string(kv_call it)
{
    switch (it)
    {
    case kv_call::list: return "list";
    case kv_call::watch: return "watch";
    case kv_call::commit: return "commit";
    }
    return "unknown";
}

kv_http_store::kv_http_store(kv_http_options options, net::peer_address address, control::kv_wire wire)
    : options_{options}, wire_{std::move(wire)}, caller_{{options.connect_timeout, max_idle_time},
                                                         std::move(address)}
{
}

control::kv_store kv_http_store::port()
{
    control::kv_store out;
    out.list =
        [this](const std::string& after, const std::function<void(control::kv_result<control::kv_page>)>& to)
    {
        ++counters_.lists;
        send(kv_call::list, wire_.list(after), options_.transfer,
             [this, to](const control::http_answer& it)
             {
                 const auto page = wire_.read_page(it);
                 if (const auto* read = std::get_if<control::kv_page>(&page))
                     count_unreadable(kv_call::list, read->unreadable_items);
                 to(page);
             });
    };
    out.watch = [this](std::uint64_t after, core::milliseconds wait,
                       const std::function<void(control::kv_result<control::kv_changes>)>& to)
    {
        ++counters_.watches;
        auto limits = options_.transfer;
        limits.first_byte = wait + options_.watch_slack;
        watch_ = send(kv_call::watch, wire_.watch(after, wait), limits,
                      [this, to](const control::http_answer& it)
                      {
                          const auto changes = wire_.read_changes(it);
                          if (const auto* read = std::get_if<control::kv_changes>(&changes))
                              count_unreadable(kv_call::watch, read->unreadable_items);
                          to(changes);
                      });
    };
    out.commit =
        [this](const control::kv_transaction& it, const std::function<void(control::kv_commit_result)>& to)
    {
        ++counters_.commits;
        counters_.writes += it.writes.empty() && it.removals.empty() ? 0 : 1;
        send(kv_call::commit, wire_.commit(it), options_.transfer,
             [this, to](const control::http_answer& it) { to(wire_.read_commit(it)); });
    };
    out.cancel_watch = [this]
    {
        if (const auto it = watch_.lock())
            http_caller::cancel(*it);
    };
    return out;
}

http_caller::call_ptr kv_http_store::send(kv_call kind, const control::http_call& request,
                                          const core::transfer_limits& limits, answer_handler handler)
{
    return caller_.send(
        request, limits,
        [this, kind, handler = std::move(handler)](const control::http_answer& it, const call_report& report)
        {
            count(it.status, report);
            on_call_ended(kind, report);
            if (it.status != no_status)
                on_era(wire_.read_era(it));
            handler(it);
        });
}

void kv_http_store::count_unreadable(kv_call kind, std::size_t items)
{
    if (items == 0)
        return;
    counters_.unreadable += items;
    on_items_left_out(kind, items);
}

void kv_http_store::count(int status, const call_report& report)
{
    counters_.bytes += report.bytes;
    counters_.unanswered += status == no_status ? 1 : 0;
    counters_.cut_off += status == no_status && report.bytes > 0 ? 1 : 0;
    counters_.refused += status == status_too_many || status == status_unavailable ? 1 : 0;
}

} // namespace runlink::gateway
