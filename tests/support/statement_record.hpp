/// \file
/// Records what endpoints announce to each instance, and checks the requests that they receive afterwards.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::tests
{

/// Tolerances for requests to an endpoint after it announced a limit, a rest period or a shutdown.
struct statement_bounds
{
    core::milliseconds contact{3000}; ///< grace period after an endpoint first names a limit
    core::milliseconds told{500};     ///< time until an instance must act on an announcement
    core::milliseconds window{4000};  ///< sliding window for counting requests to a limited endpoint
    double overage = 1.5;             ///< permitted factor over the limit
    double slack = 5;                 ///< permitted requests on top of that
    core::milliseconds drain{2000};   ///< time for which a leaving endpoint still serves requests
    std::uint64_t most_in_rest = 2;   ///< requests per instance in one rest period, counted from `told` on
};

/// The announcements in one answer.
struct said_words
{
    std::optional<double> requests_per_s;
    bool is_leaving = false;
    std::optional<core::milliseconds> rest;
};

/// A violation: an endpoint received a request contrary to its announcement.
struct statement_fault
{
    enum class rule
    {
        limit,
        leaving,
        rest,
    };
    rule broken = rule::limit;
    std::string what;
};

/// Checks, as seen by the endpoints, that instances respect the announcements they received.
class statement_record
{
public:
    explicit statement_record(statement_bounds bounds = {}) : bounds_{bounds} {}

    /// Records an answer of an endpoint to an instance.
    void answered(core::time_point now, const std::string& endpoint, int instance, const said_words& what);
    /// Records that a request reached an endpoint. `came_at` is when the instance received the request, and
    /// `limit` is the limit that the endpoint currently announces.
    void arrived(core::time_point now, const std::string& endpoint, int instance, core::time_point came_at,
                 std::optional<double> limit);
    /// Forgets the announcements to an instance whose process was restarted.
    void forget(int instance);
    /// Returns the violations since the last call.
    std::vector<statement_fault> take_faults();

    /// Number of checked cases: requests to endpoints with a limit, pairs of an instance and a leaving
    /// endpoint, and rest periods.
    std::uint64_t limited() const { return limited_count_; }
    std::uint64_t leaving() const { return leaving_count_; }
    std::uint64_t rests() const { return rest_count_; }

private:
    struct limited_arrival
    {
        core::time_point at{};
        double limit = 0;
    };
    struct limited_endpoint
    {
        std::optional<core::time_point> named_at;
        /// When each instance was first told of a limit since the last answer without one.
        std::map<int, core::time_point> told;
        std::deque<limited_arrival> arrivals;
        bool is_reported = false;
    };
    struct rest
    {
        core::time_point from{};
        core::time_point until{};
        std::uint64_t arrivals = 0;
    };
    /// An instance and an endpoint.
    using pair = std::pair<int, std::string>;

    void check_limit(core::time_point now, const std::string& endpoint, int instance, double limit);
    void check_leaving(const pair& of, core::time_point came_at);
    void check_rests(core::time_point now, const pair& of);

    statement_bounds bounds_;
    std::map<std::string, limited_endpoint> limited_;
    std::map<pair, core::time_point> told_leaving_; ///< first announcement
    std::map<pair, std::vector<rest>> rests_;
    std::uint64_t limited_count_ = 0;
    std::uint64_t leaving_count_ = 0;
    std::uint64_t rest_count_ = 0;
    std::vector<statement_fault> faults_;
};

} // namespace runlink::tests
