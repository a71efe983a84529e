#include "runlink/routing/version_trial.hpp"

#include <algorithm>
#include <utility>

namespace runlink::routing
{
namespace
{

/// Number of endpoints listed in a message. Two show that a fault is not limited to one endpoint, some more
/// that it is not limited to two.
constexpr std::size_t most_reported_endpoints = 6;

bool has_flaw(const answer_counts& it)
{
    return std::any_of(it.with.begin(), it.with.end(), [](auto n) { return n > 0; });
}

} // namespace

std::string to_string(const version_fault& it)
{
    auto out = std::to_string(it.with_flaw) + " of " + std::to_string(it.answers) + " ";
    out += to_string(it.flaw);
    if (!it.route.empty())
        out += " on route " + it.route;
    if (!it.model.empty())
        out += " by model " + it.model.str();
    return out + ", evidence " + std::to_string(static_cast<int>(it.evidence));
}

// Counts

void version_trial::count(core::time_point now, const answer_group& group, bool is_new,
                          const core::endpoint_id& endpoint, const answer_counts& it)
{
    auto& of = groups_[group];
    auto& to = is_new ? of.fresh : of.old;
    to.own += it;
    to.pooled.add(now, it);
    if (!is_new)
        return;
    auto& seen = has_flaw(it) ? of.own_endpoints.flawed : of.own_endpoints.sound;
    seen.insert(hash_of(endpoint));
    of.endpoints.add(of.own_endpoints);
}

void version_trial::endpoint_sets::add(const endpoint_sets& it)
{
    flawed.insert(it.flawed.begin(), it.flawed.end());
    sound.insert(it.sound.begin(), it.sound.end());
}

std::vector<endpoint_hash> version_trial::first_few(const std::set<endpoint_hash>& all)
{
    std::vector<endpoint_hash> out;
    for (const auto& it : all)
        if (out.size() < most_reported_endpoints)
            out.push_back(it);
    return out;
}

void version_trial::on_peer(core::time_point now, const core::instance_id& peer,
                            const std::vector<version_evidence>& all)
{
    auto& known = peers_[peer];
    for (const auto& e : all)
    {
        auto& of = groups_[e.group];
        auto& before = known[e.group];
        of.fresh.pooled.add(now, e.fresh.since(before.fresh));
        of.old.pooled.add(now, e.old.since(before.old));
        before = {e.fresh, e.old};
        of.endpoints.add({{e.flawed.begin(), e.flawed.end()}, {e.sound.begin(), e.sound.end()}});
    }
}

std::vector<version_evidence> version_trial::own() const
{
    std::vector<version_evidence> out;
    for (const auto& [name, it] : groups_)
        if (it.fresh.own.all > 0)
            out.push_back({{},
                           0,
                           name,
                           it.fresh.own,
                           it.old.own,
                           first_few(it.own_endpoints.flawed),
                           first_few(it.own_endpoints.sound)});
    return out;
}

answer_counts version_trial::fresh() const
{
    answer_counts out;
    for (const auto& [name, it] : groups_)
        out += it.fresh.pooled.total();
    return out;
}

answer_counts version_trial::old() const
{
    answer_counts out;
    for (const auto& [name, it] : groups_)
        out += it.old.pooled.total();
    return out;
}

// Judgement

std::vector<version_trial::view> version_trial::views() const
{
    view all;
    std::map<std::string, view> by_route;
    std::map<core::model_id, view> by_model;
    for (const auto& [name, it] : groups_)
    {
        if (it.fresh.pooled.total().all == 0)
            continue;
        all.groups.push_back(&it);
        all.runs_models = all.runs_models || !name.model.empty();
        auto& route = by_route[name.route];
        route.route = name.route;
        route.runs_models = route.runs_models || !name.model.empty();
        route.groups.push_back(&it);
        auto& model = by_model[name.model];
        model.model = name.model;
        model.runs_models = !name.model.empty();
        model.groups.push_back(&it);
    }
    std::vector<view> out{std::move(all)};
    if (by_route.size() > 1)
        for (auto& [name, it] : by_route)
            out.push_back(std::move(it));
    if (by_model.size() > 1)
        for (auto& [name, it] : by_model)
            out.push_back(std::move(it));
    return out;
}

answer_pair version_trial::pair_of(const group& it, core::time_point now,
                                   std::optional<std::size_t> seconds) const
{
    if (!seconds)
        return {it.fresh.pooled.total(), it.old.pooled.total()};
    const auto old = it.old.pooled.latest(now, *seconds);
    return {it.fresh.pooled.latest(now, *seconds),
            old.all < options_.least_old ? it.old.pooled.total() : old};
}

bool version_trial::counts_in(answer_flaw flaw, trial_phase phase, bool runs_models)
{
    return phase == trial_phase::first_share || !runs_models || flaw == answer_flaw::failed ||
           flaw == answer_flaw::very_slow;
}

flaw_options version_trial::options_of(answer_flaw flaw, trial_phase phase) const
{
    switch (flaw)
    {
    case answer_flaw::failed: return options_.failed;
    case answer_flaw::late: return options_.late;
    case answer_flaw::slow: return options_.slow;
    case answer_flaw::very_slow: break;
    }
    auto out = options_.very_slow;
    if (phase == trial_phase::all_requests)
        out.tolerance = options_.very_slow_under_load;
    return out;
}

std::optional<double> version_trial::least_evidence(const view& it, double required, double required_alone)
{
    endpoint_sets all;
    for (const auto* e : it.groups)
        all.add(e->endpoints);
    if (all.flawed.size() > 1)
        return required;
    all.sound.insert(all.flawed.begin(), all.flawed.end());
    return all.sound.size() == 1 ? std::optional{required_alone} : std::nullopt;
}

std::optional<version_fault> version_trial::fault(core::time_point now, trial_phase phase) const
{
    return strongest(now, phase, options_.reject_evidence, options_.reject_evidence_alone);
}

std::optional<version_fault> version_trial::doubt(core::time_point now, trial_phase phase) const
{
    return strongest(now, phase, options_.hold_evidence, options_.reject_evidence);
}

std::optional<version_fault> version_trial::strongest(core::time_point now, trial_phase phase,
                                                      double required, double required_alone) const
{
    std::optional<version_fault> out;
    const auto look = [&](const view& it, double least, std::optional<std::size_t> seconds)
    {
        auto found = fault_in(it, now, phase, seconds);
        if (found && found->evidence > std::max(least, out ? out->evidence : 0))
            out = std::move(found);
    };
    for (const auto& it : views())
    {
        const auto least = least_evidence(it, required, required_alone);
        if (!least)
            continue;
        look(it, *least, std::nullopt);
        for (const auto seconds : options_.latest_seconds)
            look(it, *least, seconds);
    }
    return out;
}

std::optional<version_fault> version_trial::fault_in(const view& it, core::time_point now, trial_phase phase,
                                                     std::optional<std::size_t> seconds) const
{
    std::vector<answer_pair> pairs;
    answer_counts fresh;
    for (const auto* e : it.groups)
    {
        pairs.push_back(pair_of(*e, now, seconds));
        fresh += pairs.back().fresh;
    }
    std::optional<version_fault> out;
    for (const auto flaw : all_answer_flaws)
    {
        if (!counts_in(flaw, phase, it.runs_models) || fresh[flaw] < options_.least_flawed)
            continue;
        const auto evidence = evidence_of(pairs, flaw, options_of(flaw, phase), options_.comparison);
        if (evidence > (out ? out->evidence : 0))
            out = version_fault{it.route, it.model, flaw, fresh[flaw], fresh.all, evidence};
    }
    return out;
}

} // namespace runlink::routing
