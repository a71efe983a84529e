/// \file
/// The latest change of each store key, for instances that ask for changes since a revision.
#pragma once

#include <cstddef>
#include <cstdint>
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
    /// Maximum uncompressed size of a value that is sent to others. Compression reduces JSON to a fifth or
    /// less.
    std::size_t max_value_bytes = 256 * 1024;
    /// Maximum uncompressed size of the keys and values in one part.
    std::size_t max_part_bytes = 256 * 1024;
};

/// Changes after a revision, oldest first.
struct history_part
{
    std::vector<kv_event> events;
    std::vector<std::string> omitted; ///< changed keys whose values are too large
    std::uint64_t revision = 0;       ///< of the last change in this part
    bool has_more = false;            ///< later changes follow in another part
};

/// The current items of the store and its most recent deletions.
class change_history
{
public:
    explicit change_history(history_options options = {}) : options_{options} {}

    /// Replaces the contents by the store's items at the given revision. Earlier deletions are unknown.
    void reset(const std::vector<kv_item>& items, std::uint64_t revision);
    void remember(const kv_event& it);
    /// Whether all changes after the revision are known.
    bool covers(std::uint64_t since) const { return since >= complete_since_; }
    /// Revision after which all changes are known.
    std::uint64_t complete_since() const { return complete_since_; }
    /// Returns the first part of the changes after a revision.
    history_part changes_after(std::uint64_t since) const;

private:
    using change_key = std::pair<std::uint64_t, std::string>; ///< revision and key

    void put(const kv_event& it);
    /// Forgets the oldest deletions beyond the limit.
    void drop_old_deletions();
    std::size_t max_deletions() const;

    history_options options_;
    /// By revision and key, since a transaction may change several keys.
    std::map<change_key, kv_event> changes_;
    std::unordered_map<std::string, std::uint64_t> revisions_;
    std::set<change_key> deletions_; ///< the keys in `changes_` of deletions
    std::uint64_t complete_since_ = 0;
};

} // namespace runlink::control
