#include "runlink/routing/kept_prompts.hpp"

namespace runlink::routing
{

bool kept_prompts::has(time_point now, endpoint_hash at, prompt_hash prompt) const
{
    const auto found = used_.find({at, prompt});
    return found != used_.end() && now - found->second < options_.kept_for;
}

void kept_prompts::expire(time_point now)
{
    std::erase_if(used_, [&](const auto& it) { return now - it.second >= options_.kept_for; });
}

} // namespace runlink::routing
