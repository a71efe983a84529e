/// \file
/// Stand-in for the platform: key-value service, instance list and rating service, with fault injection.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "runlink/net/http_server.hpp"

namespace runlink::standins
{

/// Settings for timing and injected faults, set with `POST /control`. Times are in milliseconds.
struct platform_switches
{
    bool outage = false;          ///< closes the connection of each key-value call without an answer
    int slow_ms = 0;              ///< delay before each key-value call is handled
    int lose_write_replies = 0;   ///< number of writes that take effect but get no answer
    bool drop_watches = false;    ///< watches are never answered
    int rating_ms = 50;           ///< delay before a rating is returned
    std::string bad_text = "BAD"; ///< answers that contain this text are rated bad
    int list_lag_ms = 0;          ///< delay before an updated instance list becomes visible
};

/// Counts of calls, read with `GET /control`.
struct platform_counts
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t ratings = 0;
};

/// Serves the protocol described in `store_client.hpp` and `platform_client.hpp`.
class platform_standin
{
public:
    platform_standin();

    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);

private:
    struct value
    {
        std::string data;
        std::uint64_t revision = 0;
    };
    struct waiting_watch
    {
        std::shared_ptr<net::http_exchange> exchange;
        std::string key;
        std::uint64_t after = 0;
    };
    using exchange_ptr = std::shared_ptr<net::http_exchange>;

    void handle(const exchange_ptr& exchange);
    void handle_key(const exchange_ptr& exchange, const std::string& key);
    void read(const exchange_ptr& exchange, const std::string& key);
    void write(const exchange_ptr& exchange, const std::string& key);
    void erase(const exchange_ptr& exchange, const std::string& key);
    void watch(const exchange_ptr& exchange, const std::string& key, std::uint64_t after, int wait_ms);
    void wake_watches(const std::string& key);
    void list_keys(const exchange_ptr& exchange) const;
    void rate(const exchange_ptr& exchange);
    void control(const exchange_ptr& exchange);
    void show_control(const exchange_ptr& exchange) const;
    void set_instances(const exchange_ptr& exchange);
    void list_instances(const exchange_ptr& exchange);

    platform_switches switches_;
    platform_counts counts_;
    std::map<std::string, value> values_;
    std::uint64_t revision_ = 0;
    std::vector<waiting_watch> watches_;
    nlohmann::json instances_ = nlohmann::json::array();
    net::http_server server_;
};

} // namespace runlink::standins
