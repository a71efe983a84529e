#include "runlink/app/caller_request_reader.hpp"

#include <algorithm>
#include <charconv>

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>
#include <nlohmann/json.hpp>

#include "runlink/core/hash.hpp"
#include "runlink/core/json_reader.hpp"

namespace runlink::app
{
namespace
{

using core::errc;
using core::failure;
using nlohmann::json;

constexpr std::size_t max_idempotency_key_bytes = 128;
constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::size_t hashed_prefix_bytes = 2048; ///< bytes of the messages that the prefix hash covers
constexpr std::string_view services_prefix = "/v1/services/";

QByteArray bytes_of(std::string_view it)
{
    return {it.data(), static_cast<qsizetype>(it.size())};
}

bool is_printable(const std::string& it)
{
    return std::all_of(it.begin(), it.end(), [](unsigned char c) { return c > ' ' && c < 127; });
}

core::result<void> read_idempotency_key(const net::http_request& in, core::caller_request& out)
{
    if (!in.has_header("Idempotency-Key"))
        return boost::outcome_v2::success();
    const auto key = in.header("Idempotency-Key");
    if (key.empty() || key.size() > max_idempotency_key_bytes || !is_printable(key))
        return failure{errc::malformed_request, "Idempotency-Key: 1 to 128 printable characters"};
    out.key = core::idempotency_key{key};
    return boost::outcome_v2::success();
}

core::result<void> read_deadline(const net::http_request& in, core::caller_request& out)
{
    if (!in.has_header("Runlink-Deadline-Ms"))
        return boost::outcome_v2::success();
    const auto text = in.header("Runlink-Deadline-Ms");
    std::uint64_t ms = 0;
    const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (ec != std::errc{} || stop != text.data() + text.size() || ms == 0 || ms > max_deadline_ms)
        return failure{errc::malformed_request, "Runlink-Deadline-Ms: 1 to 600000"};
    out.deadline = core::milliseconds{ms};
    return boost::outcome_v2::success();
}

core::result<void> read_repeatable_and_priority(const net::http_request& in, core::caller_request& out)
{
    const auto repeatable = in.has_header("Runlink-Repeatable") ? in.header("Runlink-Repeatable") : "true";
    if (repeatable != "true" && repeatable != "false")
        return failure{errc::malformed_request, "Runlink-Repeatable: true or false"};
    out.repeatable = repeatable == "true";
    const auto priority = in.has_header("Runlink-Priority") ? in.header("Runlink-Priority") : "normal";
    if (priority != "quick" && priority != "normal")
        return failure{errc::malformed_request, "Runlink-Priority: quick or normal"};
    out.quick = priority == "quick";
    if (out.quick)
        out.cls = core::request_class{"quick"};
    return boost::outcome_v2::success();
}

core::result<core::caller_request>
read_headers(const net::http_request& in, const core::account_settings& account, const core::request_id& id)
{
    core::caller_request out;
    out.id = id;
    out.account = account.id;
    out.cls = account.default_class;
    out.session = in.header("Runlink-Session");
    BOOST_OUTCOME_TRYV(read_idempotency_key(in, out));
    BOOST_OUTCOME_TRYV(read_deadline(in, out));
    BOOST_OUTCOME_TRYV(read_repeatable_and_priority(in, out));
    out.fingerprint = core::stable_digest(
        in.path + "\n" + std::string{in.body.constData(), static_cast<std::size_t>(in.body.size())});
    return out;
}

core::result<void> read_model(const json& body, core::caller_request& out)
{
    const auto found = body.find("model");
    if (found == body.end() || !found->is_string() || found->get_ref<const std::string&>().empty())
        return failure{errc::malformed_request, "$.model: must be a non-empty string"};
    const auto name = found->get<std::string>();
    const auto slash = name.find('/');
    out.model = core::model_id{name.substr(0, slash)};
    if (slash != std::string::npos)
        out.version = core::version_id{name.substr(slash + 1)};
    return boost::outcome_v2::success();
}

core::result<void> read_stream(const json& body, core::caller_request& out)
{
    const auto found = body.find("stream");
    if (found == body.end() || found->is_null())
        return boost::outcome_v2::success();
    if (!found->is_boolean())
        return failure{errc::malformed_request, "$.stream: must be true or false"};
    out.stream = found->get<bool>();
    return boost::outcome_v2::success();
}

core::result<void> read_messages(const json& body, core::caller_request& out)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty())
        return failure{errc::malformed_request, "$.messages: must be a non-empty array"};
    for (std::size_t n = 0; n < found->size(); ++n)
        if (!(*found)[n].is_object() || !(*found)[n].contains("role"))
            return failure{errc::malformed_request,
                           "$.messages[" + std::to_string(n) + "]: must be an object with a role"};
    const auto text = found->dump();
    out.prefix_hash = core::stable_hash(std::string_view{text}.substr(0, hashed_prefix_bytes));
    return boost::outcome_v2::success();
}

} // namespace

std::string bearer_key(const net::http_request& it)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = it.header("Authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string{};
}

std::string sha256_hex(std::string_view data)
{
    return QCryptographicHash::hash(bytes_of(data), QCryptographicHash::Sha256).toHex().toStdString();
}

std::string hmac_sha256_hex(std::string_view secret, std::string_view text)
{
    return QMessageAuthenticationCode::hash(bytes_of(text), bytes_of(secret), QCryptographicHash::Sha256)
        .toHex()
        .toStdString();
}

core::result<parsed_caller_request> read_completion(const net::http_request& it,
                                                    const core::account_settings& account,
                                                    const core::request_id& id)
{
    core::json_faults faults;
    const auto body =
        core::parse_json({it.body.constData(), static_cast<std::size_t>(it.body.size())}, faults);
    if (!body || !faults.empty())
        return failure{errc::malformed_request, faults.str()};
    if (!body->is_object())
        return failure{errc::malformed_request, "$: must be an object"};
    BOOST_OUTCOME_TRY(request, read_headers(it, account, id));
    BOOST_OUTCOME_TRYV(read_model(*body, request));
    BOOST_OUTCOME_TRYV(read_stream(*body, request));
    BOOST_OUTCOME_TRYV(read_messages(*body, request));
    return parsed_caller_request{std::move(request), body->dump(), "application/json"};
}

core::result<parsed_caller_request> read_service_call(const net::http_request& it,
                                                      const core::account_settings& account,
                                                      const core::request_id& id)
{
    BOOST_OUTCOME_TRY(request, read_headers(it, account, id));
    const auto rest = it.path.substr(services_prefix.size());
    request.service = core::service_id{rest.substr(0, rest.find('/'))};
    return parsed_caller_request{std::move(request), it.body.toStdString(), it.header("Content-Type")};
}

std::string body_for_endpoint(const std::string& body, const core::version_ref& version)
{
    auto doc = json::parse(body);
    doc["model"] = version.str();
    if (doc.value("stream", false))
        doc["stream_options"] = {{"include_usage", true}};
    return doc.dump();
}

} // namespace runlink::app
