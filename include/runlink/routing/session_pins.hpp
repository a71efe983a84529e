/// \file
/// The version that each session ran on last.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::routing
{

/// Keeps the version of each session for a fixed time after its last run.
class session_pins
{
public:
    explicit session_pins(core::milliseconds ttl) : ttl_{ttl} {}

    /// Records a run of a session.
    void record_run(core::time_point now, session_hash session, const core::version_id& version);
    std::optional<core::version_id> find(core::time_point now, session_hash session) const;
    /// The last run of each session within the TTL.
    std::vector<session_run> all(core::time_point now) const;
    /// Removes sessions whose last run is older than the TTL.
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
