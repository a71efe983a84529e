/// \file
/// Typed documents stored in the key-value store, and the interfaces that encode and decode them.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "runlink/control/kv_store.hpp"
#include "runlink/control/peer_entry.hpp"
#include "runlink/core/failure.hpp"
#include "runlink/crashes/element_fingerprint.hpp"
#include "runlink/duties/duty_lease.hpp"
#include "runlink/duties/scale_orders.hpp"
#include "runlink/duties/usage_reporter.hpp"
#include "runlink/places/evacuations.hpp"
#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/rollout_control.hpp"
#include "runlink/routing/routing_table.hpp"

namespace runlink::control
{

/// Marks requests with this element as harmful: they crash endpoints. With companions, only requests that
/// have these elements too.
struct harmful_entry
{
    crashes::element_fingerprint element;
    std::vector<crashes::element_fingerprint> companions{};
};

/// A decoded store item. Items that this process doesn't use are `std::monostate`.
using document =
    std::variant<std::monostate, routing::routing_table_ptr, routing::endpoint_entry, routing::rollout_order,
                 routing::rollout_record, peer_entry, places::evacuation, harmful_entry, duties::lease_record,
                 duties::usage_record, duties::order_record>;

/// Keys of the store, decoded. They identify the document of a deleted item.
struct endpoint_key
{
    core::endpoint_name name;
};
struct record_key
{
    core::service_id service;
};
struct order_key
{
    core::service_id service;
};
struct peer_key
{
    core::instance_id id;
};
struct evacuation_key
{
    core::failure_domain_id domain;
};
struct harmful_key
{
    crashes::element_fingerprint element;
};
struct lease_key
{
};
struct usage_key
{
};
struct scale_orders_key
{
};
using document_key = std::variant<std::monostate, endpoint_key, order_key, record_key, peer_key,
                                  evacuation_key, harmful_key, lease_key, usage_key, scale_orders_key>;

/// Whether revisions of such documents are compared or used as conditions of writes.
inline bool is_versioned(const document_key& it)
{
    return std::holds_alternative<order_key>(it) || std::holds_alternative<record_key>(it) ||
           std::holds_alternative<lease_key>(it) || std::holds_alternative<usage_key>(it) ||
           std::holds_alternative<scale_orders_key>(it);
}

/// Keys and encoding of a deployment's documents.
struct document_codec
{
    std::string configuration_key;
    std::function<core::result<document>(const kv_item&)> read;
    std::function<document_key(const std::string& key)> name; ///< decodes a key
    std::function<kv_item(const routing::rollout_record&)> write_record;
    std::function<kv_item(const peer_entry&)> write_peer;
    std::function<kv_item(const harmful_entry&)> write_harmful;
    std::function<kv_item(const duties::lease_record&)> write_lease;
    std::function<kv_item(const duties::usage_record&)> write_usage;
    std::function<kv_item(const duties::order_record&)> write_orders;
};

/// One HTTP request to a service of the platform.
struct http_call
{
    std::string method;
    std::string target;
    std::string body;                                             ///< JSON, or empty
    std::vector<std::pair<std::string, std::string>> fields = {}; ///< additional header fields
};

/// Who makes a call: the holder of the duties and its fencing number.
struct duty_caller
{
    core::instance_id holder;
    core::fencing_number epoch;
};

/// HTTP requests and responses of the platform's duties.
struct duty_wire
{
    std::function<http_call(const duty_caller&, const duties::window_counts&)> report_usage;
    std::function<http_call(const duty_caller&, const duties::scale_call&)> scale;
    /// `status` is 0 if there was no answer.
    std::function<duties::call_outcome(int status)> read_usage_result;
    std::function<duties::scale_result(const duties::scale_call&, int status)> read_scale_result;
};

/// The answer to a call.
struct http_answer
{
    int status = 0; ///< 0: there was no answer
    std::string body;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// HTTP requests and responses of a deployment's store.
struct kv_wire
{
    std::function<http_call(const std::string& after_key)> list;
    std::function<http_call(std::uint64_t after, core::milliseconds wait)> watch;
    std::function<http_call(const kv_transaction&)> commit;
    /// The era in which the store gave an answer; 0 if the answer doesn't tell.
    std::function<core::store_era(const http_answer&)> read_era;
    std::function<kv_result<kv_page>(const http_answer&)> read_page;
    std::function<kv_result<kv_changes>(const http_answer&)> read_changes;
    std::function<kv_commit_result(const http_answer&)> read_commit;
};

} // namespace runlink::control
