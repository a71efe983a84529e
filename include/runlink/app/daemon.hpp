/// \file
/// An entry instance as a process.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <QTimer>

#include "runlink/app/caller_api.hpp"
#include "runlink/app/operator_api.hpp"
#include "runlink/app/platform_client.hpp"
#include "runlink/app/settings.hpp"
#include "runlink/core/clock.hpp"

namespace runlink::app
{

/// Wires an instance to the network and drives it from the event loop.
class daemon
{
public:
    daemon(settings options, std::vector<std::string> secrets);

    /// Opens the addresses. Fails with `settings_invalid`.
    core::result<void> start();
    /// Starts a planned stop; `on_stopped` is called when it is complete.
    void begin_stop();
    std::function<void()> on_stopped;

private:
    core::instance_options make_options(std::vector<std::string> secrets) const;
    core::instance_hooks make_edge();
    attempt_hooks make_attempt_hooks();
    void handle(const std::shared_ptr<net::http_exchange>& exchange);
    void tick();
    void poll_platform();

    settings settings_;
    core::clock_source clock_;
    core::incarnation_id incarnation_;
    observe::metrics metrics_;
    net::http_client client_;
    net::http_client store_client_;
    core::store_port store_;
    net::peer_link peers_;
    caller_api callers_;
    std::unique_ptr<core::instance> instance_;
    attempt_runner runner_;
    std::optional<platform_client> platform_;
    std::unique_ptr<operator_api> operators_;
    net::http_server server_;
    QTimer tick_timer_;
    QTimer platform_timer_;
    bool stopped_ = false;
};

} // namespace runlink::app
