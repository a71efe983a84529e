/// \file
/// Which endpoints are assumed to have the shared parts of a prompt in their prompt cache.
#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::routing
{

/// Parameters of the cache model.
struct kept_prompts_options
{
    /// Time without a request after which shared parts count as evicted from the endpoint's cache by other
    /// prompts.
    milliseconds kept_for{15000};
};

/// Tracks to which endpoints this instance and its peers have recently sent shared parts. Caches are separate
/// for each model.
class kept_prompts
{
public:
    explicit kept_prompts(kept_prompts_options options = {}) : options_{options} {}

    void sent(time_point now, endpoint_hash to, prompt_hash prompt) { used_[{prompt, to}] = now; }
    bool has(time_point now, endpoint_hash at, prompt_hash prompt) const;
    /// Endpoints that are assumed to have the prompt.
    std::vector<endpoint_hash> endpoints_with(time_point now, prompt_hash prompt) const;
    void expire(time_point now);
    std::size_t size() const { return used_.size(); }

private:
    kept_prompts_options options_;
    std::map<std::pair<prompt_hash, endpoint_hash>, time_point> used_; ///< time of the last use
};

} // namespace runlink::routing
