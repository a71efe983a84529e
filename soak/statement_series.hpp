/// \file
/// Endpoints that say in their answers what they bear, one after the other, beside whatever else happens.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include <QTimer>

#include "soak/fleet.hpp"

namespace runlink::soak
{

/// Lets endpoints say something for a while. It draws from a seed of its own, so that a scenario's faults are
/// the same with and without it.
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
    /// It says so long before its entry does. Another one comes first.
    void leave(proxied_endpoint& it);
    void want_rest(proxied_endpoint& it);
    milliseconds pick_time(int least, int most);

    fleet& fleet_;
    std::mt19937_64 random_;
    std::function<void(const std::string&)> on_said_;
    QObject context_; ///< what is still planned ends with the series
    QTimer timer_;
};

} // namespace runlink::soak
