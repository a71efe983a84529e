/// \file
/// The HTTP interface of operators and of the load balancer.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "runlink/app/settings.hpp"
#include "runlink/core/clock.hpp"
#include "runlink/core/instance.hpp"
#include "runlink/net/http_server.hpp"
#include "runlink/net/peer_link.hpp"
#include "runlink/observe/metrics.hpp"

namespace runlink::app
{

/// Serves `/healthz`, `/readyz` and `/metrics` without a key, and `/v1/status`, `/v1/intents`, `/v1/plans`,
/// `/v1/configuration` and `/v1/explain` with an operator's key.
class operator_api
{
public:
    operator_api(const settings& options, core::instance& instance, const observe::metrics& metrics,
                 const net::peer_link& peers, core::store_port store, core::clock_source clock);

    void handle(const std::shared_ptr<net::http_exchange>& exchange);

private:
    bool is_operator(const net::http_request& it) const;
    void route(const std::shared_ptr<net::http_exchange>& exchange);
    void show_readiness(net::http_exchange& exchange) const;
    void show_metrics(net::http_exchange& exchange) const;
    void show_status(net::http_exchange& exchange) const;
    void make_plan(net::http_exchange& exchange) const;
    void confirm_plan(const std::shared_ptr<net::http_exchange>& exchange);
    void show_configuration(net::http_exchange& exchange) const;
    void show_revision(const std::shared_ptr<net::http_exchange>& exchange) const;
    void explain_routing(net::http_exchange& exchange);
    std::vector<observe::plain_metric> plain_metrics() const;

    const settings& settings_;
    core::instance& instance_;
    const observe::metrics& metrics_;
    const net::peer_link& peers_;
    core::store_port store_;
    core::clock_source clock_;
};

} // namespace runlink::app
