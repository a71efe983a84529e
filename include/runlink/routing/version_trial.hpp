/// \file
/// Collects the answer counts of the old and the new version during a roll-out, from this instance and its
/// peers, and decides when the new version is faulty.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/routing/answer_counts.hpp"
#include "runlink/routing/gossip_messages.hpp"
#include "runlink/routing/version_comparison.hpp"

namespace runlink::routing
{

/// How much of the traffic the new version gets.
enum class trial_phase
{
    first_share,  ///< a small share, in parallel with the old version
    all_requests, ///< all traffic; its endpoints carry the full load with empty prompt caches
};

/// Parameters of a trial.
struct trial_options
{
    comparison_options comparison;
    /// A sound version fails only by crashes of its endpoints.
    flaw_options failed{0.01, 0.003};
    /// Answers that are several times slower delay all answers that share an inference engine with them: 12 %
    /// of answers at eight times the usual time, or 40 % at four times, made all answers of a large
    /// deployment 1.8 or 2 times slower. The share of late first bytes of the larger model rose from 25 % to
    /// between 85 and 90 %.
    flaw_options late{0.3, 0.1};
    flaw_options slow{0.1, 0.05};
    flaw_options very_slow{0.05, 0.03};
    /// Evidence above which a version is rejected. One comparison in 20,000 is wrong by chance; a roll-out
    /// makes hundreds of strongly correlated comparisons.
    double reject_evidence = 10;
    /// The threshold if all answers came from a single endpoint, which may be faulty itself.
    double reject_evidence_alone = 20;
    /// Minimum number of flawed answers. Fewer may have a single cause outside the version.
    std::uint32_t least_flawed = 3;
    /// Evidence above which a version is not declared good while there is time left. One comparison in eight
    /// is above it by chance, which is acceptable as waiting costs nothing.
    double hold_evidence = 2;
    /// Evidence above which a version is rejected when no time is left. One comparison in 50 is wrong by
    /// chance.
    double deadline_evidence = 3;
    /// Lengths of the time windows that are examined in addition to the total since the order: the longer for
    /// a fault that begins late, the shorter for one that begins with the step to all requests.
    std::array<std::size_t, 2> latest_seconds{5, 2};
    /// Minimum number of old answers in a window. With fewer, all old answers since the order are used
    /// instead.
    std::uint32_t least_old = 50;
    /// Tolerance for `very_slow` answers once the new version gets all requests, since new endpoints are then
    /// slow even without a fault.
    double very_slow_under_load = 0.2;
};

/// Evidence against a version.
struct version_fault
{
    std::string route;    ///< empty: all routes
    core::model_id model; ///< empty: all models
    answer_flaw flaw = answer_flaw::failed;
    std::uint32_t with_flaw = 0;
    std::uint32_t answers = 0;
    double evidence = 0;
};
std::string to_string(const version_fault& it);

/// Evidence of one roll-out.
class version_trial
{
public:
    explicit version_trial(trial_options options) : options_{options} {}

    /// Counts an answer at this instance, or further flaws of an answer that is already counted.
    void count(core::time_point now, const answer_group& group, bool is_new,
               const core::endpoint_id& endpoint, const answer_counts& it);
    /// Takes the counts of a peer since the order, which replace its earlier ones.
    void on_peer(core::time_point now, const core::instance_id& peer,
                 const std::vector<version_evidence>& all);
    /// The counts of this instance since the order; `service` and `order_revision` are left empty.
    std::vector<version_evidence> own() const;

    /// The fault with the most evidence, if the evidence suffices to reject the new version.
    std::optional<version_fault> fault(core::time_point now, trial_phase phase) const;
    /// The fault with the most evidence, if the evidence suffices not to declare the new version good yet.
    std::optional<version_fault> doubt(core::time_point now, trial_phase phase) const;
    const trial_options& options() const { return options_; }

    answer_counts fresh() const;
    answer_counts old() const;
    std::size_t peer_count() const { return peers_.size(); }

private:
    struct side
    {
        answer_window pooled; ///< counts of this instance and its peers
        answer_counts own;    ///< counts of this instance
    };
    struct endpoint_sets
    {
        std::set<endpoint_hash> flawed; ///< with a flawed answer
        std::set<endpoint_hash> sound;  ///< with a flawless answer

        void add(const endpoint_sets& it);
    };
    struct group
    {
        side fresh;
        side old;
        endpoint_sets endpoints;     ///< endpoints of the new version
        endpoint_sets own_endpoints; ///< of these, those with answers at this instance
    };
    /// Counts that a peer reported last.
    struct reported
    {
        answer_counts fresh;
        answer_counts old;
    };
    /// A set of groups that is tested as a whole.
    struct view
    {
        std::string route;
        core::model_id model;
        bool runs_models = false;
        std::vector<const group*> groups;
    };

    /// One view of all groups, one per route and one per model. Separate views keep the fault of one route or
    /// model from being hidden by the others, and the combined view finds a fault that affects all of them
    /// sooner. Times to first byte vary more for small models than for large ones; with both in one view,
    /// half of a version's evidence was lost.
    std::vector<view> views() const;
    /// Counts of the latest `seconds`, or since the order if not given.
    answer_pair pair_of(const group& it, core::time_point now, std::optional<std::size_t> seconds) const;
    flaw_options options_of(answer_flaw flaw, trial_phase phase) const;
    /// Whether a flaw is tested in a phase. New endpoints that run models answer slowly while their caches of
    /// prompts are empty.
    static bool counts_in(answer_flaw flaw, trial_phase phase, bool runs_models);
    /// The fault with the most evidence over all views and windows, if it exceeds the required evidence.
    std::optional<version_fault> strongest(core::time_point now, trial_phase phase, double required,
                                           double required_alone) const;
    std::optional<version_fault> fault_in(const view& it, core::time_point now, trial_phase phase,
                                          std::optional<std::size_t> seconds) const;
    /// The evidence required for a view, or null if a single endpoint of several accounts for all flaws.
    static std::optional<double> least_evidence(const view& it, double required, double required_alone);
    static std::vector<endpoint_hash> first_few(const std::set<endpoint_hash>& all);

    trial_options options_;
    std::map<answer_group, group> groups_;
    std::map<core::instance_id, std::map<answer_group, reported>> peers_;
};

} // namespace runlink::routing
