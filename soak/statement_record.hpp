/// \file
/// What endpoints said of themselves, to which instance, and what they got after that.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
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
};

/// Counts what reaches endpoints that named limits, from instances that they had told.
class statement_record
{
public:
    explicit statement_record(statement_bounds bounds = {}) : bounds_{bounds} {}

    /// From now on the endpoint names this limit in its answers, or none.
    void names(time_point now, const std::string& endpoint, std::optional<double> requests_per_s);
    /// It has answered an instance.
    void answered(time_point now, const std::string& endpoint, int instance);
    /// A request has reached it. `is_calm`: nothing disturbs the instance that sent it.
    void arrived(time_point now, const std::string& endpoint, int instance, bool is_calm);
    /// What instances have broken since the last call.
    std::vector<std::string> take_faults();
    /// Requests that the checks looked at.
    std::uint64_t looked_at() const { return looked_at_; }

private:
    struct limited
    {
        double requests_per_s = 0;
        std::optional<time_point> told_at; ///< the first instance
        std::map<int, time_point> told;    ///< instances, for the first time
        std::deque<time_point> arrivals;
    };

    statement_bounds bounds_;
    std::map<std::string, limited> limited_;
    std::vector<std::string> faults_;
    std::uint64_t looked_at_ = 0;
};

} // namespace runlink::soak
