/// \file
/// What instances of one failure domain have sent to endpoints, told to those of others now and then.
#pragma once

#include <map>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/routing/gossip_messages.hpp"

namespace runlink::routing
{

/// Time that an endpoint will still take to read what some instances have sent to it.
struct endpoint_load
{
    endpoint_hash endpoint;
    core::milliseconds left{};
};

/// The loads that the instances of one failure domain cause, or, without one, those of all others than the
/// receiver's.
struct load_digest
{
    core::failure_domain_id domain;
    std::vector<endpoint_load> loads;
};

/// Parameters of the exchange.
struct load_exchange_options
{
    /// Between two digests. Prompts are read for tens to hundreds of milliseconds; what is older than this
    /// would be mostly read.
    core::milliseconds interval{120};
    /// Loads below this are left out: they would be over before they are told.
    core::milliseconds least_load{30};
};

/// The latest digest of each other failure domain.
///
/// Answers fleets in which not all can be told of each prompt: in a fleet of 295 a short prompt expected no
/// wait and found 0.57 s for one in ten, because four fifths of what waits came from other failure domains
/// (time from `dispatched` to `stream_began` in the logs of 33 s). Work is a sum, so that each failure domain
/// tells its own part only.
class load_exchange
{
public:
    explicit load_exchange(load_exchange_options options = {}) : options_{options} {}

    const load_exchange_options& options() const { return options_; }
    void on_digest(core::time_point now, const load_digest& it);
    /// All of them together, less the time that has passed.
    load_digest merged(core::time_point now) const;

private:
    struct told
    {
        core::time_point at{};
        load_digest digest;
    };

    load_exchange_options options_;
    std::map<core::failure_domain_id, told> domains_;
};

} // namespace runlink::routing
