#include "runlink/load/load_options.hpp"

#include <algorithm>

namespace runlink::load
{

active_load active_parts(const load_options& options, const std::vector<engine_limits>& engines)
{
    const bool is_scarce =
        std::any_of(engines.begin(), engines.end(),
                    [&](const engine_limits& it)
                    {
                        return it.slots > 0 && it.memory_tokens > 0 &&
                               it.memory_tokens / it.slots < options.scarce_tokens_per_slot;
                    });
    const auto is_active = [&](load_switch it)
    { return it == load_switch::on || (it == load_switch::scarce && is_scarce); };
    return {is_active(options.engine_load), is_active(options.model_choice), is_active(options.plain_load)};
}

} // namespace runlink::load
