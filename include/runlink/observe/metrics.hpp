/// \file
/// What an instance measures, and its Prometheus text.
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

/// A counter or gauge of the whole instance.
struct plain_metric
{
    std::string name;
    std::string help;
    bool is_counter = true;
    double value = 0;
};

/// Histograms of latency per client account and class, and counters of outcomes.
class metrics
{
public:
    metrics();
    ~metrics();

    void first_byte(const core::account_id& account, const core::request_class& cls, core::duration after);
    void ended(const core::account_id& account, const core::request_class& cls, core::duration after,
               core::run_outcome outcome);
    /// Processor time of one tick of the decisions.
    void tick_took(core::duration it);

    /// All of it, and the given metrics, as Prometheus text.
    std::string text(const std::vector<plain_metric>& plain) const;

private:
    struct series;
    series& at(const core::account_id& account, const core::request_class& cls);

    std::map<std::pair<std::string, std::string>, std::unique_ptr<series>> series_;
    struct tick_statistics;
    std::unique_ptr<tick_statistics> ticks_;
};

} // namespace runlink::observe
