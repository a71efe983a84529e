/// \file
/// Routes, keys and forwarder options for random histories, with timeouts scaled down to a few seconds.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::tests
{

constexpr core::milliseconds rollout_time{2500};

/// A kind of route that the forwarder treats differently.
struct declared_route
{
    routing::route_kind kind = routing::route_kind::safe;
    bool is_resumable = false;
    bool is_public = false;

    bool is_idempotent() const { return kind == routing::route_kind::safe || is_resumable; }
    core::milliseconds timeout() const;
};

/// Routes of the histories. The path prefix of a route is its index in this list.
const std::vector<declared_route>& declared_routes();
const core::service_id& declared_service();
/// The account of an API key; empty for an empty key.
core::account_id owner_of(const std::string& key);
routing::routing_table_ptr make_table(std::uint64_t version, const std::set<std::string>& keys);
/// Forwarder options. Even seeds get a small retry budget.
routing::forwarder_options make_options(std::uint64_t seed);

} // namespace runlink::tests
