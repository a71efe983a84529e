#include "runlink/routing/succession.hpp"

namespace runlink::routing
{

std::string_view to_string(succession_denial it)
{
    switch (it)
    {
    case succession_denial::may_run_once: return "may_run_once";
    case succession_denial::no_position: return "no_position";
    case succession_denial::attempts_spent: return "attempts_spent";
    case succession_denial::last_attempt: return "last_attempt";
    case succession_denial::time_spent: return "time_spent";
    case succession_denial::key_removed: return "key_removed";
    case succession_denial::proof_too_old: return "proof_too_old";
    case succession_denial::harmful: return "harmful";
    case succession_denial::allowance_spent: return "allowance_spent";
    case succession_denial::suspected: return "suspected";
    case succession_denial::no_endpoint: return "no_endpoint";
    }
    return {};
}

bool is_temporary(succession_denial it)
{
    return it == succession_denial::proof_too_old || it == succession_denial::allowance_spent ||
           it == succession_denial::suspected || it == succession_denial::no_endpoint;
}

std::optional<succession_denial> find_denial(const succession_input& it)
{
    if (!it.may_repeat)
        return succession_denial::may_run_once;
    if (!it.may_resume)
        return succession_denial::no_position;
    if (it.runs_left == 0 || it.sends_left == 0)
        return succession_denial::attempts_spent;
    if (it.time_left <= it.min_time_left)
        return succession_denial::time_spent;
    if (it.key == key_state::removed)
        return succession_denial::key_removed;
    if (it.key == key_state::unproven)
        return succession_denial::proof_too_old;
    if (it.content == crashes::permission::refused)
        return succession_denial::harmful;
    if (costs_allowance(it.cause) && it.allowance_left < 1)
        return succession_denial::allowance_spent;
    if (it.content == crashes::permission::waits)
        return succession_denial::suspected;
    return std::nullopt;
}

} // namespace runlink::routing
