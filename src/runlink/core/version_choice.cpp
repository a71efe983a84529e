#include "runlink/core/version_choice.hpp"

#include <algorithm>
#include <vector>

#include "runlink/core/hash.hpp"

namespace runlink::core
{
namespace
{

struct weighted_version
{
    version_ref version;
    double weight = 0;
};

bool takes_new_work(version_state it)
{
    return it == version_state::serving || it == version_state::rolling_out;
}

/// Versions that are rolled out get their configured share; serving versions divide the rest equally.
std::vector<weighted_version> assign_weights(const std::vector<const version_settings*>& versions,
                                             const model_id& model)
{
    double rolling_percent = 0;
    double serving_count = 0;
    for (const auto* it : versions)
    {
        if (it->state == version_state::rolling_out)
            rolling_percent += it->share_percent;
        else
            serving_count += 1;
    }
    const double remaining_percent = std::max(0.0, 100.0 - rolling_percent);
    std::vector<weighted_version> out;
    for (const auto* it : versions)
    {
        const bool is_rolling = it->state == version_state::rolling_out;
        const double weight = is_rolling ? it->share_percent : remaining_percent / serving_count;
        if (weight > 0)
            out.push_back({{model, it->id}, weight});
    }
    return out;
}

} // namespace

result<version_ref> choose_version(const configuration& it, const account_settings& account,
                                   const caller_request& request, const version_filter& filter)
{
    const auto* model = it.find_model(request.model);
    if (model == nullptr)
        return failure{errc::unknown_model, request.model.str()};
    bool any_allowed = false;
    std::vector<const version_settings*> usable;
    std::vector<const version_settings*> held_back;
    for (const auto& e : model->versions)
    {
        const version_ref ref{model->id, e.id};
        if (!account.allows(ref))
            continue;
        any_allowed = true;
        if (!takes_new_work(e.state))
            continue;
        (filter(e, ref) ? usable : held_back).push_back(&e);
    }
    if (!any_allowed)
        return failure{errc::not_allowed, request.model.str()};
    const auto choices = assign_weights(usable, model->id);
    if (choices.empty())
        return failure{errc::version_withdrawn, request.model.str(), seconds{5}};
    const auto score = [&](const auto& e)
    { return rendezvous_score(request.id.str(), e.version.str(), e.weight); };
    return std::max_element(choices.begin(), choices.end(),
                            [&](const auto& a, const auto& b) { return score(a) < score(b); })
        ->version;
}

result<version_ref> check_version(const configuration& it, const account_settings& account,
                                  const version_ref& version, bool pinned)
{
    const auto* found = it.find_version(version);
    const auto withdrawn = pinned ? errc::session_version_withdrawn : errc::version_withdrawn;
    if (!account.allows(version))
        return failure{errc::not_allowed, version.str()};
    if (found == nullptr)
        return failure{pinned ? withdrawn : errc::unknown_version, version.str()};
    if (found->state == version_state::withdrawn || (!pinned && !takes_new_work(found->state)))
        return failure{withdrawn, version.str()};
    return version;
}

} // namespace runlink::core
