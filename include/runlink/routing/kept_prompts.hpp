/// \file
/// Which endpoints are thought to keep the shared parts of a prompt in memory.
#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::routing
{

/// Parameters of the memory.
struct kept_prompts_options
{
    /// After this long without a request the parts count as dropped: what else the endpoint reads meanwhile
    /// takes their place.
    milliseconds kept_for{15000};
};

/// Remembers where shared parts were sent lately, by this instance or another. Parts are kept by model.
class kept_prompts
{
public:
    explicit kept_prompts(kept_prompts_options options = {}) : options_{options} {}

    void sent(time_point now, endpoint_hash to, prompt_hash prompt) { used_[{to, prompt}] = now; }
    bool has(time_point now, endpoint_hash at, prompt_hash prompt) const;
    void expire(time_point now);
    std::size_t size() const { return used_.size(); }

private:
    kept_prompts_options options_;
    std::map<std::pair<endpoint_hash, prompt_hash>, time_point> used_;
};

} // namespace runlink::routing
