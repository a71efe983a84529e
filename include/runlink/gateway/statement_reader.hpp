/// \file
/// Reads what endpoints report about themselves in the headers of their answers.
#pragma once

#include <optional>

#include "runlink/gateway/header_names.hpp"
#include "runlink/net/http_codec.hpp"
#include "runlink/routing/messages.hpp"

namespace runlink::gateway
{

/// Reads the limit, shutdown notice and requested rest from an answer of any status; the rest is read from a
/// 503 only. Returns nothing if another process answered (421), or if the answer does not carry the request's
/// id.
std::optional<routing::endpoint_statement> read_statement(const header_names& names,
                                                          const net::http_response_head& head,
                                                          const core::request_id& request);

} // namespace runlink::gateway
