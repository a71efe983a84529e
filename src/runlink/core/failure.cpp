#include "runlink/core/failure.hpp"

namespace runlink::core
{

std::string_view to_string(errc code)
{
    switch (code)
    {
    case errc::malformed_request: return "malformed_request";
    case errc::unknown_field: return "unknown_field";
    case errc::body_too_large: return "body_too_large";
    case errc::unauthenticated: return "unauthenticated";
    case errc::not_allowed: return "not_allowed";
    case errc::unknown_model: return "unknown_model";
    case errc::unknown_version: return "unknown_version";
    case errc::unknown_service: return "unknown_service";
    case errc::version_withdrawn: return "version_withdrawn";
    case errc::session_version_withdrawn: return "session_version_withdrawn";
    case errc::session_token_invalid: return "session_token_invalid";
    case errc::no_endpoint: return "no_endpoint";
    case errc::request_harmful: return "request_harmful";
    case errc::endpoint_refused: return "endpoint_refused";
    case errc::endpoint_lost: return "endpoint_lost";
    case errc::endpoint_answer_invalid: return "endpoint_answer_invalid";
    case errc::deadline_exceeded: return "deadline_exceeded";
    case errc::account_limit: return "account_limit";
    case errc::overloaded: return "overloaded";
    case errc::stopping: return "stopping";
    case errc::not_ready: return "not_ready";
    case errc::cut_off: return "cut_off";
    case errc::caller_left: return "caller_left";
    case errc::request_in_progress: return "request_in_progress";
    case errc::request_unknown: return "request_unknown";
    case errc::answer_not_kept: return "answer_not_kept";
    case errc::key_reused: return "key_reused";
    case errc::ledger_unavailable: return "ledger_unavailable";
    case errc::store_unavailable: return "store_unavailable";
    case errc::store_conflict: return "store_conflict";
    case errc::store_absent: return "store_absent";
    case errc::store_unchanged: return "store_unchanged";
    case errc::store_unknown: return "store_unknown";
    case errc::settings_invalid: return "settings_invalid";
    case errc::configuration_invalid: return "configuration_invalid";
    case errc::plan_invalid: return "plan_invalid";
    case errc::plan_conflict: return "plan_conflict";
    case errc::wrong_deployment: return "wrong_deployment";
    case errc::not_owner: return "not_owner";
    case errc::lease_lost: return "lease_lost";
    case errc::internal: return "internal";
    }
    return "internal";
}

std::string_view to_string(run_outcome it)
{
    switch (it)
    {
    case run_outcome::ran: return "ran";
    case run_outcome::not_run: return "not_run";
    case run_outcome::unknown: return "unknown";
    }
    return "unknown";
}

} // namespace runlink::core
