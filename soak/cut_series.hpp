/// \file
/// Cuts instances off from all endpoints, alongside other faults.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>

#include <QTimer>

#include "soak/fleet.hpp"
#include "soak/promise_checker.hpp"

namespace runlink::soak
{

/// Cuts one to all but one instances off for some seconds, in a random manner. Uses its own random generator,
/// so that a scenario's faults are the same with and without cuts.
class cut_series
{
public:
    cut_series(fleet& on, promise_checker& checker, std::uint64_t seed);
    cut_series(const cut_series&) = delete;
    cut_series& operator=(const cut_series&) = delete;

    void begin(std::function<void(const std::string&)> on_cut);

private:
    void cut();
    void heal(const std::set<int>& instances);
    milliseconds pick_time(int min_ms, int max_ms);

    fleet& fleet_;
    promise_checker& checker_;
    std::mt19937_64 random_;
    std::function<void(const std::string&)> on_cut_;
    QTimer timer_;
};

} // namespace runlink::soak
