/// \file
/// The process of one instance.
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

/// Connects an instance to the network, the store and the platform, and drives it from the Qt event loop.
class daemon
{
public:
    daemon(settings options, std::vector<std::string> secrets);

    /// Listens on the addresses of the settings. Fails with `settings_invalid`.
    core::result<void> start();
    /// Starts a planned stop; `on_stopped` is called when the stop is complete.
    void begin_stop();
    std::function<void()> on_stopped;

private:
    core::instance_options make_options(std::vector<std::string> secrets) const;
    core::instance_hooks make_instance_hooks();
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
    net::peer_link peer_link_;
    caller_api caller_api_;
    std::unique_ptr<core::instance> instance_;
    attempt_runner runner_;
    std::optional<platform_client> platform_;
    std::unique_ptr<operator_api> operator_api_;
    net::http_server server_;
    QTimer tick_timer_;
    QTimer platform_timer_;
    std::optional<core::time_point> idle_since_; ///< when a stopping instance had ended all its requests
    bool stopped_ = false;
};

} // namespace runlink::app
