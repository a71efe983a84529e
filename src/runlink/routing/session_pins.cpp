#include "runlink/routing/session_pins.hpp"

namespace runlink::routing
{

void session_pins::record_run(core::time_point now, session_hash session, const core::version_id& version)
{
    pins_[session] = {version, now};
}

std::optional<core::version_id> session_pins::find(core::time_point now, session_hash session) const
{
    const auto found = pins_.find(session);
    if (found == pins_.end() || now - found->second.last > ttl_)
        return std::nullopt;
    return found->second.version;
}

std::vector<session_run> session_pins::all(core::time_point now) const
{
    std::vector<session_run> out;
    for (const auto& [session, it] : pins_)
        if (now - it.last <= ttl_)
            out.push_back({session, it.version});
    return out;
}

void session_pins::expire(core::time_point now)
{
    std::erase_if(pins_, [&](const auto& it) { return now - it.second.last > ttl_; });
}

} // namespace runlink::routing
