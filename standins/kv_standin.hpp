/// \file
/// Plays the platform's key-value store for tests, with switches for failure.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <QTimer>
#include <nlohmann/json.hpp>

#include "runlink/net/http_listener.hpp"

namespace runlink::standins
{

/// Ranges, watches, transactions and leases of one store in memory.
class kv_standin
{
public:
    /// How calls are answered.
    enum class mode
    {
        normal,
        silent,       ///< nothing is answered
        refuse,       ///< 503, nothing is done
        lose_answers, ///< writes are done and not answered
    };

    kv_standin();

    std::uint16_t listen();
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);
    /// Watches that go on from before now are told that the history is gone.
    void forget_history() { oldest_ = revision_ + 1; }
    /// The value of a key, or null.
    nlohmann::json value(const std::string& key) const;
    std::size_t calls(const std::string& path) const;

    mode answers = mode::normal;

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct lease
    {
        core::milliseconds ttl{};
        std::set<std::string> keys;
        std::unique_ptr<QTimer> timer;
    };
    struct waiting_watch
    {
        connection_ptr connection;
        std::uint64_t after = 0;
    };

    void on_request(const connection_ptr& from, const net::http_request_head& head, const std::string& body);
    void on_transaction(const connection_ptr& from, const nlohmann::json& in);
    void on_grant(const connection_ptr& from, const nlohmann::json& in);
    void on_renewal(const connection_ptr& from, std::uint64_t id);
    void end_lease(std::uint64_t id);
    void on_watch(const connection_ptr& from, std::uint64_t after);
    void answer(const connection_ptr& to, int status, const nlohmann::json& body);
    nlohmann::json item_json(const std::string& key) const;
    nlohmann::json changes_since(std::uint64_t after) const;
    void changed(const std::string& key);

    net::http_listener listener_;
    std::map<std::string, item> items_;
    std::vector<std::pair<std::uint64_t, std::string>> history_;
    std::vector<waiting_watch> watches_;
    std::map<std::string, std::size_t> calls_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t next_lease_ = 1;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
};

} // namespace runlink::standins
