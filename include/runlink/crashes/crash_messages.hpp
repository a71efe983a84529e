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
using endpoint_life = core::strong_number<struct endpoint_life_tag>;

endpoint_life life_hash(const core::endpoint_id& id);

/// A request that was running on an endpoint when the endpoint ended.
struct cut_run
{
    request_fingerprint request;
    core::milliseconds ran{}; ///< time since it was sent to the endpoint
};

/// An endpoint ended while it ran these requests of the reporting instance.
struct crash_report
{
    endpoint_life endpoint;
    std::vector<cut_run> running;
};

/// Announces that the sender runs a suspected request as a trial, or that the trial is over.
struct trial_notice
{
    request_fingerprint request;
    endpoint_life endpoint;
    bool is_over = false;    ///< it ended without a result
    bool has_reached = true; ///< its endpoint may have run the request
};

/// Whether a request makes endpoints end.
enum class conduct
{
    harmless, ///< it got a complete answer
    harmful,  ///< it makes endpoints end
};

struct request_finding
{
    request_fingerprint request;
    conduct what = conduct::harmless;
};

/// The content of one datagram.
struct crash_news
{
    std::vector<crash_report> reports;
    std::vector<trial_notice> trials;
    std::vector<request_finding> findings;

    bool empty() const { return reports.empty() && trials.empty() && findings.empty(); }
};

} // namespace runlink::crashes
