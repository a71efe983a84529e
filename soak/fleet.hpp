/// \file
/// The deployment under test: real instances as processes, stand-ins for store and endpoints, proxies between
/// them.
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

/// Where the fleet's programs and files are, and how large it is.
struct fleet_options
{
    std::string program;   ///< the daemon
    std::string directory; ///< for settings and logs, one each an instance
    std::string shim;      ///< see `tests::suspension`; empty: none
    int instances = 5;
    int engines = 4;
    int services = 3;
    milliseconds stop_grace{8000}; ///< above the time that callers wait, or streams are cut as planned
    milliseconds stream_timeout = standins::stream_timeout; ///< of the route
    /// Every second instance is so far from the store: proofs are old, and news late, when they arrive.
    milliseconds store_distance{0};
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

/// One instance and its own way to the store.
struct instance
{
    int number = 0;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    std::unique_ptr<fault_proxy> store;
    std::unique_ptr<QProcess> process;
    bool is_paused = false;
    bool is_expected_to_end = false;

    bool is_running() const { return process && process->state() == QProcess::Running; }
};

/// Starts all of it, and ends only what it started.
class fleet
{
public:
    fleet(fleet_options options, promise_checker& checker);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start_instance(int n);
    void signal_instance(int n, int signal);
    /// Lets a stopped instance go on as a suspended machine would: its steady clock has not moved.
    void resume_instance(int n, milliseconds stopped_for);
    /// Whether the daemon says on its readiness address that it is ready.
    void ask_readiness(int n, const std::function<void(bool)>& to);
    void add_endpoint(const std::string& service, const std::string& version);
    void set_leaving(proxied_endpoint& it);
    /// The endpoint's process ends. Its entry runs out, and it is back at its address after that, under a new
    /// id or as a later life of the old one.
    void end_endpoint(proxied_endpoint& it, milliseconds entry_left, milliseconds away);
    void write_configuration(std::vector<std::string> keys);
    /// Of the client account.
    const std::vector<std::string>& keys() const { return keys_; }

    standins::kv_standin& store() { return store_; }
    std::vector<instance>& instances() { return instances_; }
    std::vector<std::unique_ptr<proxied_endpoint>>& endpoints() { return endpoints_; }
    const fleet_options& options() const { return options_; }

private:
    void write_settings(const instance& it) const;
    void on_ended(int n, int code, QProcess::ExitStatus how);

    fleet_options options_;
    promise_checker& checker_;
    standins::kv_standin store_;
    std::uint16_t store_port_;
    std::vector<std::unique_ptr<proxied_endpoint>> endpoints_;
    std::vector<instance> instances_;
    net::connection_pool pool_;
    QObject context_; ///< restarts that are due end with the fleet
    std::vector<std::string> keys_;
    int configuration_ = 0;
    int next_endpoint_ = 1;
    bool is_ending_ = false;
};

} // namespace runlink::soak
