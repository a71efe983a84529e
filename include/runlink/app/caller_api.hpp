/// \file
/// The HTTP interface of callers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "runlink/app/attempt_runner.hpp"
#include "runlink/app/caller_request_reader.hpp"
#include "runlink/core/clock.hpp"
#include "runlink/core/instance.hpp"
#include "runlink/net/http_server.hpp"
#include "runlink/observe/metrics.hpp"

namespace runlink::app
{

/// Serves `/v1/chat/completions`, `/v1/models` and `/v1/services/<name>/...`.
class caller_api
{
public:
    /// `incarnation` is the prefix of the request ids, which keeps them unique across restarts.
    caller_api(observe::metrics& metrics, core::clock_source clock, std::string incarnation);

    /// Hooks for the router of the instance. Call `attach` before the first request.
    core::router_hooks router_hooks(std::function<core::wall_time()> wall_clock);
    void attach(core::instance& instance, attempt_runner& runner);
    /// Called with each answer that can be sent to the rating service.
    std::function<void(const core::request_id&, const core::version_ref&, const std::string&)> on_answer;

    /// Returns whether a path belongs to this interface.
    static bool serves(const std::string& path);
    void handle(const std::shared_ptr<net::http_exchange>& exchange);

    /// Number of requests that have no complete answer yet.
    std::size_t open_count() const { return open_.size(); }

private:
    struct open_request
    {
        std::shared_ptr<net::http_exchange> exchange;
        core::caller_request request;
        std::string path; ///< path of the request to the endpoint
        std::string content_type;
        std::string body;
        core::time_point arrived_at{};
        core::answer_head head;
        bool first_byte_sent = false;
    };

    core::request_id next_request_id();
    void admit(const std::shared_ptr<net::http_exchange>& exchange, const core::account_settings& account);
    void list_models(net::http_exchange& exchange, const core::account_settings& account) const;
    void dispatch(const core::attempt_start& it);
    void begin(const core::request_id& id, const core::answer_head& head);
    void forward(const core::request_id& id, const std::string& bytes);
    void end(const core::request_id& id, const std::string& tail);
    void refuse(const core::request_id& id, const core::refusal& refusal);
    net::header_list answer_headers(const open_request& it) const;
    void close(const core::request_id& id, core::run_outcome outcome);

    observe::metrics& metrics_;
    core::clock_source clock_;
    std::string incarnation_;
    core::instance* instance_ = nullptr;
    attempt_runner* runner_ = nullptr;
    std::uint64_t last_request_number_ = 0;
    std::map<core::request_id, open_request> open_;
};

} // namespace runlink::app
