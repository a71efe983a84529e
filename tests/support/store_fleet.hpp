/// \file
/// Instances that follow a model of the store, by themselves or by relays, on a manual clock.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/control/relay.hpp"
#include "runlink/control/store_follower.hpp"
#include "support/store_model.hpp"

namespace runlink::tests
{

/// One instance: its follower, its relay logic, and what it has been told of the store.
class fleet_instance
{
public:
    fleet_instance(store_model& store, core::instance_id id, core::failure_domain_id domain,
                   std::uint32_t link_mbps, control::relay_options options,
                   std::function<core::time_point()> clock);

    void start();
    void tick();
    /// The value of a key as this instance knows it.
    std::optional<std::string> value(const std::string& key) const;
    const std::map<std::string, std::string>& values() const { return values_; }
    /// The version of the configuration in force.
    std::uint64_t version() const { return version_; }
    control::store_follower& follower() { return follower_; }
    control::relay& relay() { return relay_; }
    std::optional<core::time_point> proven() const { return proven_; }

    /// Sends to other instances; set by the fleet.
    std::function<void(const core::instance_id& to, const control::sync_request&)> ask;
    std::function<void(const std::vector<core::instance_id>& to, const control::sync_reply&)> reply;

private:
    control::follower_hooks follower_hooks();
    control::relay_hooks relay_hooks();
    void apply(const control::kv_event& it);
    /// Like the daemon, takes no configuration of a lower version and no leaving back.
    void take(const std::string& key, const std::string& value);

    std::function<core::time_point()> clock_;
    std::map<std::string, std::string> values_;
    std::uint64_t version_ = 0;
    std::optional<core::time_point> proven_;
    control::store_follower follower_;
    control::relay relay_;
};

/// Instances in failure domains named by the first letter of their names. The relays are those whose names
/// end in 9.
class store_fleet
{
public:
    explicit store_fleet(const std::vector<std::string>& names);

    void advance(core::milliseconds by);
    fleet_instance& at(const std::string& name) { return *instances_.at(name); }
    const std::map<std::string, std::unique_ptr<fleet_instance>>& all() const { return instances_; }
    core::time_point now() const { return now_; }

    store_model store{[this] { return now_; }};
    std::set<std::string> cut_off; ///< instances that get no datagrams

private:
    core::time_point now_{core::seconds{100}};
    std::map<std::string, std::unique_ptr<fleet_instance>> instances_;
};

} // namespace runlink::tests
