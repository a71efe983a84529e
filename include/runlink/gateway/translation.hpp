/// \file
/// Between HTTP heads and the forwarder's messages.
#pragma once

#include <string>

#include "runlink/core/failure.hpp"
#include "runlink/gateway/header_names.hpp"
#include "runlink/net/http_codec.hpp"
#include "runlink/routing/messages.hpp"

namespace runlink::gateway
{

/// Reads a caller's request. Fails with `malformed_request` and the field that is wrong.
core::result<routing::inbound_request> read_request(const header_names& names,
                                                    const net::http_request_head& head);

/// The request as an endpoint gets it. Method, target, body and the caller's other fields stay as they are.
std::string write_attempt(const header_names& names, const net::http_request_head& from,
                          std::string_view body, const routing::attempt_order& order);

/// Reads the head of an endpoint's answer.
routing::attempt_head read_attempt_head(const header_names& names, const net::http_response_head& head);

/// Whether an answer belongs to the request; on one connection, a surplus answer of an earlier one may come
/// first. Refusals may lack the id.
bool is_answer_to(const header_names& names, const net::http_response_head& head,
                  const core::request_id& request);

/// The fields of an endpoint's answer that its caller gets.
net::http_fields forwarded_fields(const net::http_response_head& head);

/// An answer of our own, with a JSON body.
std::string write_refusal(const routing::refusal& it, const std::string& request, bool close);

} // namespace runlink::gateway
