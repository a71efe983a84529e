/// \file
/// Keeps the findings about harmful requests in the store, so that they survive a restart of all instances.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "runlink/core/units.hpp"
#include "runlink/crashes/element_fingerprint.hpp"

namespace runlink::control
{

/// Parameters of the registry.
struct finding_options
{
    core::milliseconds retry_after{1000};
    std::size_t max_listed = 256;  ///< findings in the store; further ones are kept in memory only
    std::size_t max_per_call = 32; ///< writes and removals in one call
};

/// Findings to write and remove in one store call.
struct finding_batch
{
    std::vector<crashes::element_fingerprint> put;
    std::vector<crashes::element_fingerprint> removed;
};

/// Writes the findings of this instance to the store, with retries, and removes expired ones.
///
/// Without these records, if all instances restart at once, each of them would have to detect the harmful
/// requests again, and some endpoints would crash in the process.
class finding_registry
{
public:
    using done_handler = std::function<void(bool is_done)>;
    using writer = std::function<void(const finding_batch&, done_handler)>;

    finding_registry(finding_options options, writer write);
    finding_registry(const finding_registry&) = delete;
    finding_registry& operator=(const finding_registry&) = delete;

    /// Schedules a write of a new finding. Returns false if the store holds `max_listed` findings already.
    bool found(core::time_point now, crashes::element_fingerprint it);
    /// Schedules the removal of an expired finding.
    void expired(core::time_point now, crashes::element_fingerprint it);
    /// The store holds the finding (`listed`), or no longer holds it (`unlisted`).
    void listed(crashes::element_fingerprint it);
    void unlisted(crashes::element_fingerprint it) { listed_.erase(it); }
    /// All findings in the store.
    const std::set<crashes::element_fingerprint>& all() const { return listed_; }

    void tick(core::time_point now);
    std::optional<core::time_point> next_due() const { return next_call_; }

private:
    /// Schedules the next call for this time, or earlier if one is due earlier.
    void schedule(core::time_point at);
    void on_done(core::time_point now, const finding_batch& batch, bool is_done);

    finding_options options_;
    writer write_;
    std::set<crashes::element_fingerprint> listed_;
    std::set<crashes::element_fingerprint> to_put_;
    std::set<crashes::element_fingerprint> to_remove_;
    std::optional<core::time_point> next_call_;
    bool is_writing_ = false;
};

} // namespace runlink::control
