#include "runlink/observe/metrics.hpp"

#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

namespace runlink::observe
{
namespace
{

namespace acc = boost::accumulators;
namespace hist = boost::histogram;

using summary =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::max>>;

/// Upper bounds of the histogram buckets in seconds.
const std::vector<double> bucket_bounds_s{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35,
                                          0.53,  0.75,  1,     2,    5,    10,   30,  60};

std::vector<double> axis_bounds()
{
    std::vector<double> out{0};
    out.insert(out.end(), bucket_bounds_s.begin(), bucket_bounds_s.end());
    return out;
}

auto make_latency_histogram()
{
    return hist::make_histogram(hist::axis::variable<double>(axis_bounds()));
}

struct latency
{
    decltype(make_latency_histogram()) histogram = make_latency_histogram();
    summary total;

    void add(core::duration elapsed)
    {
        const double s = static_cast<double>(elapsed.count()) / 1e6;
        histogram(s);
        total(s);
    }
};

void write_histogram(std::ostream& os, const std::string& name, const std::string& labels, const latency& it)
{
    double cumulative = 0;
    for (std::size_t n = 0; n < bucket_bounds_s.size(); ++n)
    {
        cumulative += static_cast<double>(it.histogram.at(static_cast<int>(n)));
        os << name << "_bucket{" << labels << ",le=\"" << bucket_bounds_s[n] << "\"} " << cumulative << "\n";
    }
    os << name << "_bucket{" << labels << ",le=\"+Inf\"} " << acc::count(it.total) << "\n";
    os << name << "_sum{" << labels << "} " << acc::sum(it.total) << "\n";
    os << name << "_count{" << labels << "} " << acc::count(it.total) << "\n";
}

} // namespace

struct metrics::series
{
    latency first_byte;
    latency total;
    std::array<std::uint64_t, 3> outcomes{};
};

struct metrics::tick_statistics
{
    summary seconds;
};

metrics::metrics() : ticks_{std::make_unique<tick_statistics>()} {}
metrics::~metrics() = default;

metrics::series& metrics::series_of(const core::account_id& account, const core::request_class& cls)
{
    auto& it = series_[{account.str(), cls.str()}];
    if (!it)
        it = std::make_unique<series>();
    return *it;
}

void metrics::first_byte(const core::account_id& account, const core::request_class& cls,
                         core::duration elapsed)
{
    series_of(account, cls).first_byte.add(elapsed);
}

void metrics::ended(const core::account_id& account, const core::request_class& cls, core::duration elapsed,
                    core::run_outcome outcome)
{
    auto& it = series_of(account, cls);
    it.total.add(elapsed);
    ++it.outcomes.at(static_cast<std::size_t>(outcome));
}

void metrics::record_tick(core::duration elapsed)
{
    ticks_->seconds(static_cast<double>(elapsed.count()) / 1e6);
}

std::string metrics::text(const std::vector<plain_metric>& plain) const
{
    std::ostringstream os;
    for (const auto& it : plain)
    {
        os << "# HELP " << it.name << " " << it.help << "\n";
        os << "# TYPE " << it.name << (it.is_counter ? " counter" : " gauge") << "\n";
        os << it.name << " " << it.value << "\n";
    }
    os << "# TYPE runlink_first_byte_seconds histogram\n# TYPE runlink_request_seconds histogram\n";
    os << "# TYPE runlink_requests_total counter\n";
    for (const auto& [key, it] : series_)
    {
        const auto labels = "account=\"" + key.first + "\",class=\"" + key.second + "\"";
        write_histogram(os, "runlink_first_byte_seconds", labels, it->first_byte);
        write_histogram(os, "runlink_request_seconds", labels, it->total);
        for (const auto outcome :
             {core::run_outcome::ran, core::run_outcome::not_run, core::run_outcome::unknown})
            os << "runlink_requests_total{" << labels << ",outcome=\"" << to_string(outcome) << "\"} "
               << it->outcomes.at(static_cast<std::size_t>(outcome)) << "\n";
    }
    os << "# TYPE runlink_tick_seconds summary\n";
    os << "runlink_tick_seconds_sum " << acc::sum(ticks_->seconds) << "\n";
    os << "runlink_tick_seconds_count " << acc::count(ticks_->seconds) << "\n";
    return os.str();
}

} // namespace runlink::observe
