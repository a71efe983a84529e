#include "runlink/core/version_guard.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace runlink::core
{

void bad_share_detector::add(std::uint64_t good, std::uint64_t bad)
{
    for (std::size_t n = 0; n < sums_.size(); ++n)
    {
        const double p0 = options_->accepted_bad_share;
        const double p1 = options_->detected_bad_shares[n];
        const double gain = static_cast<double>(bad) * std::log(p1 / p0) +
                            static_cast<double>(good) * std::log((1 - p1) / (1 - p0));
        sums_[n] = std::max(0.0, sums_[n] + gain);
    }
}

double bad_share_detector::highest_sum() const
{
    return *std::max_element(sums_.begin(), sums_.end());
}

bool bad_share_detector::is_bad() const
{
    return highest_sum() >= options_->stop_threshold;
}

version_guard::version_guard(guard_options options, std::function<std::size_t()> live_instances)
    : options_{options}, live_instances_{std::move(live_instances)}
{
}

version_guard::record& version_guard::record_of(const version_ref& version)
{
    const auto found = records_.find(version);
    if (found != records_.end())
        return found->second;
    record it{{}, {}, options_.initial_window, bad_share_detector{options_}, false, false};
    it.own.version = version;
    return records_.emplace(version, std::move(it)).first->second;
}

bool version_guard::admits(time_point now, const version_ref& version, version_state state)
{
    auto& it = record_of(version);
    if (it.stopped)
        return false;
    if (state != version_state::rolling_out)
        return true;
    while (!it.unrated.empty() && now - it.unrated.front() > options_.unrated_timeout)
        it.unrated.pop_front();
    const double share = it.window / static_cast<double>(std::max<std::size_t>(live_instances_(), 1));
    return static_cast<double>(it.unrated.size()) < std::max(share, 1.0);
}

bool version_guard::is_stopped(const version_ref& version) const
{
    const auto found = records_.find(version);
    return found != records_.end() && found->second.stopped;
}

void version_guard::started(time_point now, const version_ref& version)
{
    auto& it = record_of(version);
    ++it.own.started;
    it.unrated.push_back(now);
    const auto bound = static_cast<std::size_t>(options_.max_window);
    if (it.unrated.size() > bound)
        it.unrated.pop_front();
}

void version_guard::rated(const version_ref& version, bool good)
{
    auto& it = record_of(version);
    if (!it.unrated.empty())
        it.unrated.pop_front();
    ++(good ? it.own.good : it.own.bad);
    add_ratings(version, it, good ? 1 : 0, good ? 0 : 1);
}

void version_guard::failed(const version_ref& version)
{
    auto& it = record_of(version);
    if (!it.unrated.empty())
        it.unrated.pop_back();
    ++it.own.failed;
    add_ratings(version, it, 0, 1);
}

void version_guard::add_ratings(const version_ref& version, record& it, std::uint64_t good, std::uint64_t bad)
{
    it.window =
        std::min(options_.max_window, it.window + static_cast<double>(good) * options_.growth_per_good);
    it.window = std::max(options_.initial_window,
                         it.window * std::pow(options_.shrink_on_bad, static_cast<double>(bad)));
    it.detector.add(good, bad);
    if (it.detector.is_bad())
        stop(version, it);
}

void version_guard::stop(const version_ref& version, record& it)
{
    const bool may_be_stopped = may_stop(version);
    const bool must_report = !it.stopped && (may_be_stopped || !it.reported);
    it.stopped = it.stopped || may_be_stopped;
    it.own.stopped = it.stopped;
    it.reported = true;
    if (must_report && on_bad)
        on_bad(version, it.stopped);
}

std::vector<version_counts> version_guard::counts() const
{
    std::vector<version_counts> out;
    for (const auto& [unused, it] : records_)
        out.push_back(it.own);
    return out;
}

void version_guard::on_peer(const incarnation_id& peer, const std::vector<version_counts>& counts)
{
    auto& previous_counts = peers_[peer];
    for (const auto& current : counts)
    {
        auto& previous = previous_counts[current.version];
        auto& it = record_of(current.version);
        const auto good = current.good - std::min(current.good, previous.good);
        const auto bad = current.bad + current.failed -
                         std::min(current.bad + current.failed, previous.bad + previous.failed);
        previous = current;
        if (good + bad > 0)
            add_ratings(current.version, it, good, bad);
        if (current.stopped)
            stop(current.version, it);
    }
}

void version_guard::clear(const version_ref& version)
{
    records_.erase(version);
    for (auto& [unused, it] : peers_)
        it.erase(version);
}

double version_guard::window(const version_ref& version) const
{
    const auto found = records_.find(version);
    return found == records_.end() ? options_.initial_window : found->second.window;
}

} // namespace runlink::core
