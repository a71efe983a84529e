/// \file
/// Interface to the platform's key-value store: typed messages and asynchronous calls.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runlink/core/store_revision.hpp"
#include "runlink/core/units.hpp"

namespace runlink::control
{

/// A value and the revision of its last change.
struct kv_item
{
    std::string key;
    std::string value;
    core::store_revision revision{};
};

/// One change reported by a watch.
struct kv_event
{
    kv_item item;
    bool is_deleted = false;
    /// The state of the key in an older copy from which the store has returned. A later change was lost; its
    /// writer may write it again.
    bool is_from_copy = false;
};

/// One page of a list. Pages may be read at different revisions; together they are no snapshot.
struct kv_page
{
    std::vector<kv_item> items;
    bool has_more = false;
    core::store_revision store_revision;
    std::size_t unreadable_items = 0; ///< left out of `items`: their key or revision can't be read
};

/// Result of a watch. No events if its wait ended without a change.
struct kv_changes
{
    std::vector<kv_event> events;
    core::store_revision store_revision;
    std::size_t unreadable_items = 0; ///< left out of `events`: their key or revision can't be read
};

/// A precondition of a transaction: the key is at this revision, or absent if the revision is 0.
struct kv_condition
{
    std::string key;
    std::uint64_t revision = 0;
};

/// Writes and removals that are applied atomically if all conditions hold.
struct kv_transaction
{
    std::vector<kv_condition> conditions;
    std::vector<kv_item> writes; ///< the `revision` of these items is ignored
    std::vector<std::string> removals;
};

/// Why a call failed.
enum class kv_error
{
    unavailable,  ///< no answer or a broken connection; a write may have been applied
    refused,      ///< the store rejected the call, e.g. because of a rate limit; nothing was applied
    history_gone, ///< the store no longer has the changes after the given revision
    malformed,    ///< the answer can't be parsed
    outdated,     ///< the answer belongs to an earlier era of the store; a write may be lost
};

std::string_view to_string(kv_error it);

/// The conditions did not hold. Contains the current items.
struct kv_conflict
{
    std::vector<kv_item> items;
};

/// The transaction was applied.
struct kv_committed
{
    core::store_revision revision{};
};

template <class T>
using kv_result = std::variant<T, kv_error>;
using kv_commit_result = std::variant<kv_committed, kv_conflict, kv_error>;

/// Asynchronous calls. Each handler is called once, after the call has returned.
struct kv_store
{
    std::function<void(std::string after_key, std::function<void(kv_result<kv_page>)>)> list;
    std::function<void(std::uint64_t after, core::milliseconds wait,
                       std::function<void(kv_result<kv_changes>)>)>
        watch;
    std::function<void(const kv_transaction&, std::function<void(kv_commit_result)>)> commit;
    /// Cancels the waiting watch; its handler is not called any more.
    std::function<void()> cancel_watch;
};

} // namespace runlink::control
