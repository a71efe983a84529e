/// \file
/// The newest change of each key of the store, for instances that ask what is new.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "runlink/control/kv_store.hpp"

namespace runlink::control
{

/// Parameters of the history.
struct history_options
{
    /// Keys that are gone are remembered up to this many. A roll-out takes away an entry for each endpoint of
    /// a service.
    std::size_t kept_deletions = 1000;
    /// Bytes of a value that is sent on, before the link compresses it: JSON shrinks to a fifth or less.
    std::size_t largest_value = 256 * 1024;
    /// Bytes of values in one part, before they are compressed.
    std::size_t largest_part = 256 * 1024;
};

/// Changes behind a revision, oldest first.
struct history_part
{
    std::vector<kv_event> events;
    std::vector<std::string> omitted; ///< keys that changed and whose values are too large
    std::uint64_t revision = 0;       ///< of the last change here, if there are more
    bool has_more = false;
};

/// Holds what the store holds, and what it held lately.
class change_history
{
public:
    explicit change_history(history_options options = {}) : options_{options} {}

    /// The store's items as they are at the revision; what came before is not known.
    void reset(const std::vector<kv_item>& items, std::uint64_t revision);
    void remember(const kv_event& it);
    /// Whether all that changed behind the revision is known.
    bool reaches(std::uint64_t since) const { return since >= complete_since_; }
    std::uint64_t complete_since() const { return complete_since_; }
    history_part behind(std::uint64_t since) const;

private:
    void put(const kv_event& it);
    void bound();

    history_options options_;
    std::map<std::pair<std::uint64_t, std::string>, kv_event> changes_; ///< a transaction changes many keys
    std::unordered_map<std::string, std::uint64_t> revisions_;
    std::size_t deletions_ = 0;
    std::uint64_t complete_since_ = 0;
};

} // namespace runlink::control
