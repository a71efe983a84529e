/// \file
/// Messages between instances about endpoints that ended and the requests that ran on them.
///
/// An endpoint ends when its process exits or crashes. A restarted endpoint has a new id.
#pragma once

#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/crashes/request_fingerprint.hpp"

namespace runlink::crashes
{

/// Hash of an endpoint id.
using endpoint_id_hash = core::strong_number<struct endpoint_life_tag>;

endpoint_id_hash hash_of_endpoint_id(const core::endpoint_id& id);

/// A request that was running on an endpoint when the endpoint ended.
struct interrupted_request
{
    request_fingerprint request;
    core::milliseconds run_duration{}; ///< time since it was sent to the endpoint
};

/// An endpoint ended while it ran these requests of the reporting instance.
struct crash_report
{
    endpoint_id_hash endpoint;
    std::vector<interrupted_request> running;
};

/// Announces that the sender runs a suspected request as a trial, or that the trial is over.
struct trial_notice
{
    request_fingerprint request;
    endpoint_id_hash endpoint;
    bool is_over = false;    ///< it ended without a result
    bool has_reached = true; ///< its endpoint may have run the request
};

/// Whether a request makes endpoints end.
enum class request_effect
{
    harmless, ///< it got a complete answer
    harmful,  ///< it makes endpoints end
};

struct request_finding
{
    request_fingerprint request;
    request_effect what = request_effect::harmless;
};

/// The content of one datagram.
struct crash_message
{
    std::vector<crash_report> reports;
    std::vector<trial_notice> trials;
    std::vector<request_finding> findings;

    bool empty() const { return reports.empty() && trials.empty() && findings.empty(); }
};

} // namespace runlink::crashes
