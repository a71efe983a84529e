/// \file
/// A small deployment on loopback addresses: a store, gateways as processes, and helpers for stand-ins of
/// workers and clients. One thread serves each connection. Everything speaks HTTP/1.1 as PROTOCOL.md says.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace lab
{

using nlohmann::json;
using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Seconds since the program started.
double seconds();
void sleep_ms(int ms);

/// Start line and header fields of a message. Names are in lower case.
struct message_head
{
    std::string start;
    std::map<std::string, std::string> fields;

    std::string field(const std::string& name) const;
};

/// A blocking TCP connection with a read buffer.
class connection
{
public:
    explicit connection(int fd) : fd_{fd} {}
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection();

    /// Reads up to the blank line; false at the end of the connection or after `timeout`.
    bool read_head(message_head& to, milliseconds timeout);
    /// Reads a body with a length or in chunks.
    bool read_body(const message_head& of, std::string& to, milliseconds timeout);
    /// Reads until the peer closes.
    std::string read_all(milliseconds timeout);
    bool write(std::string_view bytes);
    /// Closes with a reset.
    void reset();
    void close();
    bool is_closed_by_peer() const;

private:
    bool fill(clock::time_point until);

    int fd_;
    std::string buffer_;
};

/// Connects to an address; null if that fails within `timeout`.
std::unique_ptr<connection> connect_to(const std::string& ip, int port, milliseconds timeout);

/// Accepts connections at an address and serves each in a thread.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& ip, handler serve);
    ~listener();
    int port() const { return port_; }
    std::string address() const { return ip_ + ":" + std::to_string(port_); }

private:
    void accept_all();

    std::string ip_;
    handler serve_;
    int fd_ = -1;
    int port_ = 0;
};

/// The platform's metadata store.
class store
{
public:
    explicit store(const std::string& ip);
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);
    std::string address() const { return listener_->address(); }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string key;
        std::string value;
        bool is_deleted = false;
    };

    void serve(connection& from);
    json item_json(const std::string& key) const;
    void answer_range(connection& to, const std::map<std::string, std::string>& query);
    void answer_watch(connection& to, const std::map<std::string, std::string>& query);
    void answer_transaction(connection& to, const json& in);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::unique_ptr<listener> listener_;
};

/// Writes lines with the time to the record of a case.
class record
{
public:
    explicit record(const std::string& path);
    ~record();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

/// Ports that are alike on all machines.
struct machine_ports
{
    int callers = 0;
    int readiness = 0;
    int peers = 0;
};

/// One gateway process. Its settings are those of `deploy/settings.json.in` for a machine of `tct-hanoi`.
class gateway
{
public:
    gateway(std::string program, std::string folder, std::string name, std::string zone, std::string ip,
            machine_ports ports, const std::string& store, const std::vector<std::string>& seeds);
    ~gateway();
    void start();
    /// Sends a signal to the process.
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Whether the process has ended by itself.
    bool has_ended();
    bool is_ready() const;
    bool wait_until_ready(milliseconds timeout) const;
    const std::string& ip() const { return ip_; }
    const std::string& name() const { return name_; }
    int port() const { return ports_.callers; }
    pid_t pid() const { return pid_; }

private:
    std::string program_;
    std::string folder_;
    std::string name_;
    std::string ip_;
    machine_ports ports_;
    pid_t pid_ = -1;
};

/// Runs until its time is over, with the disruption in windows.
struct windows
{
    double first_s = 3;  ///< start of the first window
    double every_s = 10; ///< from one start to the next
    double for_s = 5;    ///< length of each

    bool contains(double at) const;
};

/// A store, seven gateways in three zones and workers. Threads use it until the program exits, so it is not
/// to be destroyed.
class deployment
{
public:
    /// Serves one connection of the worker with this id.
    using worker_handler = std::function<void(connection&, const std::string& id, int number)>;

    /// `net` is the second part of all addresses: 127.NET.x.y.
    deployment(int net, const std::string& service, int workers, int slots, const worker_handler& serve);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    /// Starts the gateways; false if one is not ready in time.
    bool start();
    /// Ends the gateways and removes their files.
    void end();
    store& platform() { return platform_; }
    gateway& at(int client) { return *gateways_[static_cast<std::size_t>(client) % gateways_.size()]; }
    const std::vector<std::unique_ptr<gateway>>& gateways() const { return gateways_; }

private:
    std::string folder_;
    store platform_;
    std::vector<std::unique_ptr<listener>> workers_;
    std::vector<std::unique_ptr<gateway>> gateways_;
};

/// What a client of such a deployment reads.
struct reply
{
    bool has_head = false;
    bool is_whole = false;
    message_head head;
    std::string body;
};

/// A client that keeps its channel to one gateway.
class client
{
public:
    explicit client(const gateway& to) : to_{to} {}
    /// Sends a whole request and reads its answer.
    reply call(const std::string& request, milliseconds timeout);

private:
    const gateway& to_;
    std::unique_ptr<connection> channel_;
};

/// A request of the configuration's routes `/release/` (unsafe), `/lookup/` (safe) or `/notes/` (stream).
std::string make_request(const std::string& route, const std::string& id);
/// The answer to a request that is for another worker; empty if it is for this one.
std::string misdirected(const message_head& head, const std::string& worker);
/// Calls `send` from `clients` threads, `per_s` times a second in all, for `run_s`. Meanwhile `tick` is
/// called with the time since the start.
void run_clients(int clients, double per_s, double run_s, const std::function<void(int client, int n)>& send,
                 const std::function<void(double at)>& tick);

/// Three consecutive ports that are free on all these addresses.
machine_ports free_ports(const std::vector<std::string>& ips);

/// A configuration with the routes and services of `tct-hanoi`, under names of its own.
json make_configuration(int version, const std::vector<std::string>& keys = {"key-1"});
/// The entry of a worker.
json make_entry(const std::string& service, const std::string& address, const std::string& zone, int slots);

/// A new attempt id.
std::string new_id();
std::string environment(const char* name, const std::string& fallback);

} // namespace lab
