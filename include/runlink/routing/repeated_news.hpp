/// \file
/// Announcements that are sent to peers several times, since datagrams may be lost.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of the repetition.
struct repeated_news_options
{
    std::size_t times = 4;            ///< number of transmissions
    core::milliseconds interval{500}; ///< between transmissions
};

/// Schedules the announcement of ids: each is due at once and is then repeated.
template <class Id>
class repeated_news
{
public:
    explicit repeated_news(repeated_news_options options = {}) : options_{options} {}

    /// Schedules an id, due at once.
    void add(core::time_point now, const Id& id) { pending_[id] = {now, options_.times}; }
    /// Cancels the repetition of an id, because a peer announces it as well.
    void drop(const Id& id) { pending_.erase(id); }
    /// Returns the ids that are due, and schedules their next transmission.
    std::vector<Id> take_due(core::time_point now)
    {
        std::vector<Id> out;
        for (auto& [id, it] : pending_)
        {
            if (now < it.at)
                continue;
            out.push_back(id);
            it.at = now + options_.interval;
            --it.left;
        }
        std::erase_if(pending_, [](const auto& it) { return it.second.left == 0; });
        return out;
    }
    /// When the next id is due, or null if none is pending.
    std::optional<core::time_point> next_due() const
    {
        std::optional<core::time_point> out;
        for (const auto& [id, it] : pending_)
            out = std::min(out.value_or(it.at), it.at);
        return out;
    }

private:
    struct repeat
    {
        core::time_point at{}; ///< next transmission
        std::size_t left = 0;  ///< remaining transmissions
    };

    repeated_news_options options_;
    std::map<Id, repeat> pending_;
};

} // namespace runlink::routing
