/// \file
/// Whether another attempt of a request (its successor) may be sent now, and if not, why.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include <boost/outcome.hpp>

#include "runlink/core/units.hpp"
#include "runlink/crashes/crash_attribution.hpp"
#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/prompt_placement.hpp"
#include "runlink/routing/retry_allowance.hpp"

namespace runlink::routing
{

/// What is known about a request's API key.
enum class key_state
{
    valid,    ///< valid, or no key is needed
    in_grace, ///< removed, but known to be valid within the grace period
    removed,  ///< removed for longer than the grace period
    unproven, ///< in the table, but the proof that the table is current is too old
};

/// Why another attempt may not be sent.
enum class succession_denial
{
    may_run_once,    ///< the request may run only once, and an attempt may have run
    no_position,     ///< the caller has events of a stream without ids
    attempts_spent,  ///< the route's attempts or the sends of one request are used up
    last_attempt,    ///< the last attempt is reserved for a broken connection
    time_spent,      ///< too little time is left
    key_removed,     ///< the key was removed longer ago than its grace period
    proof_too_old,   ///< the proof that the key is valid is too old
    harmful,         ///< requests of the same content crash endpoints
    allowance_spent, ///< the service's retry allowance is used up
    suspected,       ///< the content is suspected and waits for its isolated run
    no_endpoint,     ///< no suitable endpoint
};

/// Returns the name used in the structured log, such as `key_removed`.
std::string_view to_string(succession_denial it);

/// Whether the denial may end by itself before the request's deadline.
bool is_temporary(succession_denial it);

/// Inputs of the decision, except the choice of an endpoint.
struct succession_input
{
    bool may_repeat = true;       ///< the request is idempotent, or no attempt may have run
    bool may_resume = true;       ///< see `stream_position`
    std::uint32_t runs_left = 1;  ///< attempts that may run
    std::uint32_t sends_left = 1; ///< attempts of any outcome
    core::duration time_left{};
    core::milliseconds min_time_left{}; ///< no attempt is sent with this time left or less
    key_state key = key_state::valid;
    crashes::permission content = crashes::permission::free;
    retry_cause cause = retry_cause::loss;
    double allowance_left = 1; ///< retries left
};

/// Returns the first reason against another attempt, if there is one. `suspected` ends by itself, so it is
/// checked last and does not hide a permanent reason.
std::optional<succession_denial> find_denial(const succession_input& it);

/// A planned attempt that can certainly be sent: nothing that it needs can become unavailable while the event
/// that planned it is being handled.
struct successor
{
    const endpoint_entry* endpoint = nullptr;
    std::optional<prompt_need> prompt;
    bool is_trial = false; ///< isolated run of suspected content
    retry_cause cause = retry_cause::unsent;
};

/// A successor, or the reason against one.
using succession = boost::outcome_v2::checked<successor, succession_denial>;

} // namespace runlink::routing
