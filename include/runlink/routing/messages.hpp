/// \file
/// Input and output types of the forwarder, independent of the transport.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "runlink/core/contact.hpp"
#include "runlink/core/failure.hpp"
#include "runlink/core/http_status.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/crashes/element_fingerprint.hpp"
#include "runlink/load/plain_load.hpp"
#include "runlink/routing/endpoint_directory.hpp"

namespace runlink::routing
{

using core::account_id;
using core::attempt_id;
using core::model_id;
using core::request_id;
using core::session_id;

/// A segment of a prompt that several requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// A caller's request as received.
struct inbound_request
{
    request_id id;
    std::string host;
    std::string path;
    crashes::content_hash content;
    std::string key;                ///< empty without one
    core::milliseconds time_left{}; ///< time that the caller waits, counted from arrival
    session_id session;             ///< empty without one
    model_id model;                 ///< empty if the router chooses the model
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_new_tokens = 0;
    /// The caller's guess of the number of generated tokens: right in the median, often far off.
    std::optional<std::uint32_t> length_hint;
    std::uint32_t body_bytes = 0;
    std::vector<prompt_part> prompt;         ///< in order; the last segment is not shared
    std::optional<std::uint64_t> last_event; ///< ID of the last stream event that the caller has
};

/// Identifies a request within one instance.
using flow_id = core::strong_number<struct flow_tag>;

/// Instructs the HTTP edge to send a request to an endpoint.
struct attempt_order
{
    attempt_id id{};
    flow_id flow{};
    request_id request;
    endpoint_entry endpoint;
    core::instance_id via; ///< the instance that carries the connection; empty: direct
    account_id account;    ///< empty on routes without keys
    model_id model;        ///< empty: the model that the caller named
    int priority = 0;
    core::milliseconds time_left{};
    std::optional<std::uint64_t> last_event;
    bool runs_models = false;
    bool needs_new_connection =
        false; ///< no pooled connection, which may be closing: for requests that may run only once
};

/// The head of an endpoint's answer.
struct attempt_head
{
    core::http_status status = 500;
    bool not_run = false;   ///< the endpoint states that it did not run the request
    bool is_sealed = false; ///< carries the endpoint's digest
    bool is_event_stream = false;
    std::optional<int> confidence; ///< 0 to 100, the model's confidence in its answer
    /// Neither a length nor chunks: only the end of the connection tells that the answer is complete.
    bool ends_with_connection = false;
};

/// What an endpoint states about itself in the head of an answer.
struct endpoint_statement
{
    /// Requests per second that the endpoint accepts from all instances together; empty without a limit.
    std::optional<double> requests_per_s;
    bool is_limit_readable = true; ///< false: the limit header could not be parsed
    bool is_leaving = false;
    bool is_leaving_readable = true;
    /// The endpoint refused the request and wants no requests from this instance for this long.
    std::optional<core::duration> rest;
    bool is_rest_readable = true;
    /// The endpoint falls over if it refuses more requests than this in a second; empty if it is not brittle.
    std::optional<double> refusals_per_s;
    bool is_brittle_readable = true;
    std::optional<load::load_statement> load = std::nullopt;
    bool is_load_readable = true;
};

/// Why an attempt ended without a complete answer.
enum class attempt_loss
{
    not_sent,    ///< no byte of the request reached the endpoint
    not_carried, ///< not sent either: the instance that was to carry the connection did not
    withheld,    ///< not sent either: connected, but sending was no longer permitted
    broken,      ///< the connection or the answer broke; the request may have run
};

/// An error answer that the router itself sends.
struct refusal
{
    int status = 503;
    bool not_run = true; ///< the request did not run and will not run later
    core::failure why;
};

} // namespace runlink::routing
