/// \file
/// Parses callers' HTTP requests.
#pragma once

#include <string>
#include <string_view>

#include "runlink/core/configuration.hpp"
#include "runlink/core/request.hpp"
#include "runlink/net/http_server.hpp"

namespace runlink::app
{

/// A parsed caller's request with the body for its endpoint.
struct parsed_caller_request
{
    core::caller_request request;
    /// For a completion, the JSON into which `body_for_endpoint` writes the chosen version; otherwise the
    /// body as received.
    std::string body;
    std::string content_type;
};

/// Returns the key of an `Authorization: Bearer` header; empty when there is none.
std::string bearer_key(const net::http_request& it);

/// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256_hex(std::string_view data);

/// Returns the HMAC-SHA-256 code in lower-case hexadecimal.
std::string hmac_sha256_hex(std::string_view secret, std::string_view text);

/// Parses a request for completions. Fails with `malformed_request`; the detail names the JSON path or the
/// header at fault.
core::result<parsed_caller_request> read_completion(const net::http_request& it,
                                                    const core::account_settings& account,
                                                    const core::request_id& id);

/// Parses a call of a service without a model. Fails with `malformed_request`; the detail names the header at
/// fault.
core::result<parsed_caller_request> read_service_call(const net::http_request& it,
                                                      const core::account_settings& account,
                                                      const core::request_id& id);

/// Returns the caller's body with the chosen version as its model and, for a stream, with the option that
/// makes the endpoint report its token usage.
std::string body_for_endpoint(const std::string& body, const core::version_ref& version);

} // namespace runlink::app
