/// \file
/// The edge of the forwarder: callers' connections on one side, endpoints' on the other.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "runlink/gateway/header_names.hpp"
#include "runlink/gateway/translation.hpp"
#include "runlink/net/event_reader.hpp"
#include "runlink/net/http_exchange.hpp"
#include "runlink/net/http_listener.hpp"
#include "runlink/observe/decision_log.hpp"
#include "runlink/observe/metrics.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace runlink::gateway
{

using clock_source = std::function<core::time_point()>;

/// Parameters of the edge.
struct gateway_options
{
    core::milliseconds connect_timeout{250};
    /// Bytes that wait for a caller who does not read, above which the caller counts as gone.
    std::size_t max_unsent_bytes = 1024 * 1024;
    /// An endpoint that takes no connection within this is not there: far above the way and back, and a lost
    /// packet is sent again only after a second.
    core::milliseconds ask_timeout{600};
    core::milliseconds max_rest{1500}; ///< of a kept connection to an endpoint that is used again
};

/// Serves callers through a forwarder.
class gateway
{
public:
    gateway(gateway_options options, header_names names, observe::decision_log& log,
            observe::metrics& metrics, clock_source clock);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// What the forwarder is to be made with.
    routing::forwarder_hooks hooks();
    void attach(routing::request_forwarder& it) { forwarder_ = &it; }

    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);
    net::http_listener& listener() { return listener_; }
    const net::connection_pool& pool() const { return pool_; }
    /// Answers tell callers to close their connections from now on.
    void begin_stop() { stopping_ = true; }
    /// Called after each event that may have changed when the forwarder is due.
    std::function<void()> on_activity = [] {};
    /// Called for sessions whose runs other instances are to know.
    std::function<void(const routing::session_run&)> on_session_ran = [](const auto&) {};
    std::function<void(const routing::prompt_sent&)> on_prompt_went = [](const auto&) {};
    std::function<void(const routing::prompt_answered&)> on_prompt_came = [](const auto&) {};
    std::function<void(const crashes::crash_message&)> on_crash_seen = [](const auto&) {};
    /// What other instances are to know of limits that endpoints name; see `forwarder_hooks`.
    std::function<void(const std::vector<core::instance_id>&, const std::vector<places::limit_report>&)>
        on_limits_told = [](const auto&, const auto&) {};
    std::function<void(const routing::leaving_notices&)> on_leaving_told = [](const auto&) {};
    /// A request is harmful, which is to outlast this process.
    std::function<void(crashes::request_fingerprint)> on_found_harmful = [](auto) {};

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;
    struct call
    {
        connection_ptr connection;
        net::http_request_head head;
        std::string body;
        std::string request_id;
        bool is_chunked = false;
    };
    struct attempt
    {
        core::attempt_id id{};
        routing::flow_id flow{};
        core::endpoint_id endpoint;
        core::request_id request;
        core::time_point sent_at{};
        net::exchange exchange;
        net::http_response_head head;
        routing::attempt_head typed;
        std::string body;
        std::unique_ptr<net::event_reader> events;
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    void on_request(const connection_ptr& from, const net::http_request_head& head, std::string body);
    void on_bad_request(const connection_ptr& from, net::codec_error ec);
    void refuse(const connection_ptr& to, const routing::refusal& why, const std::string& request);

    void start(const routing::attempt_order& order);
    net::exchange_hooks exchange_hooks(const attempt_ptr& it);
    void on_head(const attempt_ptr& it, const net::http_response_head& head);
    /// Whatever has become of the attempt.
    void take_statement(const attempt& from, const net::http_response_head& head);
    void on_body(const attempt_ptr& it, std::string_view bytes);
    void on_end(const attempt_ptr& it);
    void on_failed(const attempt_ptr& it, net::exchange_failure why);
    void ask(const routing::endpoint_entry& endpoint);
    void cancel(core::attempt_id id);

    void forward_answer(routing::flow_id flow, core::attempt_id id);
    void forward_head(routing::flow_id flow, core::attempt_id id);
    void forward_bytes(routing::flow_id flow, std::string_view bytes);
    void forward_end(routing::flow_id flow);
    /// Removes a call and returns it.
    std::optional<call> take_call(routing::flow_id flow);
    void log(const routing::decision& it);
    void on_ended(const routing::decision& it, core::duration after);

    gateway_options options_;
    header_names names_;
    observe::decision_log& log_;
    observe::metrics& metrics_;
    clock_source clock_;
    net::connection_pool pool_;
    net::http_listener listener_;
    routing::request_forwarder* forwarder_ = nullptr;
    std::map<routing::flow_id, call> calls_;
    std::map<core::attempt_id, attempt_ptr> attempts_;
    std::uint64_t next_flow_ = 1;
    bool stopping_ = false;
};

} // namespace runlink::gateway
