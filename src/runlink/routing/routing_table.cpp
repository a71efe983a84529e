#include "runlink/routing/routing_table.hpp"

#include <algorithm>
#include <cctype>

namespace runlink::routing
{
namespace
{

/// The host in lower case, without a port.
std::string host_key(std::string_view host)
{
    std::string out{host.substr(0, host.rfind(':'))};
    for (auto& it : out)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return out;
}

} // namespace

routing_table::routing_table(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
                             std::vector<account> accounts, caller_limits limits)
    : version_{version}, routes_{std::move(routes)}, services_{std::move(services)},
      accounts_{std::move(accounts)}, limits_{limits}
{
    for (const auto& it : routes_)
        by_host_[host_key(it.host)].push_back(&it);
    const auto longer = [](const route* a, const route* b)
    { return a->path_prefix.size() > b->path_prefix.size(); };
    for (auto& [host, it] : by_host_)
        std::stable_sort(it.begin(), it.end(), longer);
    for (const auto& it : accounts_)
        for (const auto& key : it.keys)
            by_key_.emplace(key, &it);
}

const route* routing_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(host_key(host));
    if (found == by_host_.end())
        return nullptr;
    for (const auto* it : found->second)
        if (path.substr(0, it->path_prefix.size()) == it->path_prefix)
            return it;
    return nullptr;
}

const account* routing_table::find_account(const std::string& key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

const service* routing_table::find_service(const service_id& id) const
{
    const auto found =
        std::find_if(services_.begin(), services_.end(), [&](const auto& it) { return it.id == id; });
    return found == services_.end() ? nullptr : &*found;
}

} // namespace runlink::routing
