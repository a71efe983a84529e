#include "runlink/gateway/translation.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace runlink::gateway
{
namespace
{

using core::errc;
using core::failure;

/// Deadline of requests that do not name one.
constexpr core::milliseconds default_deadline{60000};

template <class Number>
bool parse_number(std::string_view text, Number& to)
{
    const auto [last, ec] = std::from_chars(text.data(), text.data() + text.size(), to);
    return ec == std::errc{} && last == text.data() + text.size();
}

/// Converts a field name to lower case and underscores to dashes: some servers treat the two as equal.
std::string normalize_name(std::string_view name)
{
    std::string out{name};
    for (auto& it : out)
        it = it == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return out;
}

bool is_reserved(const header_names& names, std::string_view name)
{
    const auto normal = normalize_name(name);
    const auto is = [&](std::string_view it) { return normal == normalize_name(it); };
    return std::any_of(names.reserved.begin(), names.reserved.end(), is) || is(names.account) ||
           is(names.key) || is(names.expected_endpoint) || is(names.priority);
}

core::result<std::vector<routing::prompt_part>> read_prompt(std::string_view text)
{
    std::vector<routing::prompt_part> out;
    while (!text.empty())
    {
        const auto comma = std::min(text.find(','), text.size());
        const auto part = text.substr(0, comma);
        text.remove_prefix(std::min(comma + 1, text.size()));
        const auto colon = part.find(':');
        routing::prompt_part it;
        if (colon == std::string_view::npos || !parse_number(part.substr(colon + 1), it.tokens))
            return failure{errc::malformed_request, "prompt parts"};
        it.id = std::string{part.substr(0, colon)};
        out.push_back(std::move(it));
    }
    return out;
}

core::result<void> read_tokens(std::string_view text, routing::inbound_request& to)
{
    const auto comma = text.find(',');
    if (comma == std::string_view::npos || !parse_number(text.substr(0, comma), to.prompt_tokens) ||
        !parse_number(text.substr(comma + 1), to.max_new_tokens))
        return failure{errc::malformed_request, "token counts"};
    return boost::outcome_v2::success();
}

core::result<void> read_deadline(std::string_view text, routing::inbound_request& to)
{
    core::milliseconds::rep n = 0;
    if (!parse_number(text, n) || n < 0)
        return failure{errc::malformed_request, "deadline"};
    to.time_left = core::milliseconds{n};
    return boost::outcome_v2::success();
}

core::result<void> read_last_event(const header_names& names, const net::http_request_head& head,
                                   routing::inbound_request& to)
{
    const auto* text = head.fields.find(names.last_event);
    const auto count = head.fields.count(names.last_event);
    if (count == 0 || (count == 1 && text->empty()))
        return boost::outcome_v2::success();
    std::uint64_t n = 0;
    if (count > 1 || !parse_number(*text, n))
        return failure{errc::malformed_request, names.last_event};
    to.last_event = n;
    return boost::outcome_v2::success();
}

void copy_text(const net::http_fields& fields, const std::string& name, std::string& to)
{
    if (const auto* it = fields.find(name))
        to = *it;
}

} // namespace

core::result<routing::inbound_request> read_request(const header_names& names,
                                                    const net::http_request_head& head)
{
    routing::inbound_request out;
    std::string text;
    copy_text(head.fields, names.request_id, text);
    out.id = core::request_id{text};
    if (text.empty() || head.fields.count(names.request_id) != 1)
        return failure{errc::malformed_request, names.request_id};
    copy_text(head.fields, "Host", out.host);
    out.path = head.target.substr(0, head.target.find('?'));
    copy_text(head.fields, names.key, out.key);
    out.time_left = default_deadline;
    if (const auto* it = head.fields.find(names.deadline_ms))
    {
        BOOST_OUTCOME_TRYV(read_deadline(*it, out));
    }
    if (const auto* it = head.fields.find(names.session))
        out.session = core::session_id{*it};
    if (const auto* it = head.fields.find(names.model); it != nullptr && *it != names.any_model)
        out.model = core::model_id{*it};
    if (const auto* it = head.fields.find(names.tokens))
    {
        BOOST_OUTCOME_TRYV(read_tokens(*it, out));
    }
    if (const auto* it = head.fields.find(names.prompt))
    {
        BOOST_OUTCOME_TRY(prompt, read_prompt(*it));
        out.prompt = std::move(prompt);
    }
    std::uint32_t hint = 0;
    if (const auto* it = head.fields.find(names.length_hint);
        it != nullptr && parse_number(*it, hint) && hint > 0)
        out.length_hint = hint;
    BOOST_OUTCOME_TRYV(read_last_event(names, head, out));
    return out;
}

std::string write_attempt(const header_names& names, const net::http_request_head& from,
                          std::string_view body, const routing::attempt_order& order)
{
    net::http_request_head out;
    out.method = from.method;
    out.target = from.target;
    for (const auto& it : from.fields)
    {
        const bool is_replaced = net::same_name(it.name, names.deadline_ms) ||
                                 net::same_name(it.name, names.last_event) ||
                                 (!order.model.empty() && net::same_name(it.name, names.model));
        if (!is_replaced && !is_reserved(names, it.name) && !net::is_hop_by_hop(it.name, from.fields) &&
            !net::same_name(it.name, "Expect"))
            out.fields.add(it.name, it.value);
    }
    out.fields.add(names.deadline_ms, std::to_string(order.time_left.count()));
    out.fields.add(names.expected_endpoint, order.endpoint.name.str());
    if (!order.account.empty())
        out.fields.add(names.account, order.account.str());
    if (!order.model.empty())
        out.fields.add(names.model, order.model.str());
    if (order.last_event)
        out.fields.add(names.last_event, std::to_string(*order.last_event));
    if (order.runs_models)
        out.fields.add(names.priority, std::to_string(order.priority));
    return net::write_request(out, body);
}

routing::attempt_head read_attempt_head(const header_names& names, const net::http_response_head& head)
{
    routing::attempt_head out;
    out.status = head.status;
    out.not_run = head.fields.find(names.not_run) != nullptr;
    out.is_sealed =
        head.fields.find(names.digest) != nullptr && head.fields.find("Content-Encoding") == nullptr;
    const auto* type = head.fields.find("Content-Type");
    out.is_event_stream =
        head.status.is_success() && type != nullptr && type->starts_with("text/event-stream");
    int n = 0;
    if (const auto* it = head.fields.find(names.confidence); it != nullptr && parse_number(*it, n))
        out.confidence = n;
    out.ends_with_connection = head.framing == net::body_framing::until_close;
    return out;
}

bool is_answer_to(const header_names& names, const net::http_response_head& head,
                  const core::request_id& request)
{
    const auto* id = head.fields.find(names.request_id);
    if (id != nullptr)
        return *id == request.str();
    return head.status.is_failure();
}

net::http_fields forwarded_fields(const net::http_response_head& head)
{
    net::http_fields out;
    for (const auto& it : head.fields)
        if (!net::is_hop_by_hop(it.name, head.fields))
            out.add(it.name, it.value);
    return out;
}

std::string write_refusal(const routing::refusal& it, const std::string& request, bool close)
{
    nlohmann::json body;
    body["error"]["code"] = to_string(it.why.code);
    body["error"]["outcome"] =
        to_string(it.not_run ? core::run_outcome::not_run : core::run_outcome::unknown);
    body["error"]["request_id"] = request;
    net::http_fields fields;
    fields.add("Content-Type", "application/json");
    if (it.not_run && it.why.retry_after)
    {
        constexpr double ms_per_s = 1000;
        char text[32];
        std::snprintf(text, sizeof text, "%.3f", static_cast<double>(it.why.retry_after->count()) / ms_per_s);
        fields.add("Retry-After", text);
    }
    if (close)
        fields.add("Connection", "close");
    return net::write_response(it.status, fields,
                               body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace runlink::gateway
