/// \file
/// Plays an endpoint of the users' platform: a plain service, or an engine with event streams. It tells of
/// each run.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <QObject>
#include <nlohmann/json.hpp>

#include "runlink/core/units.hpp"
#include "runlink/net/http_listener.hpp"

namespace runlink::standins
{

/// One life of an endpoint.
class served_endpoint
{
public:
    /// What it does with requests.
    enum class mode
    {
        normal,
        refuse, ///< 503, not run
        fail,   ///< runs and answers 500
        lose,   ///< runs and resets
        hang,   ///< runs and never answers
        slow,   ///< takes `slow_times` as long
    };
    /// A request that is being run.
    struct run
    {
        std::string request;
        std::string path;
        std::uint64_t first_event = 1;
        bool is_over = false;
        bool was_left = false;     ///< its connection ended before it was over
        bool is_harmful = false;   ///< it ends the endpoint, and is never answered whole
        core::milliseconds pace{}; ///< between two events
    };
    using run_ptr = std::shared_ptr<run>;

    served_endpoint(std::string id, std::string service, std::string version);

    std::uint16_t port() const { return port_; }
    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    const std::string& version() const { return version_; }
    /// Its item in the store, reached at a port that may be a proxy's.
    nlohmann::json entry(std::uint16_t port, bool leaving) const;
    /// The body of a plain answer to a request.
    static std::string body_of(const std::string& request) { return "answer to " + request; }
    /// The data of one event of a stream.
    static std::string event_data(const std::string& request, std::uint64_t n)
    {
        return request + "/" + std::to_string(n);
    }
    /// How many events answer a request.
    static std::uint64_t event_count(const std::string& request);
    /// Requests whose names begin so are answered by streams of many seconds, with pauses.
    static constexpr const char* long_prefix = "long-";
    static bool is_long(const std::string& request) { return request.starts_with(long_prefix); }
    /// The pause behind an event of a long stream; none after most. The stream's next attempt goes on behind
    /// it without one.
    static core::milliseconds pause_after(const std::string& request, std::uint64_t n);

    /// What it says of itself in all its answers.
    struct words
    {
        std::optional<double> requests_per_s; ///< from all instances together
        bool is_leaving = false;
        std::optional<core::milliseconds> rest; ///< it refuses most requests, and wants nothing for so long
    };
    words says;
    /// A request for this endpoint has come.
    std::function<void(const served_endpoint&, const std::string& request)> on_arrived = [](const auto&,
                                                                                            const auto&) {};
    /// The head of an answer has been written.
    std::function<void(const served_endpoint&, const std::string& request, bool is_refusal)> on_answered =
        [](const auto&, const auto&, bool) {};

    mode answers = mode::normal;
    /// What it does with one request, where that differs from `answers`.
    std::function<mode()> choose_mode;
    double slow_times = 8;
    core::milliseconds pace{8}; ///< of plain answers, before a stream and between two events
    /// Requests whose path has this text end the endpoint so long after it began to run them.
    static constexpr const char* harmful_text = "harmful";
    core::milliseconds survives{60};
    std::function<void(const run_ptr&)> on_ended = [](const auto&) {};
    /// Another process listens at the address: all that was under way is gone. A number names a later life
    /// under the same id.
    void begin_life(const std::string& id, std::uint64_t born);
    std::function<void(const served_endpoint&, const run_ptr&)> on_run = [](const auto&, const auto&) {};
    /// An answer was given that is not as it should be, or will never be given.
    std::function<void(const served_endpoint&)> on_bad_answer = [](const auto&) {};

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    void on_request(const connection_ptr& from, const net::http_request_head& head);
    void serve(const connection_ptr& to, const net::http_request_head& head, const run_ptr& it, mode how);
    void begin_stream(const connection_ptr& to, const run_ptr& it);
    void step(const connection_ptr& to, const run_ptr& it, std::uint64_t n);
    /// The fields of an answer, which is written now.
    net::http_fields fields_for(const std::string& request, bool is_refusal = false) const;
    /// Whether it refuses this request for the rest that it wants.
    bool wants_rest(const std::string& request) const;

    std::string id_;
    std::string service_;
    std::string version_;
    std::uint64_t born_ = 0;
    std::uint64_t life_ = 0;
    net::http_listener listener_;
    std::uint16_t port_ = 0;
    QObject context_; ///< answers that are due end with the endpoint
};

} // namespace runlink::standins
