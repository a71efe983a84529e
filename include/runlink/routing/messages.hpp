/// \file
/// What the forwarder takes and what it orders, free of any transport.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runlink/core/contact.hpp"
#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/crashes/request_fingerprint.hpp"
#include "runlink/routing/endpoint_directory.hpp"

namespace runlink::routing
{

using core::account_id;
using core::attempt_id;
using core::model_id;
using core::request_id;
using core::session_id;

/// A piece of a prompt that requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// A caller's request as it arrived.
struct inbound_request
{
    request_id id;
    std::string host;
    std::string path;
    crashes::content_hash content;
    std::string key;                ///< empty without one
    core::milliseconds time_left{}; ///< how long the caller waits, from its arrival
    session_id session;             ///< empty without one
    model_id model;                 ///< empty where the router chooses
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_new_tokens = 0;
    std::uint32_t body_bytes = 0;
    std::vector<prompt_part> prompt;         ///< in order; the last one is the request's own
    std::optional<std::uint64_t> last_event; ///< the caller has the stream up to here
};

/// Names a request inside one instance.
using flow_id = core::strong_number<struct flow_tag>;

/// Orders the edge to send a request to an endpoint.
struct attempt_order
{
    attempt_id id{};
    flow_id flow{};
    request_id request;
    endpoint_entry endpoint;
    account_id account; ///< empty on routes without keys
    model_id model;     ///< empty: as the caller said
    int priority = 0;
    core::milliseconds time_left{};
    std::optional<std::uint64_t> last_event;
    bool runs_models = false;
    bool fresh_connection = false; ///< a kept one may be closing: not for what may run only once
};

/// The head of an endpoint's answer.
struct attempt_head
{
    int status = 0;
    bool not_run = false;   ///< the endpoint says that it did not run the request
    bool is_sealed = false; ///< it carries the endpoint's digest
    bool is_event_stream = false;
    std::optional<int> confidence; ///< 0 to 100, the model's opinion of its answer
};

/// What an endpoint says of itself in the head of an answer.
struct endpoint_statement
{
    /// Requests a second that it takes from all instances together; nothing: it names no limit.
    std::optional<double> requests_per_s;
    bool is_limit_readable = true; ///< otherwise nothing is known of its limit
    bool is_leaving = false;
    bool is_leaving_readable = true;
    /// It wants nothing from this instance for so long; it has refused the request.
    std::optional<core::duration> rest;
    bool is_rest_readable = true;
};

/// Why an attempt ended without a whole answer.
enum class attempt_loss
{
    not_sent, ///< the endpoint has no byte of it
    withheld, ///< the same; it had its connection, and might not be sent any more
    broken,   ///< the connection or the answer broke; it may have run
};

/// An answer of our own.
struct refusal
{
    int status = 503;
    bool not_run = true; ///< the request did not run and never will
    core::failure why;
};

} // namespace runlink::routing
