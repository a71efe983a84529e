/// \file
/// Connects a request forwarder to the network: HTTP connections from callers and to endpoints.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "runlink/gateway/header_names.hpp"
#include "runlink/gateway/held_answers.hpp"
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

/// Timeouts and buffer limits of a `gateway`.
struct gateway_options
{
    core::milliseconds connect_timeout{250};
    /// If more unsent bytes than this are buffered for a caller, its connection is reset.
    std::size_t max_unsent_bytes = 1024 * 1024;
    /// A probed endpoint that accepts no connection within this time counts as unreachable. The timeout is
    /// far above the round-trip time; a lost packet is retransmitted only after a second.
    core::milliseconds probe_timeout{600};
    core::milliseconds max_rest{1500}; ///< longest idle time after which a connection is reused
    answer_limits answers;
    core::caller_budget_limits callers; ///< of all that is held for callers, answers included
};

/// Accepts requests from callers, passes them to a forwarder, and sends its attempts to endpoints.
class gateway
{
public:
    gateway(gateway_options options, header_names names, observe::decision_log& log,
            observe::metrics& metrics, clock_source clock);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Hooks to construct the forwarder with.
    routing::forwarder_hooks hooks();
    /// Sets the forwarder, which must exist while events are handled. Call before `listen`.
    void attach(routing::request_forwarder& it) { forwarder_ = &it; }

    /// Returns the port in use, which the system chooses if `port` is 0.
    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);
    net::http_listener& listener() { return listener_; }
    const net::http_listener& listener() const { return listener_; }
    const net::connection_pool& pool() const { return pool_; }
    /// From now on, answers tell callers to close their connections.
    void begin_stop() { is_stopping_ = true; }
    /// Called after each event that may change the time at which the forwarder must next be run.
    std::function<void()> on_activity = [] {};
    /// Called for a request of a session that ran at an endpoint, to be announced to other instances.
    std::function<void(const routing::session_run&)> on_session_run = [](const auto&) {};
    /// Called with prompts sent to endpoints and with their answers, to be announced to other instances.
    std::function<void(const routing::prompt_sent&)> on_prompt_sent = [](const auto&) {};
    std::function<void(const routing::prompt_answered&)> on_prompt_answered = [](const auto&) {};
    std::function<void(const load::stream_ended&)> on_stream_ended = [](const auto&) {};
    /// Called with the requests at plain endpoints, to be announced to other instances.
    std::function<void(const std::vector<load::request_counts>&)> on_counts = [](const auto&) {};
    /// Called with crash reports to be announced to other instances.
    std::function<void(const crashes::crash_message&)> on_crash_seen = [](const auto&) {};
    /// Called with limits advertised by endpoints, to be announced to other instances; see `forwarder_hooks`.
    std::function<void(const std::vector<core::instance_id>&, const std::vector<places::limit_report>&)>
        on_limits_told = [](const auto&, const auto&) {};
    /// Called with endpoints that announced their shutdown, to be announced to other instances.
    std::function<void(const routing::leaving_notices&)> on_leaving_told = [](const auto&) {};
    /// Called when a request of the account begins to run at an endpoint.
    std::function<void(const core::account_id&)> on_run_began = [](const auto&) {};
    /// Called when a request is found to be harmful. The finding must be stored beyond this process's
    /// lifetime.
    std::function<void(crashes::element_fingerprint)> on_harmful_found = [](auto) {};

    /// Called with questions to other instances.
    std::function<void(const std::vector<core::instance_id>&, const paths::reach_query&)> on_reach_query =
        [](const auto&, const auto&) {};
    /// Where an instance carries connections to an endpoint.
    std::function<std::optional<net::carrier_address>(const core::instance_id&, const core::endpoint_id&)>
        carrier_address = [](const auto&, const auto&) { return std::nullopt; };
    /// Connects to an endpoint directly and keeps the connection for the next request.
    void connect_to(const routing::endpoint_entry& endpoint, std::function<void(core::contact)> to);

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
        explicit attempt(std::size_t& held_total) : held{held_total} {}

        core::attempt_id id{};
        routing::flow_id flow{};
        core::endpoint_id endpoint;
        core::request_id request;
        core::time_point sent_at{};
        net::exchange exchange;
        std::optional<net::http_response_head> head;
        routing::attempt_head parsed_head;
        std::string body;
        std::uint64_t body_bytes = 0; ///< received, whether or not they are kept in `body`
        std::unique_ptr<net::event_reader> events;
        held_bytes held; ///< of `body`, or of the incomplete event
    };
    using attempt_ptr = std::shared_ptr<attempt>;

    void on_request(const connection_ptr& from, const net::http_request_head& head, std::string body);
    void on_bad_request(const connection_ptr& from, net::request_fault fault);
    void refuse(const connection_ptr& to, const routing::refusal& why, const std::string& request);

    void start(const routing::attempt_order& order);
    net::exchange_hooks exchange_hooks(const attempt_ptr& it);
    void on_head(const attempt_ptr& it, const net::http_response_head& head);
    /// Passes what the answer says about its endpoint to the forwarder, whatever the state of the attempt.
    void forward_statement(const attempt& from, const net::http_response_head& head);
    void on_body(const attempt_ptr& it, std::string_view bytes);
    void on_end(const attempt_ptr& it);
    /// Records what the attempt holds, and ends attempts whose answers exceed the limits.
    void hold(const attempt_ptr& it);
    /// Drops what the attempt holds of its answer.
    void release(attempt& it);
    void update_held_answers();
    /// Closes the attempt's connection and reports the attempt as lost.
    void give_up(const attempt_ptr& it, std::string_view limit);
    void on_failed(const attempt_ptr& it, net::exchange_failure why);
    /// Logs how the response to an attempt ended, and the first error of its connection.
    void log_response_end(const attempt& it, std::string_view how, observe::log_rank rank);
    /// Checks whether the endpoint accepts connections, and reports the result to the forwarder.
    void probe(const routing::endpoint_entry& endpoint, const core::instance_id& via);
    /// Checks whether this instance reaches the endpoint again.
    void probe_path(const routing::endpoint_entry& endpoint);
    net::endpoint_path path_to(const routing::endpoint_entry& endpoint, const core::instance_id& via) const;
    void cancel(core::attempt_id id);

    void forward_answer(routing::flow_id flow, core::attempt_id id);
    void forward_head(routing::flow_id flow, core::attempt_id id);
    void forward_bytes(routing::flow_id flow, std::string_view bytes);
    void forward_end(routing::flow_id flow);
    /// Removes a call and returns it; nothing if the flow has none.
    std::optional<call> take_call(routing::flow_id flow);
    void log(const routing::decision& decision);
    void on_ended(const routing::decision& it, core::duration after);

    gateway_options options_;
    header_names names_;
    observe::decision_log& log_;
    observe::metrics& metrics_;
    clock_source clock_;
    std::size_t held_bytes_ = 0; ///< of all attempts
    net::connection_pool pool_;
    net::http_listener listener_;
    routing::request_forwarder* forwarder_ = nullptr;
    std::map<routing::flow_id, call> calls_;
    std::map<core::attempt_id, attempt_ptr> attempts_;
    std::uint64_t next_flow_ = 1;
    bool is_stopping_ = false;
};

} // namespace runlink::gateway
