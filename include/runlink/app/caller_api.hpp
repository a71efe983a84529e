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

/// `/v1/chat/completions`, `/v1/models` and `/v1/services/<name>/...`.
class caller_api
{
public:
    caller_api(observe::metrics& measured, core::clock_source clock, std::string incarnation);

    /// Hooks for the router of the instance; `attach` must follow before any request.
    core::router_hooks router_hooks(std::function<core::wall_time()> wall_clock);
    void attach(core::instance& instance, attempt_runner& runner);
    /// Called with each answer that may be rated.
    std::function<void(const core::request_id&, const core::version_ref&, const std::string&)> on_answer;

    /// Whether a path belongs to this interface.
    static bool serves(const std::string& path);
    void handle(const std::shared_ptr<net::http_exchange>& exchange);

    std::size_t open_count() const { return open_.size(); }

private:
    struct open_request
    {
        std::shared_ptr<net::http_exchange> exchange;
        core::caller_request request;
        std::string path; ///< at the endpoint
        std::string content_type;
        std::string body;
        core::time_point arrived{};
        core::answer_head head;
        bool first_byte_sent = false;
    };

    core::request_id next_id();
    void admit(const std::shared_ptr<net::http_exchange>& exchange, const core::account_settings& account);
    void list_models(net::http_exchange& exchange, const core::account_settings& account) const;
    void dispatch(const core::attempt_start& it);
    void begin(const core::request_id& id, const core::answer_head& head);
    void forward(const core::request_id& id, const std::string& bytes);
    void end(const core::request_id& id, const std::string& tail);
    void refuse(const core::request_id& id, const core::refusal& it);
    net::header_list headers_of(const open_request& it) const;
    void close(const core::request_id& id, core::run_outcome outcome);

    observe::metrics& metrics_;
    core::clock_source clock_;
    std::string incarnation_;
    core::instance* instance_ = nullptr;
    attempt_runner* runner_ = nullptr;
    std::uint64_t next_ = 0;
    std::map<core::request_id, open_request> open_;
};

} // namespace runlink::app
