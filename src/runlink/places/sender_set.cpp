#include "runlink/places/sender_set.hpp"

#include "runlink/core/hash.hpp"

namespace runlink::places
{

void sender_set::put(const core::instance_id& id)
{
    if (instances_.insert(id).second)
        drawn_.clear();
}

void sender_set::remove(const core::instance_id& id)
{
    if (id != self_ && instances_.erase(id) > 0)
        drawn_.clear();
}

bool sender_set::is_sender(const core::endpoint_id& endpoint, std::size_t count) const
{
    if (count >= instances_.size())
        return true;
    const auto found = drawn_.find(endpoint);
    if (found != drawn_.end())
        return found->second;
    return drawn_[endpoint] = draw(endpoint, count);
}

bool sender_set::draw(const core::endpoint_id& endpoint, std::size_t count) const
{
    const auto seed = core::stable_hash(endpoint.str());
    const auto own = core::stable_hash(self_.str(), seed);
    std::size_t ahead = 0;
    for (const auto& it : instances_)
        ahead += core::stable_hash(it.str(), seed) > own ? 1 : 0;
    return ahead < count;
}

} // namespace runlink::places
