/// \file
/// Which endpoint runs an attempt: where its prompt is read soonest, own requests in flight, recent failures.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/routing/endpoint_directory.hpp"
#include "runlink/routing/messages.hpp"
#include "runlink/routing/prompt_placement.hpp"
#include "runlink/routing/rollout_control.hpp"

namespace runlink::routing
{

/// Parameters of the choice.
struct chooser_options
{
    milliseconds refusal_pause{150};  ///< after an endpoint refused for want of room
    milliseconds first_ejection{800}; ///< after a connection did not come up, or answers broke in a row
    milliseconds longest_ejection{6000};
    std::uint32_t failures_to_eject = 2; ///< broken answers in a row
    /// Requests in flight at an endpoint of the own failure domain, over the least loaded one, that are
    /// accepted for the shorter way.
    std::uint32_t near_bonus = 1;
    placement_options placement;
};

/// What an attempt needs.
struct endpoint_need
{
    service_id service;
    std::optional<prompt_need> prompt; ///< of services that run models
    rollout_control::choice versions;
    const std::set<endpoint_id>* tried = nullptr;
    /// Whether the request may go to an endpoint now: by its failure domain, region and warm-up.
    std::function<bool(const endpoint_entry&)> may_use = [](const endpoint_entry&) { return true; };
};

/// Chooses endpoints. Endpoints that fail are put aside for a growing time.
class endpoint_chooser
{
public:
    endpoint_chooser(chooser_options options, failure_domain_id own_domain)
        : options_{options}, own_domain_{own_domain}, placement_{options.placement, std::move(own_domain)}
    {
    }

    /// An endpoint, or null if none may be used; the turn passes.
    const endpoint_entry* choose(time_point now, const endpoint_directory& from, const endpoint_need& need);
    /// The one that `choose` would give.
    const endpoint_entry* peek(time_point now, const endpoint_directory& from,
                               const endpoint_need& need) const;
    /// Where costs are equal, another endpoint comes first from now on.
    void pass_turn() { ++turn_; }
    using candidates = std::vector<const endpoint_entry*>;
    /// Endpoints that fit, those that are passed over for failures included.
    candidates fitting(time_point now, const endpoint_directory& from, const endpoint_need& need) const;

    prompt_placement& placement() { return placement_; }
    const prompt_placement& placement() const { return placement_; }

    void started(const endpoint_id& id);
    void finished(const endpoint_id& id);
    void answered(const endpoint_id& id);
    void refused(time_point now, const endpoint_id& id);
    void not_reached(time_point now, const endpoint_id& id);
    void broke(time_point now, const endpoint_id& id);
    /// Forgets what is known of endpoints that the directory has dropped.
    void keep_only(const endpoint_directory& directory);

    std::uint32_t in_flight(const endpoint_id& id) const;
    /// Whether it failed so lately that it is passed over where others may be used.
    bool is_aside(time_point now, const endpoint_id& id) const { return now < at(id).aside_until; }

private:
    struct load
    {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0; ///< in a row
        time_point aside_until = time_point::min();
    };

    const load& at(const endpoint_id& id) const;
    void eject(time_point now, load& it);
    candidates sound(time_point now, const candidates& from) const;
    const endpoint_entry* soonest(time_point now, const candidates& from, const prompt_need& need) const;
    const endpoint_entry* least_loaded(const candidates& from) const;

    chooser_options options_;
    failure_domain_id own_domain_;
    prompt_placement placement_;
    std::map<endpoint_id, load> loads_;
    std::uint64_t turn_ = 1; ///< where costs are equal, endpoints take turns
};

} // namespace runlink::routing
