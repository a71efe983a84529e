/// \file
/// The deployment under test: instances as separate processes, stand-ins for the store and the endpoints, and
/// proxies between them.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QProcess>

#include "kv_standin.hpp"
#include "operator_documents.hpp"
#include "runlink/net/http_exchange.hpp"
#include "served_endpoint.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/promise_checker.hpp"

namespace runlink::soak
{

/// Paths, size and time limits of a fleet.
struct fleet_options
{
    std::string program;   ///< path of the daemon
    std::string directory; ///< holds one settings file and one log of each instance
    std::string shim; ///< library loaded into the instances, see `tests::hold_steady_clock`; empty for none
    /// Library that redirects the instances' connections to endpoints, each to proxies of its own; empty for
    /// none.
    std::string redirect_shim;
    int instances = 5;
    int engines = 4;
    int services = 3;
    bool answers_end_with_connection = false; ///< see `served_endpoint::ends_with_connection`
    double retry_ratio = 0.9;                 ///< retries for each request, over all instances
    double retry_slack = 50;                  ///< further retries in ten seconds, over all instances
    milliseconds stop_grace{8000};            ///< longer than callers wait, else a planned stop cuts streams
    milliseconds stream_timeout = standins::stream_timeout; ///< stream timeout of the route
    /// Delay, in each direction, between the store and every second instance. Proofs of the keys are old and
    /// changes late when they arrive there.
    milliseconds store_delay{0};
};

/// An endpoint behind a proxy.
struct proxied_endpoint
{
    standins::served_endpoint server;
    fault_proxy proxy;
    bool leaving = false;
    std::uint64_t lives = 1;

    proxied_endpoint(std::string id, std::string service, std::string version)
        : server{std::move(id), std::move(service), std::move(version)}, proxy{server.port()}
    {
    }
};

/// One instance and the proxy through which it reaches the store.
struct instance
{
    int number = 0;
    std::uint16_t caller_port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t peer_port = 0;
    std::unique_ptr<fault_proxy> store;
    std::vector<std::unique_ptr<fault_proxy>> paths; ///< to the endpoints, if they are redirected
    link_fault path_fault = link_fault::none;
    std::unique_ptr<QProcess> process;
    bool is_paused = false;
    bool is_expected_to_end = false;

    bool is_running() const { return process && process->state() == QProcess::Running; }
};

/// Starts the deployment on construction and kills the running instances on destruction.
class fleet
{
public:
    fleet(fleet_options options, promise_checker& checker);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start_instance(int n);
    void signal_instance(int n, int signal);
    /// Continues a stopped instance. With a shim, its steady clock is held back by `stopped_for`, as on a
    /// machine that was suspended.
    void resume_instance(int n, milliseconds stopped_for);
    /// Asks an instance's readiness address and passes whether it is ready; false if the request fails.
    void ask_readiness(int n, const std::function<void(bool)>& to);
    /// Applies a fault to all paths from an instance to endpoints.
    void set_path_fault(int n, link_fault it);
    void add_endpoint(const std::string& service, const std::string& version);
    void set_leaving(proxied_endpoint& it);
    /// Simulates the end of an endpoint's process. After `downtime` it is back at its address, alternately as
    /// a later life of the same id and under a new id. In the second case the old entry is removed after
    /// `entry_lifetime`.
    void end_endpoint(proxied_endpoint& it, milliseconds entry_lifetime, milliseconds downtime);
    void write_configuration(std::vector<std::string> keys);
    /// Replaces the store's contents by a copy. What the operator and the endpoints wrote since is written
    /// again.
    void return_store_from(const standins::kv_standin::snapshot& copy);
    /// Keys of the client account.
    const std::vector<std::string>& keys() const { return keys_; }

    standins::kv_standin& store() { return store_; }
    std::vector<instance>& instances() { return instances_; }
    std::vector<std::unique_ptr<proxied_endpoint>>& endpoints() { return endpoints_; }
    const fleet_options& options() const { return options_; }

private:
    void write_settings(const instance& it) const;
    void write_entry(const proxied_endpoint& it);
    /// Adds the path from an instance to an endpoint.
    void add_path(instance& from, const proxied_endpoint& to) const;
    void on_ended(int n, int code, QProcess::ExitStatus how);

    fleet_options options_;
    promise_checker& checker_;
    standins::kv_standin store_;
    std::uint16_t store_port_;
    std::vector<std::unique_ptr<proxied_endpoint>> endpoints_;
    std::vector<instance> instances_;
    net::connection_pool pool_;
    QObject context_; ///< cancels pending restarts when the fleet is destroyed
    std::vector<std::string> keys_;
    int configuration_ = 0;
    int next_endpoint_ = 1;
    bool is_ending_ = false;
};

} // namespace runlink::soak
