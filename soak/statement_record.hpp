/// \file
/// What endpoints said of themselves, to which instance, and what they got after that.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runlink/core/units.hpp"

namespace runlink::soak
{

using core::milliseconds;
using core::time_point;

/// Bounds that endpoints which say what they bear rely on.
struct statement_bounds
{
    milliseconds contact{3000}; ///< for which a new limit binds nobody
    milliseconds told{500};     ///< an instance may act on what it was told this much later
    milliseconds window{4000};
    double overage = 1.5;
    double slack = 5;
    milliseconds drain{2000};       ///< for which an endpoint serves on after it said that it leaves
    std::uint64_t most_in_rest = 2; ///< requests from half a second after it asked for rest
};

/// What an answer said of its endpoint.
struct said_words
{
    bool is_leaving = false;
    std::optional<milliseconds> rest;
};

/// Counts what reaches endpoints that named limits, from instances that they had told.
class statement_record
{
public:
    explicit statement_record(statement_bounds bounds = {}) : bounds_{bounds} {}

    /// From now on the endpoint names this limit in its answers, or none.
    void names(time_point now, const std::string& endpoint, std::optional<double> requests_per_s);
    /// It has answered an instance.
    void answered(time_point now, const std::string& endpoint, int instance, const said_words& what);
    /// A request that its caller sent at that time has reached it. `is_calm`: nothing disturbs the instance
    /// that sent it.
    void arrived(time_point now, const std::string& endpoint, int instance, time_point sent, bool is_calm);
    /// The instance's process begins anew: it has been told nothing.
    void forget(int instance);
    /// What instances have broken since the last call.
    std::vector<std::string> take_faults();
    /// Requests that the checks looked at.
    std::uint64_t looked_at() const { return looked_at_; }
    std::uint64_t rests() const { return rest_count_; }
    std::uint64_t leaving() const { return told_leaving_.size(); }

private:
    struct limited
    {
        double requests_per_s = 0;
        std::optional<time_point> told_at; ///< the first instance
        std::map<int, time_point> told;    ///< instances, for the first time
        std::deque<time_point> arrivals;
    };

    struct rest
    {
        time_point from{};
        time_point until{};
        std::uint64_t arrivals = 0;
    };
    /// An instance and an endpoint.
    using pair = std::pair<int, std::string>;

    void check_limit(time_point now, const std::string& endpoint, int instance);
    void check_rests(time_point now, const pair& of);

    statement_bounds bounds_;
    std::map<std::string, limited> limited_;
    std::map<pair, time_point> told_leaving_; ///< for the first time
    std::map<pair, std::vector<rest>> rests_;
    std::uint64_t rest_count_ = 0;
    std::vector<std::string> faults_;
    std::uint64_t looked_at_ = 0;
};

} // namespace runlink::soak
