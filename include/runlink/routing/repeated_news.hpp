/// \file
/// News that other instances are told more than once, since a datagram may be lost.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// Parameters of the repeats.
struct repeated_news_options
{
    std::size_t times = 4;
    core::milliseconds interval{500};
};

/// Tells each id at once, and a few times more.
template <class Id>
class repeated_news
{
public:
    explicit repeated_news(repeated_news_options options = {}) : options_{options} {}

    void add(core::time_point now, const Id& id) { pending_[id] = {now, options_.times}; }
    /// Another instance tells it as well: its repeats are enough.
    void drop(const Id& id) { pending_.erase(id); }
    /// What is to be told now.
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
        core::time_point at{};
        std::size_t left = 0;
    };

    repeated_news_options options_;
    std::map<Id, repeat> pending_;
};

} // namespace runlink::routing
