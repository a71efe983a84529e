#include "runlink/routing/kept_prompts.hpp"

namespace runlink::routing
{

bool kept_prompts::has(time_point now, endpoint_hash at, prompt_hash prompt) const
{
    const auto found = used_.find({prompt, at});
    return found != used_.end() && now - found->second < options_.kept_for;
}

std::vector<endpoint_hash> kept_prompts::endpoints_with(time_point now, prompt_hash prompt) const
{
    std::vector<endpoint_hash> out;
    for (auto it = used_.lower_bound({prompt, endpoint_hash{}});
         it != used_.end() && it->first.first == prompt; ++it)
        if (now - it->second < options_.kept_for)
            out.push_back(it->first.second);
    return out;
}

void kept_prompts::expire(time_point now)
{
    std::erase_if(used_, [&](const auto& it) { return now - it.second >= options_.kept_for; });
}

} // namespace runlink::routing
