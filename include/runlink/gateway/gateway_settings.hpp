/// \file
/// The settings of an instance that forwards requests.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/net/http_exchange.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::gateway
{

/// Parameters of the decisions that operators may set; the defaults are the forwarder's own.
struct forwarding_tuning
{
    bool start_small = routing::cascade_options{}.start_small;
    int accept_confidence = routing::cascade_options{}.accept_confidence;
    int accept_confidence_late = routing::cascade_options{}.accept_confidence_late;
    core::milliseconds far_per_kb =
        std::chrono::floor<core::milliseconds>(routing::placement_options{}.far_per_kb);
    int late_weight = routing::placement_options{}.late_weight;
    core::milliseconds least_told = routing::placement_options{}.least_told;
    double again_weight = routing::placement_options{}.again_weight;
    core::milliseconds prompts_kept_for = routing::kept_prompts_options{}.kept_for;
    std::size_t cold_senders = places::warm_up_options{}.senders;
    double hedge_after = routing::forwarder_options{}.hedge_after;
    double move_after = routing::forwarder_options{}.move_after;
    double stall_after = routing::forwarder_options{}.stall_after;

    friend bool operator==(const forwarding_tuning&, const forwarding_tuning&) = default;
};

/// What the settings file holds.
struct gateway_settings
{
    core::instance_id id;
    core::failure_domain_id failure_domain;
    std::uint32_t link_mbps = 0; ///< of the instance's link; 0: not known
    net::peer_address callers;
    net::peer_address readiness;
    net::peer_address peers; ///< datagrams from other instances
    /// IP numbers of instances that may be there at the start; they take datagrams on the port of `peers`.
    std::vector<std::string> seeds;
    std::uint16_t metrics_port = 0; ///< on the callers' address; 0: no metrics
    net::peer_address store;
    core::milliseconds stop_grace{8000};     ///< the process is killed this long after it was told to stop
    core::milliseconds key_revocation{5000}; ///< a removed key admits nothing after this
    /// Whether keys admit nothing once the configuration was not proved for that long, as while the store is
    /// away. Otherwise the last known ones hold until the store is heard again.
    bool keys_expire = true;
    core::milliseconds configuration_apply{2000}; ///< a change is in force everywhere after this
    core::milliseconds drain{2000}; ///< for which endpoints serve on after they said that they leave
    core::milliseconds session_ttl{5000};
    core::milliseconds retry_window{10000};
    double retry_ratio = 0.9;     ///< repeats for each request, of all instances
    double exposure_share = 0.15; ///< of requests that a bad version may get
    places::region_map regions;   ///< of all failure domains
    std::uint32_t log_lines_per_second = 400;
    forwarding_tuning tuning;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/// Reads settings strictly. Fails with `settings_invalid`; the detail holds every fault with its path.
core::result<gateway_settings> parse_gateway_settings(std::string_view json);
core::result<gateway_settings> load_gateway_settings(const std::string& path);

} // namespace runlink::gateway
