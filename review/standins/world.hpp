/// \file
/// A small deployment on loopback addresses for the review's scripts: the platform's store, clients, and the
/// gateways as processes of their own. Workers are written in each case. Blocking sockets, one thread for
/// each connection; nothing here is shared with the code under review.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

namespace review
{

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Milliseconds since the start of the case.
long elapsed_ms();
void sleep_ms(long ms);
/// Appends a line with the time to `record.txt`.
void note(const std::string& line);
/// Opens `record.txt` in the folder of the case.
void open_record(const std::string& folder);
/// Ends the case: 0 held, 1 broken, 2 could not run. Ends all gateways first.
[[noreturn]] void finish(int code, const std::string& why);

/// IP of this run's loopback network; `n` is 1 for the store, 2 and up for workers, 101 and up for gateways.
std::string host(int n);

// Sockets

/// A connection. Closes on destruction.
class channel
{
public:
    explicit channel(int fd = -1) : fd_{fd} {}
    ~channel() { close(); }
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    channel(channel&& other) noexcept : fd_{std::exchange(other.fd_, -1)}, rest_{std::move(other.rest_)} {}
    channel& operator=(channel&& other) noexcept
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
        rest_ = std::move(other.rest_);
        return *this;
    }

    int fd() const { return fd_; }
    bool is_open() const { return fd_ >= 0; }
    bool write(const std::string& bytes) const;
    /// Reads more bytes into `rest`. 0: the peer closed, -1: reset or time-out.
    int read_more(long timeout_ms = 60000);
    std::string& rest() { return rest_; }
    void close();
    /// Closes with a reset.
    void reset();
    /// Whether the peer has closed or reset the connection; reads nothing.
    bool is_left() const;

private:
    int fd_;
    std::string rest_;
};

channel connect_to(const std::string& ip, int port, long timeout_ms = 1000);
/// Listens on a free port (or on `port`) and runs `serve` in a thread for each connection. Returns the port.
int listen_on(const std::string& ip, int port, std::function<void(channel)> serve, int receive_buffer = 0);

// HTTP

using fields = std::vector<std::pair<std::string, std::string>>;

struct message
{
    std::string line; ///< request or status line
    fields head;
    std::string body;

    std::string field(const std::string& name) const;
    std::string method() const { return line.substr(0, line.find(' ')); }
    std::string target() const;
    std::string path() const { return target().substr(0, target().find('?')); }
    std::string query(const std::string& name) const;
    int status() const;
};

/// Reads a head. Returns nothing if the connection ends before it is whole.
std::optional<message> read_head(channel& from, long timeout_ms = 60000);
/// Reads the body of a request. Returns false if the connection ends before it is whole.
bool read_request_body(channel& from, message& to);
std::string write_message(const std::string& line, const fields& head, const std::string& body);
void answer(const channel& to, int status, const fields& head, const std::string& body);

// Store

/// The platform's store, as PROTOCOL.md tells it.
class store
{
public:
    void start(const std::string& ip);
    int port() const { return port_; }
    void put(const std::string& key, const json& value);
    void put_text(const std::string& key, const std::string& text);
    void remove(const std::string& key);
    json value(const std::string& key);
    /// Called with each write of a gateway, in order.
    std::function<void(const std::string& key, const std::string& value)> on_write;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool is_deleted = false;
    };
    void serve(channel it);
    void handle(const channel& to, const message& it);
    void range(const channel& to, const message& it);
    void watch(const channel& to, const message& it);
    void transact(const channel& to, const message& it);
    void change(const std::string& key, const std::string* value);
    json as_json(const std::string& key, const item& it) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_; ///< deleted ones are kept for the watches
    std::uint64_t revision_ = 100;
    std::uint64_t next_lease_ = 1000;
    int port_ = 0;
};

// Gateways

/// One process of the deploy file's role.
class gateway
{
public:
    explicit gateway(int n) : n_{n} {}
    /// Writes the settings, as `fleetbench wire` shows them filled, and starts the process.
    void start(const std::string& program, const std::string& folder, const store& platform);
    void signal(int number) const;
    /// Ends the process and waits for it. Returns false if it had ended by itself.
    bool end();
    /// Whether the process still runs.
    bool is_running();
    /// Waits until the readiness address answers 200.
    bool wait_until_ready(long timeout_ms) const;
    bool is_ready() const;
    std::string ip() const { return host(100 + n_); }
    static int front() { return port(0); }

    int status() const { return status_.value_or(-1); } ///< wait status of the ended process
    static int count;                                   ///< number of gateways, for the seeds
    json bounds;                                        ///< replaces members of the settings' bounds

private:
    /// One of the ports that are alike on all machines: front, readiness, peers, metrics.
    static int port(std::size_t n);

    int n_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

/// The entry of a worker in the store.
json worker_entry(const std::string& service, const std::string& address, const std::string& zone,
                  const std::string& state = "ready", const std::string& version = "v1", int slots = 16);

// Clients

struct outcome
{
    bool is_sent = false;
    int status = 0;
    bool is_whole = false; ///< the answer is complete by its own framing
    bool is_reset = false;
    message answer;
    long took_ms = 0;
};

/// Sends one request and reads the whole answer.
outcome call(channel& on, const std::string& request, long timeout_ms);
outcome call(const std::string& ip, int port, const std::string& request, long timeout_ms);
/// Reads the answer to a request that was sent.
outcome read_answer(channel& on, long timeout_ms);
std::string make_request(const std::string& method, const std::string& target, const fields& head,
                         const std::string& body);
/// A new attempt id.
std::string new_id();

} // namespace review
