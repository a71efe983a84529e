/// \file
/// Runs attempts against endpoints over HTTP and reports what becomes of them.
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

/// What an endpoint gets.
struct attempt_body
{
    std::string path;
    std::string content_type;
    std::string body;
    bool stream = false;
};

/// What the runner reports, in the words of the router.
struct attempt_hooks
{
    std::function<void(core::attempt_id, int status, const std::string& content_type)> head;
    std::function<void(core::attempt_id, std::string)> bytes;
    std::function<void(core::attempt_id, core::endpoint_answer)> answered;
    std::function<void(core::attempt_id)> refused;
    std::function<void(core::attempt_id, const core::attempt_loss&)> lost;
    /// The endpoint said in an answer that it is leaving.
    std::function<void(const core::endpoint_id&, core::endpoint_incarnation, bool leaving)> endpoint_state;
};

/// One HTTP call for each attempt. The end of a stream, its last event, is handed over apart from the rest,
/// and a stream that ends without it counts as lost.
class attempt_runner
{
public:
    attempt_runner(net::http_client& client, attempt_hooks hooks);

    void start(const core::attempt_start& it, const std::vector<int>& not_started_statuses,
               attempt_body body);
    void cancel(core::attempt_id id);

private:
    struct running;

    void on_head(running& it, const net::http_answer_head& head);
    void on_bytes(running& it, const std::string& bytes);
    void on_event(running& it, std::string event);
    void on_done(core::attempt_id id, const net::http_result& result);
    void tell_endpoint_state(const running& it, const net::http_answer_head& head);

    net::http_client& client_;
    attempt_hooks hooks_;
    std::map<core::attempt_id, std::shared_ptr<running>> running_;
};

} // namespace runlink::app
