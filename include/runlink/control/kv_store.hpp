/// \file
/// What is asked of the platform's key-value store, as typed messages and hooks.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::control
{

/// A value and the revision of its last change.
struct kv_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// One change, as a watch tells it.
struct kv_event
{
    kv_item item;
    bool is_deleted = false;
};

/// A part of a list. Pages are no snapshot.
struct kv_page
{
    std::vector<kv_item> items;
    bool has_more = false;
    std::uint64_t store_revision = 0;
};

/// What a watch answers; without events its wait was over.
struct kv_changes
{
    std::vector<kv_event> events;
    std::uint64_t store_revision = 0;
};

/// A condition of a transaction: the key is at this revision, or, with 0, not there.
struct kv_condition
{
    std::string key;
    std::uint64_t revision = 0;
};

/// All or nothing.
struct kv_transaction
{
    std::vector<kv_condition> conditions;
    std::vector<kv_item> writes; ///< their revisions are not looked at
    std::vector<std::string> removals;
};

/// Why a call brought nothing.
enum class kv_error
{
    unavailable,  ///< no answer, or a broken connection: a write may have taken place
    refused,      ///< the store did nothing: too many calls, or not now
    history_gone, ///< a watch cannot go on from that revision
    malformed,    ///< the answer cannot be read
};

std::string_view to_string(kv_error it);

/// The conditions did not hold; the items as they are.
struct kv_conflict
{
    std::vector<kv_item> items;
};

/// The transaction took place.
struct kv_committed
{
    std::uint64_t revision = 0;
};

template <class T>
using kv_result = std::variant<T, kv_error>;
using kv_commit_result = std::variant<kv_committed, kv_conflict, kv_error>;

/// Asynchronous calls. Each handler is called once, later.
struct kv_store
{
    std::function<void(std::string after_key, std::function<void(kv_result<kv_page>)>)> list;
    std::function<void(std::uint64_t after, core::milliseconds wait,
                       std::function<void(kv_result<kv_changes>)>)>
        watch;
    std::function<void(const kv_transaction&, std::function<void(kv_commit_result)>)> commit;
    /// Ends a watch that waits; its handler is not called any more.
    std::function<void()> cancel_watch;
};

} // namespace runlink::control
