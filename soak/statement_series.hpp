/// \file
/// Makes endpoints state limits, rest periods or their departure in responses, alongside other faults.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include <QTimer>

#include "soak/fleet.hpp"

namespace runlink::soak
{

/// Makes random endpoints send statements for a limited time. Uses its own random generator, so that a
/// scenario's faults are the same with and without statements.
class statement_series
{
public:
    statement_series(fleet& on, std::uint64_t seed);
    statement_series(const statement_series&) = delete;
    statement_series& operator=(const statement_series&) = delete;

    void begin(std::function<void(const std::string&)> on_said);

private:
    void say_next();
    void name_limit(proxied_endpoint& it);
    /// Adds a replacement, then makes the endpoint announce in its responses that it is leaving, seconds
    /// before its entry in the store does.
    void leave(proxied_endpoint& it);
    void want_rest(proxied_endpoint& it);
    milliseconds pick_time(int min_ms, int max_ms);

    fleet& fleet_;
    std::mt19937_64 random_;
    std::function<void(const std::string&)> on_said_;
    QObject context_; ///< cancels pending timers when the series is destroyed
    QTimer timer_;
};

} // namespace runlink::soak
