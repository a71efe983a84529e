/// \file
/// In-process stand-in for an endpoint of the users' platform: a plain service, or a model engine that
/// answers with event streams. Callbacks report each request that it runs.
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

/// HTTP server at a local port that answers as one endpoint process.
class served_endpoint
{
public:
    /// How the endpoint answers requests.
    enum class mode
    {
        normal,
        refuse, ///< answers 503 without running the request
        fail,   ///< runs the request and answers 500
        lose,   ///< runs the request and resets the connection
        hang,   ///< runs the request and never answers
        slow,   ///< takes `slow_times` times as long as `normal`
    };
    /// One execution of a request.
    struct run
    {
        std::string request;
        std::string path;
        std::uint64_t first_event = 1;
        bool is_over = false;
        bool was_left = false;     ///< the connection closed before the answer was complete
        bool is_harmful = false;   ///< crashes the endpoint; a stream for it is never completed
        core::milliseconds pace{}; ///< delay between two events
    };
    using run_ptr = std::shared_ptr<run>;

    served_endpoint(std::string id, std::string service, std::string version);

    std::uint16_t port() const { return port_; }
    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    const std::string& version() const { return version_; }
    /// The endpoint's entry in the store. `port` is the advertised port, which may be that of a proxy.
    nlohmann::json entry(std::uint16_t port, bool leaving) const;
    /// The body of a non-streaming answer to `request`.
    static std::string body_of(const std::string& request) { return "answer to " + request; }
    /// The `data` field of event `n` of a stream.
    static std::string event_data(const std::string& request, std::uint64_t n)
    {
        return request + "/" + std::to_string(n);
    }
    /// The number of events in the stream that answers `request`.
    static std::uint64_t event_count(const std::string& request);
    /// Requests whose names start with this prefix get streams that last many seconds and contain pauses.
    static constexpr const char* long_prefix = "long-";
    static bool is_long(const std::string& request) { return request.starts_with(long_prefix); }
    /// The pause after event `n` of a long stream; zero after most events. An attempt that resumes after
    /// event `n` continues without this pause.
    static core::milliseconds pause_after(const std::string& request, std::uint64_t n);

    /// What the endpoint reports about itself in the header fields of its answers.
    struct words
    {
        std::optional<double> requests_per_s; ///< request limit for all instances together
        bool is_leaving = false;
        /// Back-off time in `Retry-After`. While set, most requests are refused.
        std::optional<core::milliseconds> rest;
    };
    words says;
    /// Called when a request for this endpoint arrives.
    std::function<void(const served_endpoint&, const std::string& request)> on_arrived = [](const auto&,
                                                                                            const auto&) {};
    /// Called when the head of an answer is written.
    std::function<void(const served_endpoint&, const std::string& request, bool is_refusal)> on_answered =
        [](const auto&, const auto&, bool) {};

    mode answers = mode::normal;
    /// If set, chooses the mode of each request instead of `answers`.
    std::function<mode()> choose_mode;
    double slow_times = 8;
    core::milliseconds pace{8}; ///< delay before an answer starts and between two events
    /// Requests whose path contains this text crash the endpoint `survives` after their execution starts.
    static constexpr const char* harmful_text = "harmful";
    core::milliseconds survives{60};
    /// Requests with this part in their prompts crash the endpoint too.
    static constexpr const char* harmful_part = "bad0";
    /// Streams have neither length nor chunks and end with their connection, which a crash closes too.
    bool ends_with_connection = false;
    std::function<void(const run_ptr&)> on_ended = [](const auto&) {};
    /// Marks that a new process listens at the address and that the requests in progress are lost. A nonzero
    /// `born` distinguishes a restart under the same id.
    void begin_life(const std::string& id, std::uint64_t born);
    std::function<void(const served_endpoint&, const run_ptr&)> on_run = [](const auto&, const auto&) {};
    /// Called when a request gets a failed, late or missing answer.
    std::function<void(const served_endpoint&)> on_bad_answer = [](const auto&) {};

private:
    using connection_ptr = std::shared_ptr<net::caller_connection>;

    void on_request(const connection_ptr& from, const net::http_request_head& head);
    void serve(const connection_ptr& to, const net::http_request_head& head, const run_ptr& it, mode how);
    void begin_stream(const connection_ptr& to, const run_ptr& it);
    void step(const connection_ptr& to, const run_ptr& it, std::uint64_t n);
    /// The header fields of an answer. Calls `on_answered`, so the caller must write the answer at once.
    net::http_fields fields_for(const std::string& request, bool is_refusal = false) const;
    /// Whether the endpoint refuses this request because it asks clients to back off.
    bool refuses_for_back_off(const std::string& request) const;

    std::string id_;
    std::string service_;
    std::string version_;
    std::uint64_t born_ = 0;
    std::uint64_t process_generation_ = 0;
    net::http_listener listener_;
    std::uint16_t port_ = 0;
    QObject context_; ///< cancels pending timers on destruction
};

} // namespace runlink::standins
