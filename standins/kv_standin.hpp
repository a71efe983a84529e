/// \file
/// In-process stand-in for the platform's key-value store, with fault injection for tests.
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

/// In-memory store that serves range reads, watches, transactions and leases over HTTP.
class kv_standin
{
public:
    /// How the store answers calls.
    enum class mode
    {
        normal,
        silent,       ///< calls are neither executed nor answered
        refuse,       ///< calls are answered with 503 and not executed
        lose_answers, ///< writes are executed, then the connection is reset without an answer
    };

    kv_standin();

    std::uint16_t listen();
    void put(const std::string& key, const nlohmann::json& value);
    void remove(const std::string& key);
    /// Discards the history: watches that resume from the current revision or an earlier one get status 410.
    void forget_history() { oldest_watch_revision_ = revision_ + 1; }
    /// The contents of the store at one revision.
    struct snapshot;
    snapshot take_snapshot() const;
    /// Replaces the contents by an earlier copy. Revisions continue from the copy's, leases are lost, and the
    /// era rises by one.
    void restore(const snapshot& from);
    std::uint64_t revision() const { return revision_; }
    /// The value of `key`, or JSON null if the key does not exist.
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
    void record_change(const std::string& key);

    net::http_listener listener_;
    std::map<std::string, item> items_;
    std::vector<std::pair<std::uint64_t, std::string>> history_;
    std::vector<waiting_watch> watches_;
    std::map<std::string, std::size_t> calls_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t next_lease_ = 1;
    std::uint64_t era_ = 1;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_watch_revision_ = 0;
};

struct kv_standin::snapshot
{
    std::map<std::string, item> items;
    std::uint64_t revision = 0;
};

} // namespace runlink::standins
