/// \file
/// Settings of a forwarding instance.
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

/// Forwarding parameters that operators may set. The defaults are those of the forwarder.
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

/// Duties that one instance at a time carries out for the deployment.
struct duty_settings
{
    net::peer_address address; ///< of the platform's interface for duties; port 0: there are no duties
    bool reports_usage = false;
    bool orders_endpoints = false;
    /// Time without a renewal after which another instance may take the duties over.
    core::milliseconds lease{3000};
    core::milliseconds report_window{5000};
    core::milliseconds report_lateness{10'000}; ///< a report is due this long after its window

    friend bool operator==(const duty_settings&, const duty_settings&) = default;
};

/// Contents of the settings file.
struct gateway_settings
{
    core::instance_id id;
    core::failure_domain_id failure_domain;
    std::uint32_t link_mbps = 0; ///< bandwidth of the instance's link; 0: unknown
    std::uint32_t memory_mb = 0; ///< memory that the process may use; 0: unknown
    /// Descriptors that the process may use; 0: as many as its own limit (RLIMIT_NOFILE) allows.
    std::uint32_t descriptors = 0;
    net::peer_address callers;
    net::peer_address readiness;
    net::peer_address peers; ///< receives datagrams from other instances
    /// IP addresses of instances to contact at the start. They receive datagrams on the port of `peers`.
    std::vector<std::string> seeds;
    std::uint16_t metrics_port = 0; ///< on the address of `callers`; 0: metrics are not served
    net::peer_address store;
    core::milliseconds stop_grace{8000};     ///< from the stop signal until the process is killed
    core::milliseconds key_revocation{5000}; ///< within this time, a removed key is rejected
    /// Whether all keys are rejected when the configuration could not be confirmed for `key_revocation`, for
    /// example because the store is unreachable. If false, the last known keys stay valid until the store is
    /// reachable again.
    bool keys_expire = true;
    core::milliseconds configuration_apply{2000}; ///< within this time, a change is in force on all instances
    core::milliseconds drain{2000}; ///< how long endpoints keep serving after they announce their shutdown
    core::milliseconds session_ttl{5000};
    core::milliseconds retry_window{10000};
    double retry_ratio = 0.9;     ///< retries per request, over all instances
    double retry_slack = 0;       ///< further retries in any window, over all instances
    double exposure_share = 0.15; ///< largest share of requests that a bad version may receive
    double exposure_slack = 1;    ///< further requests that it may receive, from all instances together
    places::region_map regions;   ///< region of each failure domain
    duty_settings duties;
    std::uint32_t log_lines_per_second = 400;
    forwarding_tuning tuning;
    load::load_options load;

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/// Parses settings from JSON and rejects unknown fields. Fails with `settings_invalid`; the detail lists
/// every fault with its path.
core::result<gateway_settings> parse_gateway_settings(std::string_view json);
/// Reads and parses a settings file; fails as `parse_gateway_settings` does, also if the file cannot be read.
core::result<gateway_settings> load_gateway_settings(const std::string& path);

} // namespace runlink::gateway
