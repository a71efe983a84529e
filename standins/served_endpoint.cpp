#include "served_endpoint.hpp"

#include <algorithm>
#include <utility>

#include <QTimer>

#include "operator_documents.hpp"
#include "runlink/core/hash.hpp"

namespace runlink::standins
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_error = 500;
constexpr int status_unavailable = 503;
constexpr std::uint64_t max_events = 12;
constexpr std::uint64_t whole_percent = 100;
/// Some streams take seconds, so that clients disconnect and instances stop while a stream is in progress.
constexpr std::uint64_t slow_one_in = 6;
constexpr core::milliseconds slow_pace{250};
constexpr std::uint64_t min_long_events = 36;
constexpr std::uint64_t long_event_spread = 20;
constexpr core::milliseconds long_pace{150};
/// Pauses are rare enough that a stream still has attempts left when it reaches its later pauses.
constexpr std::uint64_t pause_one_in = 16;
constexpr std::uint64_t min_pause_percent = 90; ///< percentage of `stream_target_gap`
constexpr std::uint64_t max_pause_percent = 150;

core::milliseconds scaled(core::milliseconds it, double factor)
{
    return core::milliseconds{static_cast<core::milliseconds::rep>(static_cast<double>(it.count()) * factor)};
}

} // namespace

served_endpoint::served_endpoint(std::string id, std::string service, std::string version)
    : id_{std::move(id)}, service_{std::move(service)}, version_{std::move(version)},
      listener_{[this](const connection_ptr& from, const net::http_request_head& head, const std::string&)
                { on_request(from, head); },
                [](const connection_ptr& from, net::request_fault) { from->reset(); }},
      port_{listener_.listen("127.0.0.1", 0).value()}
{
}

nlohmann::json served_endpoint::entry(std::uint16_t port, bool leaving) const
{
    nlohmann::json out{{"service", service_}, {"address", "127.0.0.1:" + std::to_string(port)},
                       {"zone", "n"},         {"version", version_},
                       {"slots", 16},         {"state", leaving ? "draining" : "ready"},
                       {"sequence", 1},       {"coldRemainingMs", 0}};
    if (born_ > 0)
        out["born"] = born_;
    return out;
}

void served_endpoint::begin_life(const std::string& id, std::uint64_t born)
{
    id_ = id;
    born_ = born;
    ++process_generation_;
}

std::uint64_t served_endpoint::event_count(const std::string& request)
{
    const auto hash = core::stable_hash(request);
    return is_long(request) ? min_long_events + hash % long_event_spread : 1 + hash % max_events;
}

core::milliseconds served_endpoint::pause_after(const std::string& request, std::uint64_t n)
{
    const auto hash = core::stable_hash(event_data(request, n));
    if (!is_long(request) || n >= event_count(request) || hash % pause_one_in != 0)
        return {};
    const auto percent =
        min_pause_percent + hash / pause_one_in % (max_pause_percent - min_pause_percent + 1);
    return scaled(stream_target_gap, static_cast<double>(percent) / whole_percent);
}

bool served_endpoint::refuses_for_back_off(const std::string& request) const
{
    constexpr std::uint64_t served_one_in = 8;
    return says.rest && core::stable_hash(request, 3) % served_one_in != 0;
}

net::http_fields served_endpoint::fields_for(const std::string& request, bool is_refusal) const
{
    net::http_fields out;
    out.add("X-Runlink-Attempt-Id", request);
    out.add("X-Runlink-Server-Seal", id_);
    if (says.requests_per_s)
        out.add("Server-Limit", std::to_string(*says.requests_per_s));
    if (says.is_leaving)
        out.add("Server-Leaving", "1");
    constexpr double ms_per_s = 1000;
    if (is_refusal && says.rest)
        out.add("Retry-After", std::to_string(static_cast<double>(says.rest->count()) / ms_per_s));
    on_answered(*this, request, is_refusal);
    return out;
}

void served_endpoint::on_request(const connection_ptr& from, const net::http_request_head& head)
{
    const auto* request = head.fields.find("X-Runlink-Attempt-Id");
    const auto* expected = head.fields.find("X-Runlink-Expect-Instance");
    if (request == nullptr)
        return from->reset();
    const bool is_other = expected != nullptr && *expected != id_;
    if (!is_other)
        on_arrived(*this, *request);
    const auto how = choose_mode ? choose_mode() : answers;
    if (is_other || how == mode::refuse || refuses_for_back_off(*request))
    {
        auto fields = fields_for(*request, !is_other);
        fields.add("X-Runlink-Not-Executed", "1");
        from->write(net::write_response(is_other ? status_misdirected : status_unavailable, fields, ""));
        return from->finish(false);
    }
    auto it = std::make_shared<run>();
    it->request = *request;
    it->path = head.target;
    if (const auto* last = head.fields.find("Last-Event-Id"))
        it->first_event = std::stoull(*last) + 1;
    from->on_left = [it] { it->was_left = !std::exchange(it->is_over, true); };
    const auto short_pace = core::stable_hash(it->request, 2) % slow_one_in == 0 ? slow_pace : pace;
    const auto own_pace = is_long(it->request) ? long_pace : short_pace;
    it->pace = how == mode::slow ? scaled(own_pace, slow_times) : own_pace;
    const auto* prompt = head.fields.find("X-Runlink-Prompt-Prefix");
    it->is_harmful = it->path.find(harmful_text) != std::string::npos ||
                     (prompt != nullptr && prompt->find(harmful_part) != std::string::npos);
    on_run(*this, it);
    if (it->is_harmful)
        QTimer::singleShot(survives, &context_,
                           [this, from, it, generation = process_generation_]
                           {
                               if (it->is_over || generation != process_generation_)
                                   return;
                               if (ends_with_connection)
                                   from->finish(true);
                               on_ended(it);
                           });
    serve(from, head, it, how);
}

void served_endpoint::serve(const connection_ptr& to, const net::http_request_head& head, const run_ptr& it,
                            mode how)
{
    if (how != mode::normal)
        on_bad_answer(*this);
    if (how == mode::hang)
        return;
    if (how == mode::lose)
    {
        it->is_over = true;
        return to->reset();
    }
    const bool fails = how == mode::fail;
    const auto wait = how == mode::slow ? scaled(pace, slow_times) : pace;
    if (head.target.starts_with("/llm/") && !fails)
    {
        QTimer::singleShot(wait, &context_, [this, to, it] { begin_stream(to, it); });
        return;
    }
    QTimer::singleShot(wait, &context_,
                       [this, to, it, fails]
                       {
                           if (std::exchange(it->is_over, true))
                               return;
                           to->write(net::write_response(fails ? status_error : status_ok,
                                                         fields_for(it->request), body_of(it->request)));
                           to->finish(false);
                       });
}

void served_endpoint::begin_stream(const connection_ptr& to, const run_ptr& it)
{
    if (it->is_over)
        return;
    auto fields = fields_for(it->request);
    fields.add("X-Runlink-Confidence", std::to_string(core::stable_hash(it->request, 1) % whole_percent));
    fields.add("Content-Type", "text/event-stream");
    if (!ends_with_connection)
        fields.add("Transfer-Encoding", "chunked");
    to->write(net::write_response_head(status_ok, "OK", fields));
    step(to, it, it->first_event);
}

void served_endpoint::step(const connection_ptr& to, const run_ptr& it, std::uint64_t n)
{
    if (it->is_over)
        return;
    if (n > event_count(it->request))
    {
        if (it->is_harmful)
            return;
        it->is_over = true;
        if (!ends_with_connection)
            to->write(net::write_chunk({}));
        return to->finish(ends_with_connection);
    }
    const auto event = "id: " + std::to_string(n) + "\ndata: " + event_data(it->request, n) + "\n\n";
    // Writes each event in two chunks, so that a connection can break in the middle of an event.
    const auto first = event.substr(0, event.size() / 2);
    const auto second = event.substr(event.size() / 2);
    to->write(ends_with_connection ? first : net::write_chunk(first));
    to->write(ends_with_connection ? second : net::write_chunk(second));
    const auto wait = std::max(it->pace, pause_after(it->request, n));
    QTimer::singleShot(wait, &context_, [this, to, it, n] { step(to, it, n + 1); });
}

} // namespace runlink::standins
