/// \file
/// Client of the key-value store over HTTP.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "runlink/control/documents.hpp"
#include "runlink/gateway/http_caller.hpp"

namespace runlink::gateway
{

/// Timeouts of calls to the store.
struct kv_http_options
{
    /// The store begins its answer within milliseconds; even 60 times slower, it stays well below the limit.
    core::transfer_limits transfer;
    core::milliseconds connect_timeout{400};
    /// Added to the wait time of a watch to get the limit for the first byte of its answer.
    core::milliseconds watch_slack{1500};
};

/// Kind of a call to the store.
enum class kv_call
{
    list,
    watch,
    commit,
};

std::string_view to_string(kv_call it);

/// Calls since the start by kind and result. The store's operators count and charge each call.
struct kv_call_counters
{
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t commits = 0;    ///< transactions, including those that only check a revision
    std::uint64_t writes = 0;     ///< commits that write or remove items
    std::uint64_t unanswered = 0; ///< calls of any kind without an answer
    std::uint64_t refused = 0;    ///< calls of any kind answered with 429 or 503
    std::uint64_t cut_off = 0;    ///< calls of any kind whose answer ended before it was whole
    std::uint64_t unreadable = 0; ///< items left out of answers, because they could not be read
    std::uint64_t bytes = 0;      ///< of the bodies of answers, also of those that were not whole

    std::uint64_t all() const { return lists + watches + commits; }
};

/// Sends the calls of a `kv_store` to one server. At most one watch can be cancelled: the latest.
class kv_http_store
{
public:
    kv_http_store(kv_http_options options, net::peer_address address, control::kv_wire wire);
    kv_http_store(const kv_http_store&) = delete;
    kv_http_store& operator=(const kv_http_store&) = delete;

    /// Returns the store's interface, which must not outlive this object.
    control::kv_store port();
    const kv_call_counters& counters() const { return counters_; }

    /// The era of an answer. Called for each answer, failures included, before its handler.
    std::function<void(core::store_era)> on_era = [](auto) {};
    /// A call has ended. Called before its handler.
    std::function<void(kv_call, const call_report&)> on_call_ended = [](auto, const auto&) {};
    /// This many items of an answer could not be read and are left out. Called before the handler.
    std::function<void(kv_call, std::size_t)> on_items_left_out = [](auto, auto) {};

private:
    using answer_handler = std::function<void(const control::http_answer&)>;

    /// Sends a call and counts its outcome.
    http_caller::call_ptr send(kv_call kind, const control::http_call& request,
                               const core::transfer_limits& limits, answer_handler handler);
    void count(int status, const call_report& report);
    void count_unreadable(kv_call kind, std::size_t items);

    kv_http_options options_;
    control::kv_wire wire_;
    http_caller caller_;
    std::weak_ptr<http_caller::call> watch_;
    kv_call_counters counters_;
};

} // namespace runlink::gateway
