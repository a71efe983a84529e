/// \file
/// Metrics of one instance, exported in the Prometheus text format.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::observe
{

/// A counter or gauge without labels.
struct plain_metric
{
    std::string name;
    std::string help;
    bool is_counter = true;
    double value = 0;
};

/// Latency histograms and outcome counters per client account and request class, and durations of ticks.
class metrics
{
public:
    metrics();
    ~metrics();

    /// Records the time from a request's arrival to the first byte of its answer.
    void first_byte(const core::account_id& account, const core::request_class& cls, core::duration elapsed);
    /// Records the time from a request's arrival to its end, and its outcome.
    void ended(const core::account_id& account, const core::request_class& cls, core::duration elapsed,
               core::run_outcome outcome);
    /// Records the duration of one tick of the router.
    void record_tick(core::duration elapsed);

    /// All recorded metrics and the given ones in the Prometheus text format.
    std::string text(const std::vector<plain_metric>& plain) const;

private:
    struct series;
    /// The series of an account and class; created on first use.
    series& series_of(const core::account_id& account, const core::request_class& cls);

    std::map<std::pair<std::string, std::string>, std::unique_ptr<series>> series_;
    struct tick_statistics;
    std::unique_ptr<tick_statistics> ticks_;
};

} // namespace runlink::observe
