#include "runlink/duties/load_sum.hpp"

namespace runlink::duties
{
namespace
{

/// A process that has not reported for this time is gone or has no requests.
constexpr core::milliseconds report_lifetime{4000};

} // namespace

void load_sum::on_report(core::time_point now, const usage_report& it)
{
    std::erase_if(reports_, [&](const auto& e) { return now - e.second.at > report_lifetime; });
    auto& known = reports_[it.process];
    known.at = now;
    known.running.clear();
    for (const auto& e : it.loads)
        known.running[e.service] = e.running;
}

std::uint32_t load_sum::running(core::time_point now, const core::service_id& service) const
{
    std::uint32_t out = 0;
    for (const auto& [process, it] : reports_)
    {
        const auto found = it.running.find(service);
        if (now - it.at <= report_lifetime && found != it.running.end())
            out += found->second;
    }
    return out;
}

} // namespace runlink::duties
