/// \file
/// Reference times of answers, and the classification of an answer by its flaws.
#pragma once

#include <map>
#include <optional>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/answer_counts.hpp"
#include "runlink/routing/typical_time.hpp"

namespace runlink::routing
{

/// What is known so far about one answer of an endpoint.
struct version_sample
{
    core::service_id service;
    core::version_id version;
    core::endpoint_id endpoint;
    answer_group group;
    bool is_bad = false;       ///< the request failed, or was lost after it may have run
    bool is_stalled = false;   ///< abandoned because no more data arrived
    bool is_open = false;      ///< no first byte yet; `first` is a lower bound
    core::duration first{};    ///< time to first byte; 0: not measured
    core::duration expected{}; ///< estimate of `first` from the backlog and the prompt; 0: unknown
    core::duration pace{};     ///< mean time between events; 0: not measured
};

/// Typical times of a service's answers, as measured by this instance.
class answer_times
{
public:
    /// Counts one answer with its flaws. Returns an empty count for a pending answer that shows no flaw so
    /// far.
    answer_counts classify(const version_sample& it) const;
    /// Adds a complete answer of a version that is not on trial to the typical times.
    void learn(const version_sample& it);

private:
    /// The time to the first byte that a sample is compared with.
    std::optional<core::duration> expected_first(const version_sample& it) const;

    std::map<answer_group, typical_time> first_; ///< time to first byte, where no estimate is available
    typical_time first_of_all_routes_;           ///< likewise, of answers without a model
    std::map<core::model_id, typical_time> pace_;
};

} // namespace runlink::routing
