/// \file
/// Transport-independent types of a caller's request and its answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::core
{

/// The value of the session header that starts a session.
inline constexpr const char* new_session = "new";

/// A request of an authenticated caller.
struct caller_request
{
    request_id id;
    account_id account;
    request_class cls{"standard"};
    std::optional<service_id> service; ///< set for a plain service; otherwise `model` is set
    model_id model;
    std::optional<version_id> version; ///< set if the caller asks for a specific version
    std::optional<idempotency_key> key;
    std::string session;    ///< empty, `new` or a session token
    bool repeatable = true; ///< may run more than once
    bool stream = false;
    bool quick = false;
    milliseconds deadline{60000};  ///< time from arrival
    std::string fingerprint;       ///< digest of target and body
    std::uint64_t prefix_hash = 0; ///< hash of the prompt's prefix; 0: none
};

/// Head of an answer to the caller.
struct answer_head
{
    int status = 200;
    std::string content_type;
    version_ref version;       ///< empty for a plain service
    std::string session_token; ///< empty outside a session
    run_outcome outcome = run_outcome::ran;
    bool replayed = false; ///< stored answer of an earlier request with the same idempotency key
};

/// Final result of a request that gets no complete answer.
struct refusal
{
    failure why;
    run_outcome outcome = run_outcome::not_run;
};

/// Token counts as reported by the inference engine.
struct token_usage
{
    token_count prompt{};
    token_count answer{};
};

/// End of an endpoint's answer. `tail` is the last part of the body, held back until the bill is safe.
struct endpoint_answer
{
    int status = 200;
    std::string content_type;
    std::string tail;
    token_usage usage;
};

/// Why an attempt ended without an answer.
struct attempt_loss
{
    failure why;
    bool may_have_run = true; ///< false only if the endpoint never received the complete request
};

} // namespace runlink::core
