#include "runlink/core/configuration.hpp"

#include <algorithm>

namespace runlink::core
{
namespace
{

template <class Range, class Id>
auto find_by_id(const Range& range, const Id& id) -> decltype(&*range.begin())
{
    const auto it = std::find_if(range.begin(), range.end(), [&](const auto& e) { return e.id == id; });
    return it == range.end() ? nullptr : &*it;
}

template <class Range, class Value>
bool contains(const Range& range, const Value& value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

} // namespace

std::string_view to_string(version_state it)
{
    switch (it)
    {
    case version_state::rolling_out: return "rolling_out";
    case version_state::serving: return "serving";
    case version_state::retiring: return "retiring";
    case version_state::withdrawn: return "withdrawn";
    }
    return "withdrawn";
}

bool may_be_stopped(const configuration& it, const version_ref& version)
{
    const auto* model = it.find_model(version.model);
    if (model == nullptr || model->stop_last_version)
        return true;
    return std::any_of(model->versions.begin(), model->versions.end(),
                       [&](const auto& e)
                       { return e.id != version.version && e.state != version_state::withdrawn; });
}

const version_settings* model_settings::find(const version_id& version) const
{
    return find_by_id(versions, version);
}

bool account_settings::allows(const version_ref& it) const
{
    return contains(allow, it.str()) || contains(allow, it.model.str() + "/*");
}

bool account_settings::allows_service(const service_id& it) const
{
    return contains(services, it);
}

bool endpoint_settings::serves(const version_ref& it) const
{
    return contains(versions, it);
}

const account_settings* configuration::find_account(const account_id& id) const
{
    return find_by_id(accounts, id);
}

const account_settings* configuration::find_account_by_key_hash(std::string_view hash) const
{
    const auto it = std::find_if(accounts.begin(), accounts.end(),
                                 [&](const auto& e) { return contains(e.key_hashes, hash); });
    return it == accounts.end() ? nullptr : &*it;
}

const model_settings* configuration::find_model(const model_id& id) const
{
    return find_by_id(models, id);
}

const version_settings* configuration::find_version(const version_ref& it) const
{
    const auto* model = find_model(it.model);
    return model == nullptr ? nullptr : model->find(it.version);
}

const service_settings* configuration::find_service(const service_id& id) const
{
    return find_by_id(services, id);
}

const pool_settings* configuration::find_pool(const pool_id& id) const
{
    return find_by_id(pools, id);
}

const pool_settings* configuration::pool_of(const endpoint_id& id) const
{
    const auto it = std::find_if(pools.begin(), pools.end(),
                                 [&](const auto& e) { return find_by_id(e.endpoints, id) != nullptr; });
    return it == pools.end() ? nullptr : &*it;
}

} // namespace runlink::core
