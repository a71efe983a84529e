/// \file
/// What endpoints say of themselves in the heads of their answers.
#pragma once

#include <optional>

#include "runlink/gateway/header_names.hpp"
#include "runlink/net/http_codec.hpp"
#include "runlink/routing/messages.hpp"

namespace runlink::gateway
{

/// What the answer to a request says of the endpoint that it was sent to, whatever its status. Nothing where
/// another process has answered (421), or where the answer does not name the request.
std::optional<routing::endpoint_statement> read_statement(const header_names& names,
                                                          const net::http_response_head& head,
                                                          const core::request_id& request);

} // namespace runlink::gateway
