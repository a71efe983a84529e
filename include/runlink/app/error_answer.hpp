/// \file
/// Converts failures to HTTP error answers.
#pragma once

#include <string>

#include "runlink/core/request.hpp"
#include "runlink/net/http_server.hpp"

namespace runlink::app
{

/// Returns the HTTP status for a failure, 503 for codes without a status of their own.
int status_of(core::errc code);

/// Returns the JSON body of a failure: `{"error": {"code", "message", "outcome", "request_id"}}`.
std::string error_body(const core::refusal& it, const core::request_id& id);

/// Sends a failure as the complete answer, with `Runlink-Outcome` and, if the caller may retry, `Retry-After`
/// in seconds and `Runlink-Retry-After-Ms`.
void send_error(net::http_exchange& exchange, const core::refusal& it, const core::request_id& id);

} // namespace runlink::app
