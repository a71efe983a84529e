/// \file
/// Failures of the router. The code says what failed; the detail names only the place, such as a field.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/outcome.hpp>

#include "runlink/core/units.hpp"

namespace runlink::core
{

/// Failure codes. Their names are part of the public interface.
enum class errc
{
    malformed_request,
    unknown_field,
    body_too_large,
    unauthenticated,
    not_allowed,
    unknown_model,
    unknown_version,
    unknown_service,
    version_withdrawn,
    session_version_withdrawn,
    session_token_invalid,
    no_endpoint,
    request_harmful, ///< endpoint processes ended while they ran requests of the same content
    endpoint_refused,
    endpoint_lost,
    endpoint_answer_invalid,
    deadline_exceeded,
    account_limit,
    overloaded,
    stopping,
    not_ready,
    cut_off,
    caller_left,
    request_in_progress,
    request_unknown,
    answer_not_kept,
    key_reused,
    ledger_unavailable,
    store_unavailable,
    store_conflict,
    store_absent,
    store_unchanged,
    store_unknown,
    settings_invalid,
    configuration_invalid,
    plan_invalid,
    plan_conflict,
    wrong_deployment,
    not_owner,
    lease_lost,
    internal,
};

/// The public name of a code, such as `version_withdrawn`.
std::string_view to_string(errc code);

/// A failure with its place and, if a retry may succeed, the time after which to retry.
struct failure
{
    errc code = errc::internal;
    std::string detail;
    std::optional<milliseconds> retry_after = std::nullopt;

    friend bool operator==(const failure&, const failure&) = default;
};

/// A value or a failure. Reading the wrong one throws.
template <class T>
using result = boost::outcome_v2::checked<T, failure>;

/// Whether a request ran, as reported to the caller.
enum class run_outcome
{
    ran,
    not_run,
    unknown,
};

/// The public name of an outcome: `ran`, `not_run` or `unknown`.
std::string_view to_string(run_outcome it);

} // namespace runlink::core
