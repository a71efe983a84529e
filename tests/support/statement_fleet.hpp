/// \file
/// Instances before endpoints that say of themselves, in their answers, what they bear; on a paused clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"
#include "support/statement_record.hpp"

namespace runlink::tests
{

using core::milliseconds;
using core::time_point;

/// The value of a variable of the environment.
int number_from(const char* variable, int otherwise);

/// The load, and what surrounds it.
struct statement_case
{
    std::uint64_t seed = 1;
    int instances = 7;
    int endpoints = 8;
    double requests_per_s = 60;
    double uneven = 0; ///< part of the requests that the first instance gets beyond its share
    milliseconds length{20'000};
    milliseconds answer_time{60}; ///< at most
    milliseconds connect_time{0}; ///< at most, before a request is written
    milliseconds datagram_delay{5};
    double datagrams_lost = 0;
    milliseconds last_resort_time = routing::directory_options{}.last_resort_time;
    int repeats_one_in = 0; ///< answers that are failures, which are asked again elsewhere
};

/// What an endpoint says in its answers.
struct endpoint_words
{
    std::optional<double> requests_per_s;
    bool is_leaving = false;
    /// It refuses this part of the requests, and asks for rest with each refusal if there is one.
    double refused = 0;
    std::optional<milliseconds> rest;
};

/// What callers and endpoints saw.
struct statement_outcome
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::map<int, std::uint64_t> arrivals; ///< by endpoint, of the whole run
    /// What was broken, by rule, and how much was checked; see `statement_record`.
    std::vector<std::string> limits_broken;
    std::vector<std::string> leaving_broken;
    std::vector<std::string> rests_broken;
    std::uint64_t limited = 0;
    std::uint64_t leaving_told = 0;
    std::uint64_t rests = 0;
    std::uint64_t urgent_answered = 0;
    std::uint64_t urgent_refused = 0;
    std::vector<core::duration> refused_after; ///< since the request came
    std::vector<milliseconds> put_off;         ///< callers that were refused
    std::vector<milliseconds> back_at;         ///< when they are to come back, since the start of the run
    /// Arrivals at an endpoint later than so long after the start of the run.
    std::uint64_t arrivals_after(int endpoint, milliseconds from) const;
    std::map<int, std::vector<milliseconds>> arrival_times;
};

class statement_fleet
{
public:
    explicit statement_fleet(const statement_case& of);
    statement_fleet(const statement_fleet&) = delete;
    statement_fleet& operator=(const statement_fleet&) = delete;

    /// Something that happens so long after the start.
    void at(milliseconds when, std::function<void()> what) { later(when, std::move(what)); }
    endpoint_words& says(int endpoint) { return words_[endpoint]; }
    /// The instance's process ends, and another one takes its place.
    void restart(int instance);
    /// The instance stands still for so long.
    void pause(int instance, milliseconds time);
    void set_load(double requests_per_s) { case_.requests_per_s = requests_per_s; }
    /// The store says that the endpoint leaves, or has no entry of it.
    void tell_store_leaving(int endpoint);
    /// The store lists another endpoint.
    void add_endpoint();
    statement_outcome run();

private:
    struct attempt
    {
        routing::attempt_order order;
        int endpoint = 0;
        time_point sent_at{};
        bool is_written = false;
        bool is_over = false;
    };
    using attempt_ptr = std::shared_ptr<attempt>;
    struct instance
    {
        std::unique_ptr<routing::request_forwarder> forwarder;
        std::map<core::attempt_id, attempt_ptr> attempts;
        std::uint64_t life = 0;
        std::optional<time_point> paused_since;
    };
    void begin_life(int n);
    routing::forwarder_hooks hooks(int n);
    void later(milliseconds after, std::function<void()> what);
    /// The same, unless the instance ends before.
    void later(int n, milliseconds after, std::function<void()> what);
    void arrive();
    void on_start(int n, const routing::attempt_order& order);
    void write(int n, const attempt_ptr& it);
    void answer(int n, const attempt_ptr& it);
    void tell(int from, const std::vector<core::instance_id>& to,
              const std::vector<places::limit_report>& what);
    /// One datagram to each other instance, as far as it arrives.
    void send_datagram(int from, const std::function<bool(int)>& is_addressed,
                       const std::function<void(routing::request_forwarder&)>& to);
    void take_faults();
    void refuse(int n, const attempt_ptr& it);
    milliseconds up_to(milliseconds most);
    bool happens(double part) { return std::uniform_real_distribution<>{0, 1}(random_) < part; }
    instance& at(int n) { return instances_[static_cast<std::size_t>(n)]; }

    statement_case case_;
    std::mt19937_64 random_;
    time_point now_{core::seconds{1000}};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<instance> instances_;
    std::map<int, endpoint_words> words_;
    statement_record record_;
    std::map<routing::flow_id, time_point> came_at_;
    time_point began_ = now_;
    std::uint64_t next_flow_ = 1;
    statement_outcome outcome_;
};

} // namespace runlink::tests
