/// \file
/// Sends attempts to endpoints over HTTP and reports their progress and result.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "runlink/app/sse_splitter.hpp"
#include "runlink/core/request_router.hpp"
#include "runlink/net/http_client.hpp"

namespace runlink::app
{

/// The request that is sent to an endpoint.
struct attempt_body
{
    std::string path;
    std::string content_type;
    std::string body;
    bool stream = false; ///< the caller asked for a stream of server-sent events
};

/// Events of attempts. The first five correspond to the `on_...` functions of `core::request_router`.
struct attempt_hooks
{
    /// The status and content type arrived; not called for a status that means "not started".
    std::function<void(core::attempt_id, int status, const std::string& content_type)> head;
    /// One event of a streamed answer, without the final `[DONE]` event.
    std::function<void(core::attempt_id, std::string)> bytes;
    /// The answer is complete.
    std::function<void(core::attempt_id, core::endpoint_answer)> answered;
    /// The endpoint answered with a status that means that it did not start the request.
    std::function<void(core::attempt_id)> refused;
    /// The attempt ended without a complete, valid answer.
    std::function<void(core::attempt_id, const core::attempt_loss&)> lost;
    /// An answer names the incarnation of its endpoint and whether the endpoint is leaving.
    std::function<void(const core::endpoint_id&, core::endpoint_incarnation, bool leaving)> endpoint_state;
};

/// Makes one HTTP call for each attempt. The final event of a stream is reported with `answered` and not with
/// `bytes`; a stream that ends without its final event counts as lost.
class attempt_runner
{
public:
    attempt_runner(net::http_client& client, attempt_hooks hooks);

    /// Starts the call. `not_started_statuses` are the HTTP statuses by which the endpoint says that it did
    /// not start the request.
    void start(const core::attempt_start& it, const std::vector<int>& not_started_statuses,
               attempt_body body);
    /// Ends the call of an attempt without calling a hook; does nothing for an unknown id.
    void cancel(core::attempt_id id);

private:
    struct running_attempt;

    void on_head(running_attempt& it, const net::http_answer_head& head);
    void on_bytes(running_attempt& it, const std::string& bytes);
    void on_event(running_attempt& it, std::string event);
    void on_done(core::attempt_id id, const net::http_result& result);
    void report_endpoint_state(const running_attempt& it, const net::http_answer_head& head);

    net::http_client& client_;
    attempt_hooks hooks_;
    std::map<core::attempt_id, std::shared_ptr<running_attempt>> running_;
};

} // namespace runlink::app
