/// \file
/// The latest change of each store key, for instances that ask for changes since a revision.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "runlink/control/kv_store.hpp"

namespace runlink::control
{

/// Parameters of the history.
struct history_options
{
    /// Number of deletions that are always remembered. Beyond it, as many are remembered as the store has
    /// items: a roll-out or a lost failure domain deletes a share of all entries within seconds.
    std::size_t min_deletions = 1000;
    /// Maximum uncompressed size of a value that is sent with other changes. It fits a datagram even if it
    /// can't be compressed.
    std::size_t max_value_bytes = 48 * 1024;
    /// Maximum uncompressed size of the keys and values in one part.
    std::size_t max_part_bytes = 256 * 1024;
};

/// A change without its value.
struct omitted_value
{
    std::string key;
    core::store_revision revision;

    friend bool operator==(const omitted_value&, const omitted_value&) = default;
};

/// Changes after a revision, oldest first.
struct history_part
{
    std::vector<kv_event> events;
    std::vector<omitted_value> omitted; ///< changes whose values are too large
    core::store_revision revision;      ///< of the last change in this part
    bool has_more = false;              ///< later changes follow in another part
};

/// The current items of the store and its most recent deletions.
class change_history
{
public:
    explicit change_history(history_options options = {}) : options_{options} {}

    /// Replaces the contents by the store's items at the given revision. Earlier deletions are unknown.
    void reset(const std::vector<kv_item>& items, const core::store_revision& revision);
    void remember(const kv_event& it);
    /// The item of the key; null without one.
    const kv_item* item(const std::string& key) const;
    /// Whether the key is known to have an item.
    bool has_item(const std::string& key) const;
    /// All changes up to the revision have been remembered.
    void reached(const core::store_revision& it);
    /// Whether all changes after the revision are known. In an earlier era of the store the instance that has
    /// the revision must not have seen changes that are missing here.
    bool covers(const core::store_revision& since) const;
    /// Revision after which all changes are known.
    const core::store_revision& complete_since() const { return complete_since_; }
    /// Returns the first part of the changes after a revision.
    history_part changes_after(const core::store_revision& since) const;
    /// The events with which the known items become those of a list that was read after the store's return
    /// from a copy. Events for changes that the copy has lost are marked as `is_from_copy`. Unchanged items
    /// are included if `is_versioned` holds for their keys.
    std::vector<kv_event> difference(const std::vector<kv_item>& listed, const core::store_revision& revision,
                                     const std::function<bool(const std::string&)>& is_versioned) const;

private:
    using change_key = std::pair<core::store_revision, std::string>; ///< revision and key

    using change_iterator = std::map<change_key, kv_event>::const_iterator;

    void put(const kv_event& it);
    /// Items of earlier eras that the present era holds unchanged, at the same number, after the revision.
    std::map<change_key, kv_event> carried_over(const core::store_revision& since) const;
    history_part part_of(const core::store_revision& since, change_iterator it, change_iterator end) const;
    const kv_event* find(const std::string& key) const;
    /// The highest revision number of the list that is known to belong to the copy rather than to a change
    /// after the return.
    std::uint64_t last_of_copy(const std::vector<kv_item>& listed) const;
    /// Forgets the oldest deletions beyond the limit.
    void drop_old_deletions();
    std::size_t max_deletions() const;

    history_options options_;
    /// By revision and key, since a transaction may change several keys.
    std::map<change_key, kv_event> changes_;
    std::unordered_map<std::string, core::store_revision> revisions_;
    std::set<change_key> deletions_; ///< the keys in `changes_` of deletions
    core::store_revision complete_since_;
    core::store_revision reached_;
    /// The last revisions that were reached in earlier eras.
    std::map<core::store_era, std::uint64_t> era_ends_;
};

} // namespace runlink::control
