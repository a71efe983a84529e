#include "runlink/app/error_answer.hpp"

#include <nlohmann/json.hpp>

namespace runlink::app
{

using core::errc;

int status_of(errc code)
{
    switch (code)
    {
    case errc::malformed_request:
    case errc::unknown_field:
    case errc::session_token_invalid:
    case errc::plan_invalid:
    case errc::configuration_invalid:
    case errc::settings_invalid:
    case errc::wrong_deployment: return 400;
    case errc::unauthenticated: return 401;
    case errc::not_allowed: return 403;
    case errc::unknown_model:
    case errc::unknown_version:
    case errc::unknown_service: return 404;
    case errc::request_in_progress:
    case errc::request_unknown:
    case errc::answer_not_kept:
    case errc::plan_conflict:
    case errc::session_version_withdrawn: return 409;
    case errc::version_withdrawn: return 410;
    case errc::body_too_large: return 413;
    case errc::key_reused: return 422;
    case errc::account_limit: return 429;
    case errc::endpoint_lost:
    case errc::endpoint_answer_invalid: return 502;
    case errc::deadline_exceeded: return 504;
    case errc::internal: return 500;
    default: return 503;
    }
}

std::string error_body(const core::refusal& it, const core::request_id& id)
{
    const nlohmann::json body{{"error",
                               {{"code", std::string{to_string(it.why.code)}},
                                {"message", it.why.detail},
                                {"outcome", std::string{to_string(it.outcome)}},
                                {"request_id", id.str()}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

void send_error(net::http_exchange& exchange, const core::refusal& it, const core::request_id& id)
{
    net::header_list headers{{"Content-Type", "application/json"},
                             {"Runlink-Request-Id", id.str()},
                             {"Runlink-Outcome", std::string{to_string(it.outcome)}}};
    if (it.why.retry_after)
    {
        const auto ms = it.why.retry_after->count();
        headers.emplace_back("Retry-After", std::to_string((ms + 999) / 1000));
        headers.emplace_back("Runlink-Retry-After-Ms", std::to_string(ms));
    }
    exchange.send(status_of(it.why.code), headers, error_body(it, id));
}

} // namespace runlink::app
