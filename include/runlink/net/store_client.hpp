/// \file
/// HTTP client of the platform's key-value service.
///
/// - `GET /v1/kv/<key>` returns 200 with the value and its revision in `ETag`, or 404 if the key is absent.
/// - `GET /v1/kv/<key>?after=<revision>&wait_ms=<n>` is a long poll: it returns 200 as soon as the
///   revision is larger than `after`, or 304 when the wait is over.
/// - `PUT /v1/kv/<key>` with `If-None-Match: *` or `If-Match: "<revision>"` returns 200 with the new
///   revision in `ETag`, or 412 if the condition does not hold.
/// - `DELETE /v1/kv/<key>` returns 204.
///
/// Reads and writes treat any other status, and an incomplete response, as an outage.
#pragma once

#include <cstdint>
#include <string>

#include "runlink/core/store_port.hpp"
#include "runlink/net/http_client.hpp"

namespace runlink::net
{

/// Address of the service, and how long a call may go without receiving a byte.
struct store_address
{
    std::string host;
    std::uint16_t port = 0;
    int timeout_ms = 2000;
};

/// Creates a store port that calls the service through `client`, which must outlive the port.
core::store_port make_store_port(http_client& client, const store_address& address);

} // namespace runlink::net
