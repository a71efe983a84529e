/// \file
/// Names of the HTTP header fields of forwarded requests and answers.
#pragma once

#include <string>
#include <vector>

namespace runlink::gateway
{

/// Header names of a deployment; the defaults are those of runlink.
struct header_names
{
    // From callers
    std::string request_id = "Runlink-Request-Id";
    std::string deadline_ms = "Runlink-Deadline-Ms";
    std::string key = "Runlink-Key";
    std::string session = "Runlink-Session";
    std::string model = "Runlink-Model";
    std::string tokens = "Runlink-Tokens"; ///< prompt tokens and maximum new tokens, separated by a comma
    std::string prompt = "Runlink-Prompt"; ///< parts of the prompt as ID:TOKENS, separated by commas
    std::string length_hint = "Runlink-Length-Hint"; ///< the caller's guess of the generated tokens
    std::string last_event = "Last-Event-Id";
    // To endpoints
    std::string account = "Runlink-Account";
    std::string expected_endpoint = "Runlink-Expected-Endpoint";
    std::string priority = "Runlink-Engine-Priority";
    // From endpoints
    std::string not_run = "Runlink-Not-Run";
    std::string digest = "Runlink-Digest";
    std::string confidence = "Runlink-Confidence";
    std::string limit = "Runlink-Limit";     ///< requests per second, over all instances
    std::string leaving = "Runlink-Leaving"; ///< 1: the endpoint is shutting down
    std::string brittle = "Runlink-Brittle"; ///< refusals in a second that the endpoint bears
    std::string load = "Runlink-Load";       ///< requests running and waiting, slots, pace in hundredths
    std::string rest = "Retry-After";        ///< in seconds; read from a 503 only
    /// Fields that only the router may set. They are removed from callers' requests, in any letter case and
    /// with underscores for dashes.
    std::vector<std::string> reserved;
    /// Model name with which callers let the router choose the model.
    std::string any_model = "*";
};

} // namespace runlink::gateway
