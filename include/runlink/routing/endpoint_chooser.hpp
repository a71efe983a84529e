/// \file
/// Chooses the endpoint for an attempt by prompt cost, requests in flight and recent failures.
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
    milliseconds refusal_pause{150};     ///< backoff after a refusal for lack of capacity
    milliseconds first_ejection{800};    ///< backoff after a failed connection or repeated broken answers
    milliseconds longest_ejection{6000}; ///< the backoff doubles with each failure up to this
    std::uint32_t failures_to_eject = 2; ///< consecutive broken answers
    /// Number of requests in flight by which an endpoint of the own failure domain may exceed one of another
    /// failure domain and still be preferred, for its shorter network path.
    std::uint32_t local_domain_bonus = 1;
    /// Where the rotation among endpoints of equal cost begins. It should differ between instances: those
    /// that handle few requests see equal costs everywhere, and would all begin at the same endpoints.
    std::uint64_t rotation_start = 1;
    /// Endpoints of the own failure domain that are looked at for an idle one before all are compared.
    std::size_t max_idle_probes = 32;
    /// Endpoints that are considered as the home of a prompt, by falling score, before all are compared.
    std::size_t max_home_probes = 8;
    /// With tracked streams: endpoints drawn at random from each set that `sampled_choice` looks at.
    std::size_t sample_size = 2;
    placement_options placement;
};

/// Constraints of an attempt on its endpoint.
struct endpoint_need
{
    service_id service;
    std::optional<prompt_need> prompt; ///< only for services that run models
    rollout_control::choice versions;
    /// Endpoints of earlier attempts, which are not used again; may be null.
    const std::set<endpoint_id>* tried = nullptr;
    /// Whether the request may be sent to an endpoint now, given its failure domain, region and warm-up.
    std::function<bool(const endpoint_entry&)> may_use = [](const endpoint_entry&) { return true; };
};

/// Chooses endpoints. An endpoint that fails is avoided for an exponentially growing backoff.
class endpoint_chooser
{
public:
    endpoint_chooser(chooser_options options, failure_domain_id own_domain)
        : options_{options}, own_domain_{own_domain},
          placement_{options.placement, std::move(own_domain)}, rotation_{options.rotation_start}
    {
    }

    /// Returns an endpoint, or null if none may be used, and advances the rotation.
    const endpoint_entry* choose(time_point now, const endpoint_directory& from, const endpoint_need& need);
    /// Returns what `choose` would return, without advancing the rotation.
    const endpoint_entry* peek(time_point now, const endpoint_directory& from,
                               const endpoint_need& need) const;
    /// Advances the round-robin order among endpoints of equal cost.
    void rotate() { ++rotation_; }
    using candidates = std::vector<const endpoint_entry*>;
    /// Endpoints that meet the constraints of `need`, including those in backoff.
    candidates fitting(time_point now, const endpoint_directory& from, const endpoint_need& need) const;

    prompt_placement& placement() { return placement_; }
    const prompt_placement& placement() const { return placement_; }

    void started(const endpoint_id& id);
    void finished(const endpoint_id& id);
    /// A complete answer resets the failure count.
    void answered(const endpoint_id& id);
    /// The endpoint refused a request for lack of capacity.
    void refused(time_point now, const endpoint_id& id);
    /// A connection to the endpoint could not be established.
    void connect_failed(time_point now, const endpoint_id& id);
    /// Ends the backoff, since the failures were not due to the endpoint.
    void forgive(const endpoint_id& id);
    /// An answer failed or broke off.
    void answer_failed(time_point now, const endpoint_id& id);
    /// Drops the state of endpoints that are no longer in the directory and have no requests in flight.
    void keep_only(const endpoint_directory& directory);

    std::uint32_t in_flight(const endpoint_id& id) const;
    /// Requests that are added to the load of the endpoint for its network path.
    std::uint32_t extra_requests(const endpoint_entry& it) const
    {
        return it.failure_domain == own_domain_ ? 0U : options_.local_domain_bonus;
    }
    /// Whether the endpoint is in backoff, and used only if no other endpoint is available.
    bool is_backing_off(time_point now, const endpoint_id& id) const { return now < at(id).backoff_until; }

private:
    /// The endpoint with the highest score for a prompt, as found last. A request is placed twice: for its
    /// admission and for its send.
    struct ranked_home
    {
        const endpoint_group* group = nullptr;
        std::uint64_t revision = 0; ///< of the group
        prompt_hash shared;
        const endpoint_entry* endpoint = nullptr;
        std::uint64_t score = 0;
    };

    struct load
    {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0; ///< consecutive
        time_point backoff_until = time_point::min();
    };

    const load& at(const endpoint_id& id) const;
    /// Whether `it` meets the constraints, the preferences for a version included, and is not in backoff.
    bool is_preferred(time_point now, const endpoint_directory& from, const endpoint_need& need,
                      const endpoint_entry& it) const;
    bool is_idle(time_point now, const endpoint_need& need, const endpoint_entry& it) const;
    /// An idle endpoint of the own failure domain; null if none is found quickly.
    const endpoint_entry* find_idle(time_point now, const endpoint_directory& from,
                                    const endpoint_need& need) const;
    /// The endpoint of the group with the highest score below `below`; without an endpoint if there is none.
    static ranked_home best_below(const endpoint_group& group, const endpoint_need& need,
                                  std::uint64_t below);
    const ranked_home& top_home(const endpoint_group& group, const endpoint_need& need) const;
    /// The home of the prompt among the endpoints that `is_preferred` admits; nothing if it is not found
    /// quickly.
    std::optional<const endpoint_entry*> find_home(time_point now, const endpoint_directory& from,
                                                   const endpoint_need& need) const;
    /// The choice among all endpoints, made without looking at each; null if that is not possible.
    ///
    /// No endpoint is cheaper than an idle one of the own failure domain, but for those that have the shared
    /// parts of the prompt in their cache, and the home of the prompt.
    const endpoint_entry* quick_choice(time_point now, const endpoint_directory& from,
                                       const endpoint_need& need) const;
    /// The choice with tracked streams: the home of the prompt, and a few random endpoints of the own failure
    /// domain and of those that have the shared parts. Null if that finds none. One random endpoint of any
    /// failure domain keeps their loads even; more of them would be chosen by the oldest updates.
    ///
    /// What is known of other instances' sends is 60 to 300 ms old. If each instance compared all endpoints,
    /// those that choose within that time would all choose the same one.
    const endpoint_entry* sampled_choice(time_point now, const endpoint_directory& from,
                                         const endpoint_need& need) const;
    /// Adds up to `size` random endpoints of `from` that `is_preferred` admits.
    void add_sample(time_point now, const endpoint_directory& directory, const endpoint_need& need,
                    const candidates& from, std::size_t size, std::uint64_t seed, candidates& to) const;
    /// Endpoints of the own failure domain that have the shared parts of the prompt in their cache.
    candidates near_with_parts(time_point now, const endpoint_directory& from,
                               const endpoint_need& need) const;
    const endpoint_entry* compare_all(time_point now, const endpoint_directory& from,
                                      const endpoint_need& need) const;
    void eject(time_point now, load& it);
    /// The candidates that are not in backoff.
    candidates without_backoff(time_point now, const candidates& from) const;
    const endpoint_entry* lowest_cost(time_point now, const candidates& from, const prompt_need& need) const;
    const endpoint_entry* least_loaded(const candidates& from) const;

    chooser_options options_;
    failure_domain_id own_domain_;
    prompt_placement placement_;
    std::map<endpoint_id, load> loads_;
    mutable ranked_home last_home_; ///< memo of `top_home`
    std::uint64_t rotation_;        ///< index of the first candidate, for round-robin among equal costs
};

} // namespace runlink::routing
