/// \file
/// The header names that forwarded requests and answers carry.
#pragma once

#include <string>
#include <vector>

namespace runlink::gateway
{

/// Names in use at one deployment; the defaults are runlink's own.
struct header_names
{
    // From callers
    std::string request_id = "Runlink-Request-Id";
    std::string deadline_ms = "Runlink-Deadline-Ms";
    std::string key = "Runlink-Key";
    std::string session = "Runlink-Session";
    std::string model = "Runlink-Model";
    std::string tokens = "Runlink-Tokens"; ///< prompt tokens, then the most that may be generated
    std::string prompt = "Runlink-Prompt"; ///< ID:TOKENS, separated by commas
    std::string last_event = "Last-Event-Id";
    // To endpoints
    std::string account = "Runlink-Account";
    std::string expected_endpoint = "Runlink-Expected-Endpoint";
    std::string priority = "Runlink-Engine-Priority";
    // From endpoints
    std::string not_run = "Runlink-Not-Run";
    std::string digest = "Runlink-Digest";
    std::string confidence = "Runlink-Confidence";
    std::string limit = "Runlink-Limit";     ///< requests a second from all instances together
    std::string leaving = "Runlink-Leaving"; ///< 1: the endpoint leaves
    std::string rest = "Retry-After";        ///< of a 503, in seconds
    /// Set by the system only: what callers send under these names is dropped, whatever the spelling.
    std::vector<std::string> reserved;
    /// A model name by which callers leave the choice to the router.
    std::string any_model = "*";
};

} // namespace runlink::gateway
