/// \file
/// Messages between instances about endpoints that ended and the requests that ran on them.
///
/// An endpoint ends when its process exits or crashes. A restarted endpoint has a new id.
#pragma once

#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/crashes/element_fingerprint.hpp"

namespace runlink::crashes
{

/// Hash of an endpoint id.
using endpoint_id_hash = core::strong_number<struct endpoint_life_tag>;

endpoint_id_hash hash_of_endpoint_id(const core::endpoint_id& id);

/// An element of requests that were running on an endpoint when the endpoint ended.
struct interrupted_element
{
    element_fingerprint element;
    core::milliseconds run_duration{}; ///< time since the first of them was sent to the endpoint
};

/// An endpoint ended while it ran requests of the reporting instance with these elements. Leaves out elements
/// that were answered completely since.
struct crash_report
{
    endpoint_id_hash endpoint;
    std::vector<interrupted_element> running;
};

/// Announces that the sender runs a request with a suspected element as a trial, or that the trial is over.
struct trial_notice
{
    element_fingerprint element;
    endpoint_id_hash endpoint;
    bool is_over = false;    ///< it ended without a result
    bool has_reached = true; ///< its endpoint may have run the request
};

/// Whether requests with an element make endpoints end.
enum class element_effect
{
    harmless, ///< one of them got a complete answer
    harmful,  ///< they make endpoints end
};

struct element_finding
{
    element_fingerprint element;
    element_effect what = element_effect::harmless;
    /// Elements that were in all requests that showed the harm: only requests with all of them are known to
    /// be harmful.
    std::vector<element_fingerprint> companions{};
};

/// The content of one datagram.
struct crash_message
{
    std::vector<crash_report> reports;
    std::vector<trial_notice> trials;
    std::vector<element_finding> findings;

    bool empty() const { return reports.empty() && trials.empty() && findings.empty(); }
};

} // namespace runlink::crashes
