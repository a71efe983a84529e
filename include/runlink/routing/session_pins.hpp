/// \file
/// Which version each session ran on last.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::routing
{

/// Remembers the version of a session for a time after its last request.
class session_pins
{
public:
    explicit session_pins(core::milliseconds ttl) : ttl_{ttl} {}

    void ran(core::time_point now, session_hash session, const core::version_id& version);
    std::optional<core::version_id> find(core::time_point now, session_hash session) const;
    /// The last run of each session that has not rested for too long.
    std::vector<session_run> all(core::time_point now) const;
    /// Forgets sessions that rested for too long.
    void expire(core::time_point now);
    std::size_t size() const { return pins_.size(); }

private:
    struct pin
    {
        core::version_id version;
        core::time_point last{};
    };

    core::milliseconds ttl_;
    std::map<session_hash, pin> pins_;
};

} // namespace runlink::routing
