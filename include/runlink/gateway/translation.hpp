/// \file
/// Converts between HTTP headers and the forwarder's messages.
#pragma once

#include <string>

#include "runlink/core/failure.hpp"
#include "runlink/gateway/header_names.hpp"
#include "runlink/net/http_codec.hpp"
#include "runlink/routing/messages.hpp"

namespace runlink::gateway
{

/// Parses a caller's request. Fails with `malformed_request`; the detail names the invalid field.
core::result<routing::inbound_request> read_request(const header_names& names,
                                                    const net::http_request_head& head);

/// Serializes the request to an endpoint. Fields that the router sets replace the caller's, and reserved and
/// hop-by-hop fields are removed. Method, target, body and all other fields are forwarded unchanged.
std::string write_attempt(const header_names& names, const net::http_request_head& from,
                          std::string_view body, const routing::attempt_order& order);

/// Parses the header of an endpoint's answer.
routing::attempt_head read_attempt_head(const header_names& names, const net::http_response_head& head);

/// Whether an answer belongs to the request. A surplus answer to an earlier request may arrive first on the
/// same connection. Answers with status 300 and above may lack the request id.
bool is_answer_to(const header_names& names, const net::http_response_head& head,
                  const core::request_id& request);

/// Header fields of an endpoint's answer that are forwarded to the caller.
net::http_fields forwarded_fields(const net::http_response_head& head);

/// Serializes an answer of the router itself, with a JSON body. Sends `Retry-After` in seconds, only if the
/// request did not run.
std::string write_refusal(const routing::refusal& it, const std::string& request, bool close);

} // namespace runlink::gateway
