/// \file
/// Whether another attempt of a request may be sent now, and what speaks against it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/outcome.hpp>

#include "runlink/core/units.hpp"
#include "runlink/crashes/crash_attribution.hpp"
#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/prompt_placement.hpp"

namespace runlink::routing
{

/// What is known of a request's key.
enum class key_standing
{
    holds,    ///< or none is needed
    in_grace, ///< it is gone, and was known to hold a moment ago
    removed,
    unproven, ///< the table has it, and no proof is new enough
};

/// What speaks against another attempt.
enum class succession_denial
{
    may_run_once,    ///< an attempt may have run, and no other may
    attempts_spent,  ///< of the route, or sends of one request
    last_attempt,    ///< it is kept for a loss
    time_spent,      ///< too little is left
    key_removed,     ///< for longer than its grace
    proof_too_old,   ///< of the key
    harmful,         ///< endpoints end under requests of its content
    allowance_spent, ///< repeats of the service
    suspected,       ///< its content waits for its turn to be tried
    no_endpoint,     ///< that fits
};

/// The public name of a denial, such as `key_removed`.
std::string_view to_string(succession_denial it);

/// Whether it may pass by itself while the request has time.
bool passes(succession_denial it);

/// What the decision looks at, but for the endpoint.
struct succession_input
{
    bool may_repeat = true; ///< it is idempotent, or no attempt may have run
    std::uint32_t runs_left = 1;
    std::uint32_t sends_left = 1;
    core::duration time_left{};
    core::milliseconds least_time{};
    key_standing key = key_standing::holds;
    crashes::permission content = crashes::permission::free;
    bool costs_allowance = true;
    double allowance_left = 1; ///< repeats
};

/// The first thing that speaks against another attempt, if there is one. `suspected` passes by itself, and
/// comes behind all that does not.
std::optional<succession_denial> judge(const succession_input& it);

/// Another attempt that is certain to go: nothing that it needs can fail before the event that planned it is
/// over.
struct successor
{
    const endpoint_entry* endpoint = nullptr;
    std::optional<prompt_need> prompt;
    bool is_trial = false; ///< its content is suspected, and no other copy runs
};

/// A successor, or what speaks against one.
using succession = boost::outcome_v2::checked<successor, succession_denial>;

} // namespace runlink::routing
