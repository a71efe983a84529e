#include "runlink/app/attempt_runner.hpp"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace runlink::app
{
namespace
{

using core::errc;
using core::failure;
using nlohmann::json;

constexpr std::size_t max_event_bytes = 256 * 1024;
constexpr std::size_t max_answer_bytes = 8 * 1024 * 1024;
constexpr int endpoint_idle_timeout_ms = 120'000;
constexpr int first_error_status = 400;
constexpr const char* leaving_header = "X-Endpoint-Leaving";
constexpr const char* incarnation_header = "X-Endpoint-Incarnation";

core::token_count token_count_of(const json& usage, const char* name)
{
    const auto found = usage.find(name);
    const bool valid = found != usage.end() && found->is_number_unsigned();
    return core::token_count{valid ? found->get<std::uint64_t>() : 0};
}

core::token_usage usage_of(std::string_view body)
{
    if (body.find("\"usage\"") == std::string_view::npos)
        return {};
    const auto doc = json::parse(body, nullptr, false);
    if (!doc.is_object() || !doc.contains("usage") || !doc["usage"].is_object())
        return {};
    return {token_count_of(doc["usage"], "prompt_tokens"), token_count_of(doc["usage"], "completion_tokens")};
}

} // namespace

struct attempt_runner::running_attempt
{
    core::attempt_id id{};
    core::endpoint_id endpoint;
    std::vector<int> not_started_statuses;
    net::call_handle call = 0;
    bool stream = false;
    int status = 0;
    std::string content_type;
    std::string body;
    sse_splitter splitter{max_event_bytes};
    std::string done_event;
    core::token_usage usage;
    bool invalid = false;

    bool is_streamed() const { return stream && status < first_error_status; }
    /// Whether an answer of this status tells that the request did not start.
    bool is_not_started(int answered) const
    {
        return std::find(not_started_statuses.begin(), not_started_statuses.end(), answered) !=
               not_started_statuses.end();
    }
};

attempt_runner::attempt_runner(net::http_client& client, attempt_hooks hooks)
    : client_{client}, hooks_{std::move(hooks)}
{
}

void attempt_runner::start(const core::attempt_start& it, const std::vector<int>& not_started_statuses,
                           attempt_body body)
{
    auto attempt = std::make_shared<running_attempt>();
    attempt->id = it.attempt;
    attempt->endpoint = it.endpoint.id;
    attempt->not_started_statuses = not_started_statuses;
    attempt->stream = body.stream;
    net::http_call call;
    call.method = "POST";
    call.host = it.endpoint.host;
    call.port = it.endpoint.port;
    call.path = body.path;
    call.headers = {{"Content-Type", body.content_type},
                    {"X-Request-Id", it.request.str()},
                    {"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(it.time_left.count(), 0))}};
    call.body = std::move(body.body);
    call.idle_timeout_ms = endpoint_idle_timeout_ms;
    net::http_call_hooks hooks;
    hooks.head = [this, attempt](const net::http_answer_head& head) { on_head(*attempt, head); };
    hooks.bytes = [this, attempt](const std::string& bytes) { on_bytes(*attempt, bytes); };
    hooks.done = [this, id = it.attempt](const net::http_result& result) { on_done(id, result); };
    running_.emplace(it.attempt, attempt);
    attempt->call = client_.start(call, std::move(hooks));
}

void attempt_runner::cancel(core::attempt_id id)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const auto call = found->second->call;
    running_.erase(found);
    client_.cancel(call);
}

void attempt_runner::on_head(running_attempt& it, const net::http_answer_head& head)
{
    // Reported with the head because a stream may end seconds later or be cancelled before its end.
    report_endpoint_state(it, head);
    it.status = head.status->value();
    it.content_type = head.content_type;
    if (!it.is_not_started(it.status))
        hooks_.head(it.id, it.status, head.content_type);
}

void attempt_runner::on_bytes(running_attempt& it, const std::string& bytes)
{
    if (it.is_streamed())
    {
        it.invalid =
            it.invalid || !it.splitter.add(bytes, [&](std::string event) { on_event(it, std::move(event)); });
        return;
    }
    it.invalid = it.invalid || it.body.size() + bytes.size() > max_answer_bytes;
    if (!it.invalid)
        it.body += bytes;
}

void attempt_runner::on_event(running_attempt& it, std::string event)
{
    if (is_done_event(event))
    {
        it.done_event = std::move(event);
        return;
    }
    const auto usage = usage_of(data_of(event));
    if (usage.prompt.value() + usage.answer.value() > 0)
        it.usage = usage;
    hooks_.bytes(it.id, std::move(event));
}

void attempt_runner::report_endpoint_state(const running_attempt& it, const net::http_answer_head& head)
{
    const auto text = head.header(incarnation_header);
    std::uint64_t incarnation = 0;
    std::from_chars(text.data(), text.data() + text.size(), incarnation);
    if (incarnation != 0)
        hooks_.endpoint_state(it.endpoint, core::endpoint_incarnation{incarnation},
                              head.header(leaving_header) == "true");
}

void attempt_runner::on_done(core::attempt_id id, const net::http_result& result)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    const auto it = found->second;
    running_.erase(found);
    if (!result.complete)
        return hooks_.lost(id, {{errc::endpoint_lost, it->endpoint.str()}, result.body_sent});
    if (it->is_not_started(result.status->value()))
        return hooks_.refused(id);
    const bool complete = !it->is_streamed() || !it->done_event.empty();
    if (it->invalid || !complete)
        return hooks_.lost(id, {{errc::endpoint_answer_invalid, it->endpoint.str()}, true});
    core::endpoint_answer answer;
    answer.status = result.status->value();
    answer.content_type = result.content_type;
    answer.usage = it->is_streamed() ? it->usage : usage_of(it->body);
    answer.tail = it->is_streamed() ? std::move(it->done_event) : std::move(it->body);
    hooks_.answered(id, std::move(answer));
}

} // namespace runlink::app
