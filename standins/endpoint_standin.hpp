/// \file
/// Stand-in for a model engine or a plain service, with fault injection.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "runlink/net/http_server.hpp"

namespace runlink::standins
{

/// Settings for capacity, timing and injected faults, set with `POST /control`. Times are in milliseconds.
struct endpoint_switches
{
    int slots = 16;          ///< requests that run concurrently; further ones are queued
    int queue = 64;          ///< queued requests; further ones are refused with 429 and not started
    int first_token_ms = 5;  ///< delay of the first token if the prompt prefix is not cached
    int cached_token_ms = 1; ///< delay of the first token if the prompt prefix is cached
    int token_ms = 1;        ///< delay between two tokens
    int tokens = 8;          ///< length of an answer if the request has no `max_tokens`
    bool refuse = false;     ///< answers every request with 503 and does not start it
    bool drop = false;       ///< counts the request as run, then closes the connection without an answer
    bool cut = false;        ///< closes the connection halfway through a streamed answer
    bool stall = false;      ///< counts the request as run, keeps its slot and never answers
    int late_ms = 0;         ///< additional delay before each answer
    bool bad = false;        ///< answers contain the text `BAD`
    std::string bad_version; ///< answers of this model version contain the text `BAD`
    bool error = false;      ///< counts the request as run and answers 500
    bool leaving = false;    ///< adds `X-Endpoint-Leaving` to answers, except those of orders and `/control`
    bool checks_fencing = true; ///< refuses orders with a fencing number below the highest seen
};

/// Serves `/v1/chat/completions` as a model engine, orders on `/v1/orders`, and other paths as a plain
/// service.
class endpoint_standin
{
public:
    explicit endpoint_standin(std::uint64_t incarnation);

    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);

private:
    using exchange_ptr = std::shared_ptr<net::http_exchange>;
    struct job
    {
        exchange_ptr exchange;
        std::string version;
        std::string prefix;
        bool stream = false;
        int tokens = 0;
        int prompt_tokens = 0;
        int sent = 0;
        bool client_left = false;
    };
    using job_ptr = std::shared_ptr<job>;

    void handle(const exchange_ptr& exchange);
    void complete(const exchange_ptr& exchange);
    void serve(const exchange_ptr& exchange);
    void order(const exchange_ptr& exchange);
    void control(const exchange_ptr& exchange);
    void show_control(const exchange_ptr& exchange) const;
    bool try_refuse(const exchange_ptr& exchange);
    void count_run(const exchange_ptr& exchange, const std::string& version);

    void admit(const job_ptr& it);
    void run(const job_ptr& it);
    void step(const job_ptr& it);
    void finish(const job_ptr& it);
    void release(const job_ptr& it);
    std::string next_token(const job& it) const;
    std::string usage(const job& it) const;
    net::header_list headers(const char* type) const;

    std::uint64_t incarnation_;
    endpoint_switches switches_;
    int running_ = 0;
    std::deque<job_ptr> waiting_;
    std::set<std::string> prefixes_;
    std::uint64_t runs_ = 0;
    std::uint64_t cancelled_ = 0;
    std::map<std::string, std::uint64_t> runs_by_request_;
    std::map<std::string, std::uint64_t> runs_by_body_;
    std::map<std::string, std::uint64_t> runs_by_version_;
    std::uint64_t fencing_ = 0;
    nlohmann::json orders_ = nlohmann::json::array();
    net::http_server server_;
};

} // namespace runlink::standins
