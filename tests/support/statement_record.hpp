/// \file
/// What endpoints said of themselves, to which instance, and what reached them after that.
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

/// On what endpoints rely that say what they bear.
struct statement_bounds
{
    core::milliseconds contact{3000}; ///< for which a new limit binds nobody
    core::milliseconds told{500};     ///< an instance may act on what it was told this much later
    core::milliseconds window{4000};  ///< in which sends to an endpoint with a limit are counted
    double overage = 1.5;             ///< of the limit
    double slack = 5;                 ///< requests more
    core::milliseconds drain{2000};   ///< for which an endpoint serves on after it said that it leaves
    std::uint64_t most_in_rest = 2;   ///< requests, from when the instance may have been told
};

/// What one answer says.
struct said_words
{
    std::optional<double> requests_per_s;
    bool is_leaving = false;
    std::optional<core::milliseconds> rest;
};

/// What an endpoint got though it had said otherwise.
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

/// Checks from the endpoints' side that instances keep to what they were told.
class statement_record
{
public:
    explicit statement_record(statement_bounds bounds = {}) : bounds_{bounds} {}

    /// An endpoint has answered an instance.
    void answered(core::time_point now, const std::string& endpoint, int instance, const said_words& what);
    /// A request that came to its instance at `came_at` has reached an endpoint, which names that limit now.
    void arrived(core::time_point now, const std::string& endpoint, int instance, core::time_point came_at,
                 std::optional<double> limit);
    /// The instance's process begins anew: it has been told nothing.
    void forget(int instance);
    /// What was broken since the last call.
    std::vector<statement_fault> take_faults();

    /// How much the checks had to look at: sends to endpoints with a limit, instances and endpoints that
    /// leave, rests.
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
        std::map<int, core::time_point>
            told; ///< instances, for the first time since an answer without a limit
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
    std::map<pair, core::time_point> told_leaving_; ///< for the first time
    std::map<pair, std::vector<rest>> rests_;
    std::uint64_t limited_count_ = 0;
    std::uint64_t leaving_count_ = 0;
    std::uint64_t rest_count_ = 0;
    std::vector<statement_fault> faults_;
};

} // namespace runlink::tests
