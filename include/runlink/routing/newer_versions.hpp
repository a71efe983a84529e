/// \file
/// Versions of the configuration that other instances have in force and this one does not.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

using core::time_point;

/// Keeps since when a newer configuration has been known to exist.
class newer_versions
{
public:
    /// Another instance has this version in force. Returns whether the version was unknown and is newer.
    bool on_known(time_point now, std::uint64_t version);
    /// This instance has the version in force.
    void on_applied(std::uint64_t version);
    /// The version in force was the newest at this time. Newer ones that were known before are gone, for
    /// example with a store that returned from an older copy.
    void on_proven(time_point at);
    /// Since when the oldest of the newer versions has been known; empty if there is none.
    std::optional<time_point> since() const;
    /// The newest known version.
    std::uint64_t newest() const;

private:
    std::uint64_t in_force_ = 0;
    std::map<std::uint64_t, time_point> known_since_; ///< of versions that are newer than the one in force
};

} // namespace runlink::routing
